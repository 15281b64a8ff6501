#include "camphorstack/contracts/remote_tokens.hpp"

#include <catch2/catch.hpp>

#include "camphorstack/contracts/shares.hpp"
#include "contracts/share_fleet.hpp"

using namespace camphorstack;
using namespace camphorstack::literals;
using namespace camphorstack::tests;

namespace {

constexpr instant start{100000};

document one_workspace(std::int64_t rate, std::int64_t burst) {
    document content;
    content.version = 1;
    content.workspaces = {{"w", {}, rate, burst}};
    return content;
}

/// State of host `self` in a fleet of `hosts` hosts, 3 of which are holders of workspace w if `hosts` is more than 4.
share_state host_of_fleet(const host_id& self, std::size_t hosts) {
    share_state state;
    state.self = self;
    state.settings = {1000_ms, 1100_ms, 3, 4, 0_ms};
    state.next_sequence = 1;
    update_rate_limits(state, one_workspace(30, 30), start - 20_s);
    member_list members{1, {}};
    for (std::size_t i = 0; i < hosts; ++i) {
        members.hosts.push_back({host_name(i), {}, {}, i % 3 == 0 ? "amman-a" : i % 3 == 1 ? "irbid-a" : "aqaba-a"});
    }
    update_share_holders(state, members, start - 20_s);
    return state;
}

host_id host_without_share() {
    const auto holders = host_of_fleet(host_name(0), 9).rate_limits.at("w").holders;
    for (std::size_t i = 0; i < 9; ++i) {
        if (!std::ranges::binary_search(holders, host_name(i))) {
            return host_name(i);
        }
    }
    return {};
}

}  // namespace

TEST_CASE("a host without a share asks the holder in its own data centre first", "[tokens]") {
    auto host = host_of_fleet(host_without_share(), 9);
    CHECK_FALSE(try_spend(host, "w", start));
    set_waiting_requests(host, "w", 2);
    const auto asked = due_token_requests(host, start);
    REQUIRE(asked.size() == 1);
    CHECK(asked[0].request.operations == 2);
    const auto location_of = [&](const host_id& id) { return std::ranges::find(host.members.hosts, id, &member::id)->location; };
    CHECK(location_of(asked[0].holder) == location_of(host.self));
    CHECK(due_token_requests(host, start + 1_ms).empty());

    SECTION("a grant serves as many operations as it names, once") {
        const token_grant grant{asked[0].request.sequence, "w", 2, 0_ms};
        receive_token_grant(host, asked[0].holder, grant, start + 2_ms);
        receive_token_grant(host, asked[0].holder, grant, start + 3_ms);
        CHECK(try_spend(host, "w", start + 3_ms));
        CHECK(try_spend(host, "w", start + 3_ms));
        CHECK_FALSE(try_spend(host, "w", start + 3_ms));
    }
    SECTION("a grant from a host that was not asked is ignored") {
        receive_token_grant(host, "stranger", {asked[0].request.sequence, "w", 2, 0_ms}, start + 2_ms);
        CHECK_FALSE(try_spend(host, "w", start + 3_ms));
    }
    SECTION("a grant expires a fixed time after its request was sent") {
        receive_token_grant(host, asked[0].holder, {asked[0].request.sequence, "w", 2, 0_ms}, start + 40_ms);
        CHECK_FALSE(try_spend(host, "w", start + 250_ms));
    }
    SECTION("if a holder grants less than requested, the next holder is asked for the rest") {
        receive_token_grant(host, asked[0].holder, {asked[0].request.sequence, "w", 1, 90_ms}, start + 2_ms);
        CHECK(try_spend(host, "w", start + 2_ms));
        set_waiting_requests(host, "w", 1);
        const auto next = due_token_requests(host, start + 2_ms);
        REQUIRE(next.size() == 1);
        CHECK(next[0].holder != asked[0].holder);
        CHECK(next[0].request.operations == 1);
    }
    SECTION("a holder that does not answer is skipped") {
        const auto next = due_token_requests(host, start + 60_ms);
        REQUIRE(next.size() == 1);
        CHECK(next[0].holder != asked[0].holder);
        const auto last = due_token_requests(host, start + 120_ms);
        REQUIRE(last.size() == 1);
        CHECK(due_token_requests(host, start + 180_ms).empty());
        CHECK(next_token_at(host, "w", start + 180_ms) == start + 500_ms);
    }
    SECTION("a holder that cannot be reached is skipped at once") {
        fail_token_request(host, asked[0].holder, asked[0].request, start + 1_ms);
        const auto next = due_token_requests(host, start + 1_ms);
        REQUIRE(next.size() == 1);
        CHECK(next[0].holder != asked[0].holder);
    }
}

TEST_CASE("refused callers are told times to come back that lie one token apart, up to a limit", "[tokens]") {
    auto host = host_of_fleet(host_without_share(), 9);
    // A holder has a third of the workspace's rate of 30 per second, a token every 100 ms.
    const auto first = advise_return(host, "w", 40_ms, start);
    CHECK(first >= 40_ms);
    CHECK(advise_return(host, "w", 40_ms, start) == first + 100_ms);
    CHECK(advise_return(host, "w", 40_ms, start + 50_ms) == first + 150_ms);
    for (int i = 0; i < 50; ++i) {
        CHECK(advise_return(host, "w", 40_ms, start + 50_ms) <= 2000_ms);
    }
    CHECK(advise_return(host, "w", 40_ms, start + 10_s) <= first);
    CHECK(advise_return(host, "unknown", 40_ms, start) == 40_ms);
}

TEST_CASE("a host without a share knows that no holder answers it", "[tokens]") {
    auto host = host_of_fleet(host_without_share(), 9);
    CHECK_FALSE(is_cut_off_from_holders(host, "w", start));
    CHECK_FALSE(try_spend(host, "w", start));
    set_waiting_requests(host, "w", 2);
    std::optional<addressed_token_request> last;
    auto now = start;
    for (; !is_cut_off_from_holders(host, "w", now) && now < start + 1_s; now = now + 10_ms) {
        for (const auto& request : due_token_requests(host, now)) {
            last = request;
        }
    }
    CHECK(now < start + 500_ms);
    CHECK(next_token_at(host, "w", now) > now);
    receive_token_grant(host, last->holder, {last->request.sequence, "w", 1, 0_ms}, now);
    CHECK_FALSE(is_cut_off_from_holders(host, "w", now));
}

TEST_CASE("a holder spends its tokens for other hosts and reports when its next token is due", "[tokens]") {
    auto holder = host_of_fleet(host_name(0), 9);
    holder = host_of_fleet(holder.rate_limits.at("w").holders.front(), 9);
    // The holder has a third of the workspace's rate of 30 per second and of its burst of 30. `own_burst` reduces the burst of 10
    // by the tokens of one millisecond, to 9.99.
    CHECK(grant_tokens(holder, {1, "w", 100}, start) == token_grant{1, "w", 9, 2_ms});
    const auto empty = grant_tokens(holder, {2, "w", 1}, start);
    CHECK((empty.operations == 0 && empty.next_token > 0_ms));
    CHECK(grant_tokens(holder, {3, "w", 1}, start + empty.next_token).operations == 1);
    CHECK(grant_tokens(holder, {4, "unknown", 1}, start).operations == 0);
    CHECK(grant_tokens(holder, {5, "w", -3}, start + 1_s).operations == 0);
}

// Guards against tokens that are spent twice after lost, duplicated or late messages, restarts and changes of the member list.
TEST_CASE("token requests exceed the rate and burst by at most the tokens of one grant lifetime", "[tokens]") {
    const auto seed = GENERATE(range(1U, 13U));
    constexpr std::size_t host_count = 24;
    constexpr std::int64_t rate = 60;
    constexpr std::int64_t burst = 40;
    share_fleet fleet{seed, one_workspace(rate, burst), fleet_latency, {1000_ms, 1100_ms, 6, 16, 4000_ms}};
    fleet.source = share_fleet::token_source::requests;
    fleet.network.faults = {0.1, 0.1, 200_ms};
    std::vector<host_id> members;
    for (std::size_t i = 0; i < host_count; ++i) {
        fleet.start(host_name(i));
        members.push_back(host_name(i));
    }
    fleet.publish(members, 1_ms);
    random_source random{seed};
    for (int t = 0; t < 20000; ++t) {
        // No load in the second half of each four seconds, so that the buckets fill.
        if (t % 4000 < 2000) {
            fleet.submit(host_name(random() % host_count), "w");
        }
        if (t % 5000 == 4000) {
            const auto index = random() % host_count;
            fleet.crash(host_name(index));
            fleet.start(host_name(index));
        }
        fleet.step();
    }
    CHECK(fleet.admissions.size() > static_cast<std::size_t>(rate) * 5);
    // A grant may be used up to 250 ms after the holder spent the tokens, so a window may exceed the bound by 250 ms of the rate.
    CHECK(largest_excess(fleet.admissions, "w", {{instant{0}, rate, burst}}, 0_ms) <= rate * 0.25 + 1);
}
