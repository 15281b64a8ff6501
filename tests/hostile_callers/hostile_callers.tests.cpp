#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>

#include "hostile_callers/hostile_crowd.hpp"
#include "links/run_main_loop.hpp"
#include "platform/object_store.hpp"
#include "platform/wire_instance.hpp"
#include "soak/soak_host.hpp"
#include "support/environment.hpp"
#include "support/temporary_folder.hpp"

using namespace camphorstack;
using namespace camphorstack::hostile;
using camphorstack::tests::environment_variable;

namespace {

/// Memory of the machine on which the host has to stay.
constexpr std::size_t memory_bound_mb = 64;
/// Descriptors that the machine allows the host.
constexpr std::size_t descriptor_bound = 100;
/// Limits of the load and of the waits; none is a bound that a host has to keep.
constexpr millis longest_load{12000};
constexpr millis after_load{1000};
constexpr millis longest_wait{30000};

/// The memory bound in units of 2^20 bytes, and the descriptors.
const char* const limits_of_tests = "memory_limit: 61MB\ndescriptor_limit: 100\n";

constexpr int crowd = 32;
constexpr std::size_t kilobyte = 1000;
constexpr std::size_t megabyte = 1000 * kilobyte;

const std::string start = "START books key-0\r\n";

/// One host as a process of its own, and stand-ins for the store and for a database of one instance.
class host_under_load {
public:
    host_under_load() : instance(this->sockets, this->model, "db-0") {
        this->store.put("config", "main",
                        R"({"Version":1,"Routes":[{"Name":"p","Host":"books","Kind":"primary","Service":"db",)"
                        R"("TimeoutMs":3000,"TargetLatencyMs":3000}],"Services":[{"Name":"db","MaxConnections":16}],)"
                        R"("Tenants":[{"Name":"tenant-0","ApiKeys":["key-0"],"RatePerS":50000,"Burst":50000}]})");
        this->store.put("servers", "db-0",
                        R"({"Service":"db","Address":")" + this->instance.address() +
                            R"(","Zone":"amman-a","State":"ready","Version":"v1","Slots":8,"ColdRemainingMs":0,"Sequence":1,)"
                            R"("DatabaseRole":"primary"})");
        this->host.emplace(soak::soak_host_config{
            "front-0", "amman-a", environment_variable("SOAK_PROGRAM", "build/bin/camphorstack"), this->folder.path,
            this->store.address(), std::stoi(environment_variable("SOAK_PORT", "28500")), limits_of_tests});
        this->process = this->host->process_folder();
        REQUIRE(this->answers("WRITE ready yes"));
    }

    /// Sends one ordinary statement, on a new connection after each failure; true once it is answered with success.
    bool answers(const std::string& text) {
        std::unique_ptr<platform_tests::message_connection> connection;
        bool done = false;
        bool failed = true;
        instant tried_at;
        const monotonic_clock time;
        return tests::run_until(
            [&] {
                constexpr millis retry_interval{500};
                if (!done && (failed || !connection->is_open()) && time.now() - tried_at >= retry_interval) {
                    tried_at = time.now();
                    failed = false;
                    connection = std::make_unique<platform_tests::message_connection>(
                        this->sockets, platform_tests::connect_on_loopback(this->host->callers_address()),
                        [&](std::string_view message) {
                            done = done || message.starts_with("DONE ");
                            failed = failed || message.starts_with("ERROR ");
                        });
                    connection->write(start + "QUERY ordinary-" + std::to_string(++this->statements) + " " + text + "\r\n");
                }
                this->observe();
                return done;
            },
            longest_wait);
    }

    /// Lets the crowd send until all is sent or the time is over, and a little longer.
    void suffer(const crowd_plan& plan) {
        std::vector<std::unique_ptr<hostile_caller>> callers;
        callers.reserve(static_cast<std::size_t>(plan.callers));
        for (int i = 0; i < plan.callers; ++i) {
            callers.push_back(std::make_unique<hostile_caller>(this->host->callers_address(), plan));
        }
        const auto turn = [&] {
            bool all_done = true;
            for (const auto& caller : callers) {
                caller->turn();
                all_done = all_done && caller->is_done();
            }
            this->observe();
            return all_done;
        };
        tests::run_until(turn, longest_load);
        tests::run_until([&] { return turn() && false; }, after_load);
        this->closed_callers = std::ranges::count_if(callers, [](const auto& caller) { return caller->is_closed(); });
    }

    /// Checks that the host lives within its bounds and still answers.
    void check(const std::string& name) {
        const bool answered = this->answers("READ ready");
        std::cout << "hostile callers: " << name << ": peak_mb=" << this->peak_mb() << " descriptors=" << this->descriptors
                  << " closed=" << this->closed_callers << " answered=" << (answered ? "yes" : "no") << std::endl;
        CHECK(this->host->process_folder() == this->process);
        CHECK(this->peak_mb() < memory_bound_mb);
        CHECK(this->descriptors < descriptor_bound);
        CHECK(answered);
    }

private:
    void observe() {
        const monotonic_clock time;
        constexpr millis observation_interval{100};
        if (time.now() - this->observed_at < observation_interval) {
            return;
        }
        this->observed_at = time.now();
        std::error_code failure;
        const auto entries = std::filesystem::directory_iterator(this->process + "/fd", failure);
        const auto count = static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
        this->descriptors = std::max(this->descriptors, count);
    }

    /// Peak of the process's resident memory, in MB of 10^6 bytes; the largest number if it has ended.
    [[nodiscard]] std::size_t peak_mb() const {
        std::ifstream status(this->process + "/status");
        std::string word;
        std::size_t kibibytes = 0;
        while (status >> word) {
            if (word == "VmHWM:") {
                status >> kibibytes;
                return kibibytes * 1024 / megabyte;
            }
        }
        return SIZE_MAX;
    }

    tests::temporary_folder folder{"hostile-callers"};
    fd_watcher sockets;
    platform_tests::object_store store;
    session_tests::database_model model{"db", {"amman-a"}};
    platform_tests::wire_instance instance;
    std::optional<soak::soak_host> host;
    std::string process;
    int statements = 0;
    std::size_t descriptors = 0;
    std::ptrdiff_t closed_callers = 0;
    instant observed_at;
};

void play(const std::string& name, const crowd_plan& plan) {
    host_under_load system;
    system.suffer(plan);
    system.check(name);
}

}  // namespace

TEST_CASE("callers that send many legal messages ahead in one piece leave a host within its memory", "[.][hostile-callers]") {
    const auto message = "QUERY m-1 READ " + std::string(megabyte, 'r') + "\r\n";
    play("messages ahead, one piece", {crowd, start, message, 8, 16 * megabyte, 0});
}

TEST_CASE("callers that send many legal messages ahead in small pieces leave a host within its memory", "[.][hostile-callers]") {
    const auto message = "QUERY m-1 READ " + std::string(megabyte, 'r') + "\r\n";
    play("messages ahead, small pieces", {crowd, start, message, 8, 32 * kilobyte, 0});
}

TEST_CASE("callers that send messages far over the limit leave a host within its memory", "[.][hostile-callers]") {
    play("messages over the limit", {80, start + "QUERY m-1 READ ", std::string(100 * kilobyte, 'x'), 40, megabyte, 0});
}

TEST_CASE("callers that send a long message very slowly leave a host within its memory", "[.][hostile-callers]") {
    play("slow long messages", {80, start + "QUERY m-1 READ " + std::string(megabyte, 'x'), "y", 1000, 20 * kilobyte, 0});
}

TEST_CASE("callers that stop in the middle of a message leave a host within its memory", "[.][hostile-callers]") {
    play("half messages", {80, start + "QUERY m-1 READ " + std::string(megabyte, 'x'), "", 0, megabyte, 0});
}

TEST_CASE("callers that read no answers leave a host within its memory", "[.][hostile-callers]") {
    host_under_load system;
    REQUIRE(system.answers("WRITE large " + std::string(megabyte, 'd')));
    system.suffer({2 * crowd, start, "QUERY m-1 READ large\r\n", 200, megabyte, 0});
    system.check("answers never read");
}

TEST_CASE("callers that read answers slowly leave a host within its memory", "[.][hostile-callers]") {
    host_under_load system;
    REQUIRE(system.answers("WRITE large " + std::string(megabyte, 'd')));
    system.suffer({2 * crowd, start, "QUERY m-1 READ large\r\n", 200, megabyte, kilobyte});
    system.check("answers read slowly");
}

TEST_CASE("callers that set many session values leave a host within its memory", "[.][hostile-callers]") {
    std::string opening = start;
    for (int i = 0; i < 50; ++i) {
        opening.append("QUERY m-1 SET v" + std::to_string(i) + " " + std::string(100 * kilobyte, 'v') + "\r\n");
    }
    play("session values", {crowd, opening, "", 0, megabyte, megabyte});
}

TEST_CASE("callers that prepare many shapes leave a host within its memory", "[.][hostile-callers]") {
    std::string opening = start;
    for (int i = 0; i < 100; ++i) {
        opening += "QUERY m-1 PREPARE s" + std::to_string(i) + " READ " + std::string(100 * kilobyte, 's') + "\r\n";
    }
    play("prepared shapes", {crowd, opening, "", 0, megabyte, megabyte});
}

TEST_CASE("callers that stop in the middle of a START leave a host within its memory", "[.][hostile-callers]") {
    play("half a START", {crowd, "START books k", "", 0, megabyte, megabyte});
}

TEST_CASE("callers that begin transactions and leave them open leave a host within its memory", "[.][hostile-callers]") {
    play("transactions left", {crowd, start + "QUERY m-1 BEGIN\r\nQUERY m-2 WRITE a b\r\n", "", 0, megabyte, megabyte});
}

TEST_CASE("many connections from one address leave a host within its descriptors", "[.][hostile-callers]") {
    play("many connections", {99, start, "", 0, megabyte, megabyte});
}

TEST_CASE("a single message of legal size is served by a host with lowered limits", "[.][hostile-callers]") {
    host_under_load system;
    CHECK(system.answers("WRITE large " + std::string(megabyte, 'd')));
    CHECK(system.answers("READ large"));
    system.check("single message");
}
