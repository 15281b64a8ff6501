#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

#include "camphorstack/executors/executor.hpp"

using namespace camphorstack;

namespace {

constexpr int slots = 4;
constexpr int extra_in_flight = 2;
constexpr millis day{6000};
/// Requests per second of one host at the modelled endpoint: 88 hosts use some 80% of its slots.
constexpr double rate_per_host = 4;

struct load {
    int hosts = 88;
    double hot_factor = 1;      ///< Load of the first workspace from 2 to 4 s, in units of its usual one.
    double burst_factor = 1;    ///< Load of all workspaces from 2 to 3 s.
    bool falls_silent = false;  ///< The endpoint answers nothing from 3 to 3.5 s.
};

/// A caller's request. Its target includes its time at the endpoint.
struct request {
    instant arrived;
    workspace_id workspace;
    run_kind kind = run_kind::read;
    millis target;
    int priority = 0;
};

struct outcomes {
    int in_time = 0;
    int late = 0;
    int refused_at_once = 0;
    int held_then_refused = 0;
    int lost = 0;
};

std::string describe(const outcomes& seen) {
    return "in time " + std::to_string(seen.in_time) + ", late " + std::to_string(seen.late) + ", refused at once " +
           std::to_string(seen.refused_at_once) + ", held and refused " + std::to_string(seen.held_then_refused) + ", lost " +
           std::to_string(seen.lost);
}

millis service_of(run_kind kind) {
    return kind == run_kind::write ? millis{3} : millis{12};
}

std::vector<request> make_requests(const load& load) {
    std::mt19937 random(7);  // NOLINT(cert-msc51-cpp): the test repeats the same load.
    std::uniform_real_distribution<double> uniform;
    constexpr int workspaces = 20;
    std::vector<request> requests;
    for (instant now{0}; now < instant{} + day; now = now + millis{1}) {
        for (int i = 0; i < workspaces; ++i) {
            const bool is_disturbed = now >= instant{2000};
            const double hot = i == 0 && is_disturbed && now < instant{4000} ? load.hot_factor : 1;
            const double burst = is_disturbed && now < instant{3000} ? load.burst_factor : 1;
            if (uniform(random) >= load.hosts * rate_per_host / workspaces / 1000 * hot * burst) {
                continue;
            }
            const bool writes = uniform(random) < 0.25;
            requests.push_back({now, "w" + std::to_string(i), writes ? run_kind::write : run_kind::read,
                                writes ? millis{250} : millis{500}, writes ? 0 : 1});
        }
    }
    return requests;
}

/// The endpoint: statements take its slots in the order of their arrival.
struct endpoint_model {
    struct statement {
        std::size_t request = 0;
        std::optional<instant> ends;
    };

    /// Returns the requests that are answered at `now`.
    std::vector<std::size_t> advance(const std::vector<request>& requests, instant now, bool is_silent) {
        std::vector<std::size_t> answered;
        if (is_silent) {
            return answered;
        }
        std::erase_if(this->running, [&](const statement& one) {
            const bool ended = one.ends && *one.ends <= now;
            if (ended) {
                answered.push_back(one.request);
            }
            return ended;
        });
        for (std::size_t i = 0; i < std::min<std::size_t>(slots, this->running.size()); ++i) {
            auto& one = this->running[i];
            one.ends = one.ends.value_or(now + service_of(requests[one.request].kind));
        }
        return answered;
    }

    std::vector<statement> running;
};

/// The order before this one: by priority and arrival, with one mean service time and half of the target as the queue timeout.
struct arrival_order {
    struct item {
        std::size_t request = 0;
        instant arrived;
        millis timeout;
        int priority = 0;
    };

    void submit(std::size_t id, const request& asked, instant now) {
        const double ahead = static_cast<double>(this->queue.size() + this->endpoint.running.size());
        const auto wait = std::max(0.0, ahead - slots + 1) / slots * this->mean_ms;
        if (wait > static_cast<double>(asked.target.count) / 2) {
            this->refused.push_back(id);
            return;
        }
        this->queue.push_back({id, now, asked.target / 2, asked.priority});
    }

    void step(const std::vector<request>& requests, instant now, bool is_silent) {
        for (const auto id : this->endpoint.advance(requests, now, is_silent)) {
            this->mean_ms += 0.1 * (static_cast<double>(service_of(requests[id].kind).count) - this->mean_ms);
            this->done.push_back(id);
        }
        std::ranges::stable_sort(this->queue, {}, &item::priority);
        std::erase_if(this->queue, [&](const item& one) {
            const bool refuses = now - one.arrived >= one.timeout;
            if (refuses) {
                this->refused.push_back(one.request);
            }
            return refuses;
        });
        while (!this->queue.empty() && this->endpoint.running.size() < slots + extra_in_flight) {
            this->endpoint.running.push_back({this->queue.front().request, {}});
            this->queue.erase(this->queue.begin());
        }
    }

    endpoint_model endpoint;
    std::vector<item> queue;
    double mean_ms = 15;
    std::vector<std::size_t> done;
    std::vector<std::size_t> refused;
    std::vector<std::size_t> lost;
};

/// The executor with the modelled endpoint.
struct executor_order {
    executor_order() {
        endpoint_share share;
        share.entry.id = "i-1";
        share.entry.database = "db";
        share.entry.slots = slots;
        share.connection_limit = 56;
        set_endpoints(this->state, {{"i-1", share}}, instant{});
    }

    void submit(std::size_t id, const request& asked, instant now) {
        run_request run;
        run.id = id;
        run.endpoint = "i-1";
        run.workspace = asked.workspace;
        run.kind = asked.kind;
        run.statement_id = std::to_string(id);
        run.text = "READ x";
        run.statement_timeout = millis{2000};
        run.queue_timeout = asked.target / 2;
        run.start_target = asked.target * 3 / 4;
        run.priority = asked.priority;
        submit_run(this->state, "host", run, now);
        this->collect(now);
    }

    void step(const std::vector<request>& requests, instant now, bool is_silent) {
        for (const auto id : this->endpoint.advance(requests, now, is_silent)) {
            endpoint_reply reply;
            reply.proof = "proof-" + std::to_string(id);
            reply.position = log_position{1, 5};
            on_endpoint_reply(this->state, {this->connections.at(id), reply}, now);
        }
        executor_tick(this->state, now);
        this->collect(now);
    }

    void collect(instant now) {
        while (!this->state.actions.empty()) {
            for (const auto& action : std::exchange(this->state.actions, {})) {
                if (const auto* open = std::get_if<open_endpoint_connection>(&action)) {
                    on_connection_opened(this->state, {open->connection, std::nullopt}, now);
                } else if (const auto* sent = std::get_if<send_endpoint_statements>(&action)) {
                    const auto id = std::stoull(sent->statements.back().id);
                    this->connections[id] = sent->connection;
                    this->endpoint.running.push_back({id, {}});
                }
            }
        }
        for (const auto& item : std::exchange(this->state.results, {})) {
            auto& list = item.result.outcome == run_outcome::done      ? this->done
                         : item.result.outcome == run_outcome::not_run ? this->refused
                                                                       : this->lost;
            list.push_back(item.result.id);
        }
    }

    executor_state state;
    endpoint_model endpoint;
    std::map<std::size_t, connection_id> connections;
    std::vector<std::size_t> done;
    std::vector<std::size_t> refused;
    std::vector<std::size_t> lost;
};

/// Plays the load. Counts the first workspace's requests apart from the others'.
template <typename Order>
std::pair<outcomes, outcomes> play(const load& load) {
    const auto requests = make_requests(load);
    Order order;
    std::pair<outcomes, outcomes> seen;
    std::size_t next = 0;
    for (instant now{0}; now < instant{} + day + millis{3000}; now = now + millis{1}) {
        for (; next < requests.size() && requests[next].arrived <= now; ++next) {
            order.submit(next, requests[next], now);
        }
        order.step(requests, now, load.falls_silent && now >= instant{3000} && now < instant{3500});
        const auto count = [&](std::vector<std::size_t>& ids, auto add) {
            for (const auto id : std::exchange(ids, {})) {
                add(requests[id].workspace == "w0" ? seen.first : seen.second, now - requests[id].arrived, requests[id]);
            }
        };
        count(order.done,
              [](outcomes& out, millis took, const request& asked) { ++(took <= asked.target ? out.in_time : out.late); });
        count(order.refused, [](outcomes& out, millis took, const request& asked) {
            ++(took <= asked.target / 4 ? out.refused_at_once : out.held_then_refused);
        });
        count(order.lost, [](outcomes& out, millis, const request&) { ++out.lost; });
    }
    return seen;
}

int total(const outcomes& seen) {
    return seen.in_time + seen.late + seen.refused_at_once + seen.held_then_refused + seen.lost;
}

}  // namespace

TEST_CASE("callers of a scarce endpoint get no less than in the order of arrival, and others nothing less for a hot workspace",
          "[run-order][load]") {
    const int hosts = GENERATE(8, 88, 300);
    const auto [name, factors] = GENERATE(table<std::string, load>({
        {"calm", {}},
        {"hot workspace", {88, 10, 1, false}},
        {"burst", {88, 1, 3, false}},
        {"hot workspace and an endpoint that is silent for 0.5 s", {88, 10, 1, true}},
    }));
    auto played = factors;
    played.hosts = hosts;
    const auto [hot, others] = play<executor_order>(played);
    const auto [hot_before, others_before] = play<arrival_order>(played);
    INFO(hosts << " hosts, " << name);
    INFO("first workspace: " << describe(hot) << "; by arrival: " << describe(hot_before));
    INFO("others: " << describe(others) << "; by arrival: " << describe(others_before));
    CHECK(total(others) == total(others_before));
    CHECK(hot.lost + others.lost == 0);
    // Which runs an endpoint holds when it falls silent is chance: two runs of a hundred either way.
    CHECK(others.in_time * 100 >= others_before.in_time * (played.falls_silent ? 98 : 100));
    CHECK(others.held_then_refused * 100 <= others_before.held_then_refused * 100 + 2 * total(others));
    if (!played.falls_silent && hosts <= 88 && played.burst_factor <= 1) {
        CHECK(others.in_time * 1000 >= total(others) * 999);
    }
}
