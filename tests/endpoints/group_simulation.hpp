#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "camphorstack/support/random.hpp"
#include "endpoints/group_simulation_parts.hpp"

namespace camphorstack::tests {

/// Simulates hosts, the instances of one database group and a platform on a manual clock, with seeded delays and faults.
class group_simulation {
public:
    explicit group_simulation(simulation_options given) : options(given), random(given.seed) {
        this->group.id = "db";
        for (std::size_t index = 0; index < given.instances; ++index) {
            const auto name = "i" + std::to_string(index);
            const endpoint config{name,
                                  "dc" + std::to_string(index),
                                  "127.0.0.1:" + std::to_string(7000 + index),
                                  given.slots,
                                  given.connections,
                                  admin_state::in};
            this->group.endpoints.push_back(config);
            this->usable.insert(name);
            this->instances.push_back({config, {}, false, false, false, 0});
            this->instances.back().model.id = name;
        }
        this->hosts.resize(given.hosts);
        this->set_usable(this->usable);
        for (std::size_t host = 0; host < given.hosts; ++host) {
            this->set_duty(host, group_duty::owner);
        }
    }

    void run(millis span) {
        const instant end = this->now + span;
        while (this->now < end) {
            this->now = this->now + millis{1};
            this->run_due_events();
            replicate_group(this->instances, this->options.replication_lag, this->now);
            for (std::size_t host = 0; host < this->hosts.size(); ++host) {
                if (this->now.since_start % 5 == 0 && this->hosts[host].paused_until <= this->now) {
                    this->run_on_host(host,
                                      [&](group_state& state, group_actions& actions) { group_tick(state, this->now, actions); });
                }
            }
            if (this->each_ms) {
                this->each_ms();
            }
        }
    }

    request_id submit(std::size_t host, database_request request) {
        request.id = request.id.empty() ? "r" + std::to_string(++this->requests) : request.id;
        request.database = "db";
        request.workspace = request.workspace.empty() ? "w" : request.workspace;
        request.time_left = request.time_left.count == 0 ? millis{8000} : request.time_left;
        const auto id = request.id;
        this->submitted.emplace(id, request);
        this->submitted_at.emplace(id, this->now);
        this->schedule_on_host(host, 0, [this, request](group_state& state, group_actions& actions) {
            group_submit(state, "entry", request, this->now, actions);
        });
        return id;
    }

    /// Submits a request and runs the simulation until its reply, at most 10 s. Returns an empty reply if there is none.
    database_reply call(std::size_t host, database_request request) {
        const auto id = this->submit(host, std::move(request));
        for (int waited = 0; waited < 10000 && !this->replies.contains(id); ++waited) {
            this->run(millis{1});
        }
        return this->replies.contains(id) ? this->replies.at(id).front().reply : database_reply{};
    }

    void set_usable(std::set<endpoint_id> names) {
        this->usable = std::move(names);
        for (std::size_t host = 0; host < this->hosts.size(); ++host) {
            this->run_on_host(host, [&](group_state& state, group_actions& actions) {
                group_configure(state, this->group, this->usable, this->now, actions);
            });
        }
    }

    void set_duty(std::size_t host, group_duty duty) {
        this->run_on_host(host,
                          [&](group_state& state, group_actions& actions) { group_set_duty(state, duty, this->now, actions); });
    }

    /// Stops an instance and closes its connections.
    void kill(std::size_t index) {
        this->instances[index].killed = true;
        for (std::size_t host = 0; host < this->hosts.size(); ++host) {
            for (auto& [id, link] : this->hosts[host].links) {
                if (link.target == index && link.open) {
                    this->close_link(host, id);
                }
            }
        }
    }

    /// Ends all faults of an instance.
    void heal(std::size_t index) {
        auto& instance = this->instances[index];
        instance.killed = instance.frozen = instance.cut = false;
    }

    [[nodiscard]] std::size_t primary() const { return highest_primary(this->instances); }

    std::int64_t random_int(std::int64_t low, std::int64_t high) {
        return std::uniform_int_distribution<std::int64_t>(low, high)(this->random);
    }
    bool chance(double share) { return std::uniform_real_distribution<double>(0, 1)(this->random) < share; }

    simulation_options options;
    random_source random;
    instant now{1000};
    database group;
    std::set<endpoint_id> usable;
    std::vector<simulated_instance> instances;
    std::vector<simulated_host> hosts;
    bool platform_up = true;
    term_number last_term = 0;
    std::map<request_id, database_request> submitted;
    std::map<request_id, instant> submitted_at;
    std::map<request_id, std::vector<recorded_reply>> replies;
    std::function<void()> each_ms;                                  ///< Called after each simulated millisecond.
    std::function<void(std::size_t, const endpoint_call&)> on_run;  ///< Called before an instance runs a call.

private:
    using host_work = std::function<void(group_state&, group_actions&)>;

    std::int64_t delay() { return this->random_int(1, this->options.latency); }
    void schedule(std::int64_t wait, std::function<void()> work) {
        this->events.emplace(this->now.since_start + wait, std::move(work));
    }

    void run_due_events() {
        while (!this->events.empty() && this->events.begin()->first <= this->now.since_start) {
            const auto work = std::move(this->events.begin()->second);
            this->events.erase(this->events.begin());
            work();
        }
    }

    void schedule_on_host(std::size_t host, std::int64_t wait, host_work work) {
        this->schedule(wait, [this, host, work = std::move(work)] {
            const auto pause = this->hosts[host].paused_until - this->now;
            if (pause > millis{0}) {
                this->schedule_on_host(host, pause.count, work);
            } else {
                this->run_on_host(host, work);
            }
        });
    }

    void run_on_host(std::size_t host, const host_work& work) {
        group_actions actions;
        work(this->hosts[host].state, actions);
        for (const auto& action : actions) {
            std::visit([&](const auto& chosen) { this->handle(host, chosen); }, action);
        }
    }

    void handle(std::size_t host, const open_connection& action) {
        const auto target = static_cast<std::size_t>(std::stoi(action.target.substr(1)));
        this->hosts[host].links[action.connection] = {target, false, false};
        this->schedule(this->delay() + 10, [this, host, target, id = action.connection] {
            auto& link = this->hosts[host].links[id];
            if (this->instances[target].cut) {
                return;
            }
            if (this->instances[target].killed) {
                this->schedule_on_host(host, 0,
                                       [this, id](auto& state, auto& actions) { group_closed(state, id, this->now, actions); });
                return;
            }
            link.open = true;
            this->schedule_on_host(host, 0,
                                   [this, id](auto& state, auto& actions) { group_connected(state, id, this->now, actions); });
        });
    }

    void close_link(std::size_t host, connection_id id) {
        auto& link = this->hosts[host].links[id];
        link.open = false;
        stand_ins::drop_connection(this->instances[link.target].model, this->model_connection(host, id));
        this->schedule_on_host(host, this->delay(),
                               [this, id](auto& state, auto& actions) { group_closed(state, id, this->now, actions); });
    }

    void handle(std::size_t host, const close_connection& action) {
        this->schedule(this->delay(), [this, host, id = action.connection] {
            auto& link = this->hosts[host].links[id];
            link.open = false;
            if (!this->instances[link.target].cut) {
                stand_ins::drop_connection(this->instances[link.target].model, this->model_connection(host, id));
            }
        });
    }

    void handle(std::size_t host, const send_call& action) {
        auto& link = this->hosts[host].links[action.connection];
        link.silent = link.silent || this->chance(this->options.silent);
        if (!this->instances[link.target].cut && !link.silent) {
            this->schedule(this->delay() + this->options.service_time,
                           [this, host, action] { this->run_at_instance(host, action); });
        }
    }

    void run_at_instance(std::size_t host, const send_call& action) {
        const auto& link = this->hosts[host].links[action.connection];
        auto& instance = this->instances[link.target];
        if (instance.frozen) {
            this->schedule(5, [this, host, action] { this->run_at_instance(host, action); });
            return;
        }
        if (instance.killed || !link.open) {
            return;
        }
        if (this->on_run) {
            this->on_run(link.target, action.call);
        }
        const auto answer =
            stand_ins::run_call(instance.model, this->model_connection(host, action.connection), action.call, this->now);
        if (!instance.cut) {
            const auto id = this->chance(this->options.misdelivered) ? action.connection + 1 : action.connection;
            this->schedule_on_host(host, this->delay(), [this, id, answer](auto& state, auto& actions) {
                group_answered(state, id, answer, this->now, actions);
            });
        }
    }

    void handle(std::size_t /*host*/, const reply_to_request& action) {
        this->replies[action.reply.id].push_back({action.reply, this->now});
    }

    void handle(std::size_t host, const reserve_term& action) {
        const auto wait = this->platform_up ? 3 : 800;
        const auto above = std::max(this->last_term, action.above);
        const term_number term = this->platform_up ? (this->last_term = above + 1) : 0;
        this->schedule_on_host(
            host, wait, [this, term](auto& state, auto& actions) { group_term_reserved(state, term, this->now, actions); });
    }

    void handle(std::size_t host, const decision_record& action) { this->hosts[host].decisions.push_back(action); }

    [[nodiscard]] std::uint64_t model_connection(std::size_t host, connection_id id) const { return (id * 8) + host; }

    std::multimap<std::int64_t, std::function<void()>> events;
    std::size_t requests = 0;
};

}  // namespace camphorstack::tests
