#include "camphorstack/contracts/shares.hpp"

#include <catch2/catch.hpp>

#include "contracts/share_fleet.hpp"

using namespace camphorstack;
using namespace camphorstack::literals;
using namespace camphorstack::tests;

namespace {

enum class fault { none, loss, duplication, delay, pauses, members, rates, restarts };

const std::vector<std::pair<fault, std::string>> faults{{fault::loss, "loss"},        {fault::duplication, "duplication"},
                                                        {fault::delay, "delay"},      {fault::pauses, "pauses"},
                                                        {fault::members, "members"},  {fault::rates, "rates"},
                                                        {fault::restarts, "restarts"}};

constexpr std::size_t host_count = 8;

document rate_limit_document(document_version version, std::int64_t rate, std::int64_t burst) {
    document content;
    content.version = version;
    content.workspaces = {{"large", {}, rate, burst}, {"small", {}, 20, 12}};
    return content;
}

/// A fleet under alternating overload and idle phases, so that full buckets meet sudden demand, and under the given faults.
class faulty_run {
public:
    faulty_run(std::uint64_t seed, std::set<fault> faults_of_run)
        : fleet{seed, rate_limit_document(1, 400, 80)}, active{std::move(faults_of_run)}, random{seed} {
        this->fleet.network.faults.loss = this->has(fault::loss) ? 0.2 : 0;
        this->fleet.network.faults.duplication = this->has(fault::duplication) ? 0.2 : 0;
        this->fleet.network.faults.jitter = this->has(fault::delay) ? 400_ms : 0_ms;
        for (std::size_t i = 0; i < host_count; ++i) {
            this->fleet.start(host_name(i));
            this->members.push_back(host_name(i));
        }
        this->fleet.publish(this->members, 1_ms);
    }

    void run(millis duration) {
        for (millis elapsed; elapsed < duration; elapsed = elapsed + 1_ms) {
            if (elapsed.count % 100 == 0) {
                this->next_phase();
            }
            this->cause_faults(elapsed);
            this->offer_load();
            this->fleet.step();
        }
    }

    [[nodiscard]] double excess(const workspace_id& workspace) const {
        return largest_excess(this->fleet.admissions, workspace, workspace == "large" ? this->large : this->small, 3500_ms);
    }
    [[nodiscard]] std::size_t admitted() const { return this->fleet.admissions.size(); }

private:
    [[nodiscard]] bool has(fault one) const { return this->active.contains(one); }
    std::size_t pick(std::size_t bound) { return this->random() % bound; }

    /// A third of the phases is idle, a third overloads one host, and a third overloads all hosts.
    void next_phase() {
        this->phase = this->pick(3);
        this->target = this->pick(host_count);
    }

    void offer_load() {
        const auto requests = this->phase == 0 ? 0 : 4;
        for (int i = 0; i < requests; ++i) {
            const auto host = host_name(this->phase == 1 ? this->target : this->pick(host_count));
            this->fleet.submit(host, "large");
            if (i == 0) {
                this->fleet.submit(host, "small");
            }
        }
    }

    void cause_faults(millis elapsed) {
        if (this->has(fault::pauses) && elapsed.count % 400 == 0) {
            this->fleet.network.pause(host_name(this->pick(host_count)), millis{static_cast<std::int64_t>(this->pick(1500))});
        }
        if (this->has(fault::members) && elapsed.count % 3000 == 2999) {
            const auto changed = host_name(this->pick(host_count));
            if (std::erase(this->members, changed) == 0) {
                this->members.push_back(changed);
            }
            this->fleet.publish(this->members, 2_s);
        }
        if (this->has(fault::rates) && elapsed.count % 4000 == 3999) {
            const auto rate = static_cast<std::int64_t>(50 + this->pick(800));
            const auto burst = static_cast<std::int64_t>(20 + this->pick(150));
            this->fleet.change_document(rate_limit_document(++this->version, rate, burst), 2_s);
            this->large.push_back({this->fleet.now(), rate, burst});
        }
        if (this->has(fault::restarts) && elapsed.count % 1500 == 1499) {
            const auto restarted = host_name(this->pick(host_count));
            this->fleet.crash(restarted);
            this->fleet.start(restarted);
        }
    }

    share_fleet fleet;
    std::set<fault> active;
    random_source random;
    std::vector<host_id> members;
    std::vector<rate_limit_in_force> large{{instant{}, 400, 80}};
    std::vector<rate_limit_in_force> small{{instant{}, 20, 12}};
    document_version version = 1;
    std::size_t phase = 0;
    std::size_t target = 0;
};

void check_bound(const std::set<fault>& active, const std::string& name, std::uint64_t seed) {
    constexpr double rounding = 1e-6;
    faulty_run trial{seed, active};
    trial.run(16_s);
    INFO("faults " << name << " seed " << seed << " admitted " << trial.admitted());
    CHECK(trial.excess("large") <= rounding);
    CHECK(trial.excess("small") <= rounding);
    CHECK(trial.admitted() > 500);  // With fewer admitted requests the run would not test the bound.
}

}  // namespace

// Guards against tokens or rate that are counted twice: at the lender and the borrower, before and after a change of the rate
// limit, or in the processes before and after a restart.
TEST_CASE("no window of time admits more than rate and burst under each fault", "[rate-bound]") {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        check_bound({}, "none", seed);
        for (const auto& [one, name] : faults) {
            check_bound({one}, name, seed);
        }
    }
}

// Guards against safeguards that withstand each fault alone but not two together, such as a pause during a change of members.
TEST_CASE("no window of time admits more than rate and burst under pairs of faults", "[rate-bound]") {
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        for (auto first = faults.begin(); first != faults.end(); ++first) {
            for (auto second = std::next(first); second != faults.end(); ++second) {
                check_bound({first->first, second->first}, first->second + "+" + second->second, seed);
            }
        }
    }
}

// Guards against a host that skipped member lists and uses the larger share of a new list before all hosts have learned of it.
TEST_CASE("a host that skipped a member list has no share for the changeover", "[rate-bound]") {
    share_state state;
    state.self = "h0";
    update_rate_limits(state, rate_limit_document(1, 400, 80), instant{0});
    const auto list = [](std::uint64_t epoch) { return member_list{epoch, {{"h0", {}, {}, {}}, {"h1", {}, {}, {}}}}; };
    update_share_holders(state, list(1), instant{0});
    CHECK_FALSE(try_spend(state, "large", instant{3999}));
    CHECK(try_spend(state, "large", instant{4500}));
    update_share_holders(state, list(3), instant{10000});
    CHECK_FALSE(try_spend(state, "large", instant{13999}));
    CHECK(try_spend(state, "large", instant{14500}));
    update_share_holders(state, list(4), instant{20000});
    CHECK(try_spend(state, "large", instant{20001}));
}

// Guards against a burst that is divided among hosts so that no host can use most of it.
TEST_CASE("one host gets nearly the whole burst within the wait limit of a request", "[rate-bound]") {
    share_fleet fleet{1, rate_limit_document(1, 40, 80)};
    std::vector<host_id> members;
    for (std::size_t i = 0; i < host_count; ++i) {
        fleet.start(host_name(i));
        members.push_back(host_name(i));
    }
    fleet.publish(members, 1_ms);
    while (fleet.now() < instant{20000}) {
        fleet.step();
    }
    for (int i = 0; i < 80; ++i) {
        fleet.submit("h0", "large");
    }
    while (fleet.now() < instant{20100}) {
        fleet.step();
    }
    CHECK(fleet.counts["large"].admitted >= 76);
    CHECK(fleet.counts["large"].admitted <= 80);
}
