#include "camphorstack/links/platform_link.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "links/run_main_loop.hpp"
#include "stand_ins/platform_server.hpp"

using namespace camphorstack;
using namespace camphorstack::stand_ins;
using namespace camphorstack::tests;

namespace {

constexpr millis timeout{150};

struct recorded_platform {
    platform_server server{"127.0.0.1:0"};
    std::vector<platform_answer> answers;
    std::unique_ptr<platform_link> link = this->make(this->server.address());

    std::unique_ptr<platform_link> make(const std::string& address) {
        return std::make_unique<platform_link>(
            address, timeout, [this](host_event event) { this->answers.push_back(std::get<platform_answer>(event)); });
    }

    platform_answer call(const platform_call& call) {
        this->link->call(call);
        REQUIRE(this->answers.empty());
        return this->next();
    }

    platform_answer next() {
        REQUIRE(run_until([this] { return !this->answers.empty(); }));
        auto answer = this->answers.front();
        this->answers.erase(this->answers.begin());
        return answer;
    }
};

platform_call write_call(std::uint64_t expected, std::string value) {
    return {2, platform_operation::write, "terms/serial-registry-1", expected, std::move(value)};
}

const platform_call read_call{1, platform_operation::read, "terms/serial-registry-1", 0, ""};
const platform_answer no_answer{1, platform_status::unavailable, 0, "", {}};

}  // namespace

TEST_CASE("objects are read and written conditionally over HTTP", "[platform_link]") {
    recorded_platform platform;
    CHECK(platform.call(read_call) == platform_answer{1, platform_status::not_found, 0, "", {}});
    CHECK(platform.call(write_call(3, "{}")) == platform_answer{2, platform_status::conflict, 0, "", {}});
    CHECK(platform.call(write_call(0, R"({"a":[1,"x"]})")) == platform_answer{2, platform_status::ok, 1, "", {}});
    CHECK(platform.call(write_call(0, "{}")) == platform_answer{2, platform_status::conflict, 1, R"({"a":[1,"x"]})", {}});
    CHECK(platform.call(read_call) == platform_answer{1, platform_status::ok, 1, R"({"a":[1,"x"]})", {}});
}

TEST_CASE("the host list leaves out leaving hosts", "[platform_link]") {
    recorded_platform platform;
    const member live{"host-1", "127.0.0.1:1", "127.0.0.1:2", "amman-a"};
    platform.server.model.hosts = {{live, false}, {{"host-2", "", "", ""}, true}};
    CHECK(platform.call({4, platform_operation::hosts, "", 0, ""}).hosts == std::vector<member>{live});
}

TEST_CASE("a watch answers when another caller writes, or unchanged after its time", "[platform_link]") {
    recorded_platform platform;
    platform.server.model.watch_time = millis{400};
    platform.call(write_call(0, "1"));
    platform.link->call({3, platform_operation::watch, "terms/serial-registry-1", 1, ""});
    SECTION("newer version") {
        platform.link->call(write_call(1, "2"));
        REQUIRE(run_until([&] { return platform.answers.size() == 2; }));
        // The two answers come over different connections, in any order.
        std::sort(platform.answers.begin(), platform.answers.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
        CHECK(platform.next() == platform_answer{2, platform_status::ok, 2, "", {}});
        CHECK(platform.next() == platform_answer{3, platform_status::ok, 2, "2", {}});
    }
    SECTION("no change, though it waits longer than the timeout of other calls") {
        CHECK(platform.next() == platform_answer{3, platform_status::ok, 1, "1", {}});
    }
}

TEST_CASE("a platform that does not answer is unavailable, and a later call is answered", "[platform_link]") {
    recorded_platform platform;
    SECTION("cut connections") {
        platform.server.faults.down = true;
    }
    SECTION("silence") {
        platform.server.faults.silent = true;
    }
    SECTION("too slow") {
        platform.server.faults.call_delay = timeout * 2;
    }
    CHECK(platform.call(read_call) == no_answer);
    platform.server.faults = {};
    CHECK(platform.call(read_call).status == platform_status::not_found);
    run_for(timeout * 2);
    CHECK(platform.answers.empty());
}

TEST_CASE("a write with a lost answer is unavailable and is not sent again", "[platform_link]") {
    // A write that was sent again would be answered with a conflict though the first one took effect.
    recorded_platform platform;
    platform.call(read_call);
    platform.server.faults.lose_next_answer = true;
    CHECK(platform.call(write_call(0, "1")).status == platform_status::unavailable);
    CHECK(platform.server.model.calls[platform_operation::write] == 1);
    CHECK(platform.call(read_call).version == 1);
}

TEST_CASE("no answer follows the end of the link", "[platform_link]") {
    recorded_platform platform;
    platform.server.faults.silent = true;
    platform.link->call(read_call);
    run_for(millis{30});
    platform.link.reset();
    run_for(timeout * 2);
    CHECK(platform.answers.empty());
}

TEST_CASE("an address that nobody listens on is unavailable", "[platform_link]") {
    recorded_platform platform;
    platform.link = platform.make(GENERATE(std::string("127.0.0.1:1"), std::string("not an address")));
    CHECK(platform.call(read_call) == no_answer);
}
