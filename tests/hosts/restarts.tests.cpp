#include <catch2/catch.hpp>
#include <set>

#include "camphorstack/hosts/host.hpp"

using namespace camphorstack;

namespace {

/// Sequence numbers of the probes that a new process sends in its first seconds.
std::set<std::uint64_t> probes_of_process(std::uint64_t seed) {
    host_settings settings;
    settings.self = {"h0", "127.0.0.1:7000", "127.0.0.1:8000", "amman-a"};
    settings.seeds = {{"h1", "127.0.0.1:7001", "127.0.0.1:8001", "amman-a"}};
    const instant start{10'000};
    const auto host = make_host(settings, random_source(seed), start);
    std::set<std::uint64_t> sequences;
    for (millis age{0}; age < millis{3000}; age = age + millis{5}) {
        for (const auto& action : step(*host, tick{}, start + age)) {
            const auto* message = std::get_if<send_to_peer>(&action);
            if (const auto* sent = message == nullptr ? nullptr : std::get_if<probe>(&message->message.body); sent != nullptr) {
                sequences.insert(sent->sequence);
            }
        }
    }
    return sequences;
}

}  // namespace

// Guards against evidence that looks younger than it is, because an answer to a host's earlier process arrives at its successor.
TEST_CASE("a process numbers its probes unlike the host's earlier processes", "[membership][late-answers]") {
    const auto earlier = probes_of_process(1);
    REQUIRE_FALSE(earlier.empty());
    for (const auto sequence : probes_of_process(2)) {
        CHECK_FALSE(earlier.contains(sequence));
    }
}
