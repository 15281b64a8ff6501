#include <catch2/catch.hpp>
#include <iostream>

#include "soak/soak_platform.hpp"
#include "support/environment.hpp"
#include "support/temporary_folder.hpp"

using namespace camphorstack;
using namespace camphorstack::soak;
using camphorstack::tests::environment_variable;

// Guards against violated guarantees and failed recovery when hosts are killed, stopped or paused and the store or the primary
// fails. Run by tools/soak, which sets the environment variables.
TEST_CASE("session hosts keep their promises under random faults", "[.soak]") {
    const millis span{std::stoll(environment_variable("SOAK_SECONDS", "20")) * 1000};
    // The platform requires that all callers are served again within this time after the last fault.
    constexpr millis recovery{12000};
    // Two runs must not share a folder: hosts that start again would read the other run's settings.
    tests::temporary_folder own_folder("session-soak");
    const soak_config config{
        std::stoull(environment_variable("SOAK_SEED", "1")),  environment_variable("SOAK_PROGRAM", "build/bin/camphorstack"),
        environment_variable("SOAK_FOLDER", own_folder.path), std::stoi(environment_variable("SOAK_PORT", "28100")),
        std::stoi(environment_variable("SOAK_HOSTS", "4")),   std::stoi(environment_variable("SOAK_CALLERS", "8"))};
    soak_platform system(config);
    const bool started = system.recovers_within(recovery);
    if (started) {
        system.run_with_faults(span);
    }
    const bool recovered = started && system.recovers_within(recovery);
    std::cout << "soak: seed=" << config.seed << " faults=" << system.faults().size() << " statements=" << system.statements()
              << " transactions=" << system.transactions() << " acknowledged=" << system.acknowledged()
              << " promotions=" << system.promotions() << " violations=" << system.violations().size()
              << " recovered=" << (recovered ? "yes" : "no") << std::endl;
    if (!recovered || !system.violations().empty()) {
        own_folder.is_kept = true;
        std::cout << "logs: " << config.folder << "\n";
        for (const auto& fault : system.faults()) {
            std::cout << fault << "\n";
        }
        for (const auto& caller : system.unserved()) {
            std::cout << "not served in time: " << caller << "\n";
        }
        for (const auto& violation : system.violations()) {
            std::cout << "broken: " << violation << "\n";
        }
    }
    CHECK(started);
    CHECK(system.violations().empty());
    CHECK(recovered);
}
