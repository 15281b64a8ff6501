#include "fleet/fleet.hpp"

#include <glib.h>

#include <algorithm>
#include <ranges>
#include <stdexcept>

#include "camphorstack/document/sections.hpp"

namespace camphorstack::fleet_tests {

namespace {

constexpr const char* platform_node = "platform";
constexpr millis tick_interval{5};
constexpr millis replication_interval{2};
constexpr millis platform_call_timeout{800};
constexpr millis link_timeout{3000};

std::string sha256(const std::string& text) {
    gchar* digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256, text.c_str(), static_cast<gssize>(text.size()));
    std::string result(digest);
    g_free(digest);
    return result;
}

std::string quoted(const std::string& text) {
    return "\"" + text + "\"";
}

std::string endpoint_name(int database, std::size_t copy) {
    return fleet::database_name(database) + "-" + std::string(1, static_cast<char>('a' + copy));
}

std::string endpoint_address(int database, std::size_t copy) {
    return "127.0.0.1:" + std::to_string(20000 + database * 10 + static_cast<int>(copy));
}

std::string host_name(std::size_t index) {
    return "host-" + std::to_string(index);
}

bool needs_slot(endpoint_operation operation) {
    return operation == endpoint_operation::execute || operation == endpoint_operation::begin ||
           operation == endpoint_operation::commit || operation == endpoint_operation::rollback;
}

}  // namespace

fleet_options authority_options(std::uint64_t seed) {
    fleet_options result;
    result.seed = seed;
    return result;
}

fleet_options reparoo_options(std::uint64_t seed) {
    fleet_options result;
    result.data_centres = {"be-north-a", "be-south-a", "nl-south-a"};
    result.connections = 34;
    result.seed = seed;
    return result;
}

std::string fleet::key_of(int workspace) {
    return "key-of-workspace-" + std::to_string(workspace);
}

std::string fleet::workspace_name(int workspace) {
    return "workspace-" + std::to_string(workspace);
}

std::string fleet::database_name(int database) {
    return "db-" + std::to_string(database);
}

host_id fleet::host(std::size_t index) const {
    return host_name(index);
}

fleet::fleet(fleet_options wanted) : options(std::move(wanted)), random(options.seed) {
    for (int database = 0; database < static_cast<int>(this->options.databases); ++database) {
        for (std::size_t copy = 0; copy < this->options.data_centres.size(); ++copy) {
            const auto id = endpoint_name(database, copy);
            this->nodes[id] = {id, this->options.data_centres[copy], true, false, {}};
            this->instances[id].id = id;
            this->by_address[endpoint_address(database, copy)] = id;
            this->add_event(replication_interval, [this, id] { this->replicate(id); });
        }
    }
    this->nodes[platform_node] = {platform_node, "", true, false, {}};
    std::string limits;
    for (int i = 0; i < this->options.workspaces; ++i) {
        limits += std::string(i == 0 ? "" : ",") + R"({"workspace":)" + quoted(workspace_name(i)) + R"(,"rate_per_s":)" +
                  std::to_string(this->options.rate_per_s) + R"(,"burst":)" + std::to_string(this->options.burst) + "}";
    }
    this->apply("data_centres", this->data_centres_section(""));
    this->apply("databases", this->databases_section(""));
    this->apply("tenancy", this->tenancy_section(-1));
    this->apply("capacity", R"({"limits":[)" + limits + "]}");
    for (std::size_t i = 0; i < this->options.hosts; ++i) {
        const auto id = host_name(i);
        this->nodes[id] = {id, this->options.data_centres[i % this->options.data_centres.size()], true, false, {}};
        this->start_host(id);
    }
}

std::string fleet::data_centres_section(const std::string& out_id) const {
    std::string result;
    for (const auto& id : this->options.data_centres) {
        result += std::string(result.empty() ? "" : ",") + R"({"id":)" + quoted(id) + R"(,"region":"one","state":)" +
                  quoted(id == out_id ? "out" : "in") + "}";
    }
    return R"({"data_centres":[)" + result + "]}";
}

std::string fleet::databases_section(const std::string& out_id) const {
    std::string result;
    for (int database = 0; database < static_cast<int>(this->options.databases); ++database) {
        std::string endpoints;
        for (std::size_t copy = 0; copy < this->options.data_centres.size(); ++copy) {
            const auto id = endpoint_name(database, copy);
            endpoints += std::string(copy == 0 ? "" : ",") + R"({"id":)" + quoted(id) + R"(,"data_centre":)" +
                         quoted(this->options.data_centres[copy]) + R"(,"address":)" + quoted(endpoint_address(database, copy)) +
                         R"(,"slots":)" + std::to_string(this->options.slots) + R"(,"connections":)" +
                         std::to_string(this->options.connections) + R"(,"state":)" + quoted(id == out_id ? "out" : "in") + "}";
        }
        result += std::string(database == 0 ? "" : ",") + R"({"id":)" + quoted(database_name(database)) +
                  R"(,"service":"registry","endpoints":[)" + endpoints + "]}";
    }
    return R"({"databases":[)" + result + "]}";
}

std::string fleet::tenancy_section(int withdrawn_workspace) const {
    std::string workspaces;
    std::string names;
    for (int i = 0; i < this->options.workspaces; ++i) {
        const std::string separator = i == 0 ? "" : ",";
        const auto key = R"({"id":"k1","sha256":)" + quoted(sha256(key_of(i))) + "}";
        workspaces += separator + R"({"id":)" + quoted(workspace_name(i)) + R"(,"keys":[)" +
                      (i == withdrawn_workspace ? std::string() : key) + "]}";
        names += separator + quoted(workspace_name(i));
    }
    return R"({"workspaces":[)" + workspaces + R"(],"routes":[{"id":"main","service":"registry","workspaces":[)" + names +
           R"(]},{"id":"public","service":"registry","workspaces":[],"open_workspace":)" + quoted(workspace_name(0)) + "}]}";
}

document_version fleet::apply(const std::string& section, const std::string& content) {
    const auto& stored = this->store.objects["document"];
    document_version read = 0;
    if (stored.version > 0) {
        read = stored.version;
    }
    const auto merged =
        merge_section(stored.value, stored.version, {section, content, read, "change-" + std::to_string(read + 1)});
    const platform_call write{0, platform_operation::write, "document", stored.version, merged};
    const auto result = stand_ins::run_call(this->store, 0, write, this->time);
    if (!result || result->status != platform_status::ok) {
        throw std::logic_error("the platform model rejected the document");
    }
    return result->version;
}

void fleet::add_event(millis delay, std::function<void()> run) {
    this->events.push({this->time + delay, this->next_order++, std::move(run)});
}

void fleet::run_for(millis span) {
    const auto end = this->time + span;
    while (!this->events.empty() && this->events.top().at <= end) {
        auto next = this->events.top();
        this->events.pop();
        this->time = std::max(this->time, next.at);
        next.run();
    }
    this->time = end;
}

void fleet::run_on_node(const std::string& id, std::function<void()> run) {
    auto& node_entry = this->nodes.at(id);
    if (!node_entry.alive) {
        return;
    }
    if (node_entry.frozen) {
        node_entry.deferred.push_back(std::move(run));
        return;
    }
    run();
}

bool fleet::is_cut(const std::string& a, const std::string& b) const {
    return this->cuts.contains({a, b}) || this->cuts.contains({b, a}) || this->cuts.contains({a, ""}) ||
           this->cuts.contains({b, ""});
}

millis fleet::latency(const std::string& a, const std::string& b) {
    if (a == platform_node || b == platform_node) {
        return this->options.platform_latency;
    }
    const bool near = this->nodes.at(a).location == this->nodes.at(b).location;
    const auto jitter = millis{static_cast<std::int64_t>(this->random() % 2)};
    return near ? jitter : this->options.data_centre_latency + jitter;
}

void fleet::deliver(const std::string& from, const std::string& to, std::function<void()> run) {
    if (this->is_cut(from, to)) {
        return;
    }
    this->add_event(this->latency(from, to), [this, from, to, run = std::move(run)] {
        if (!this->is_cut(from, to)) {
            this->run_on_node(to, run);
        }
    });
}

void fleet::start_host(const host_id& id) {
    host_settings settings;
    const auto index = std::stoul(id.substr(id.find('-') + 1));
    settings.self = {id, "127.0.0.1:" + std::to_string(30000 + index), "127.0.0.1:" + std::to_string(31000 + index),
                     this->nodes.at(id).location};
    for (std::size_t i = 0; i < std::min<std::size_t>(this->options.hosts, 3); ++i) {
        if (host_name(i) != id) {
            settings.seeds.push_back({host_name(i), "127.0.0.1:" + std::to_string(30000 + i), "", ""});
        }
    }
    settings.token_secret = "a secret for tokens in tests";
    settings.start_nonce = std::to_string(++this->incarnations[id]);
    this->hosts[id] = make_host(settings, random_source(this->random()), this->time);
    this->tick_host(id, this->incarnations[id]);
}

void fleet::tick_host(const host_id& id, std::uint64_t incarnation) {
    if (this->incarnations[id] != incarnation || !this->nodes.at(id).alive) {
        return;
    }
    this->run_on_node(id, [this, id] { this->step_host(id, tick{}); });
    this->add_event(tick_interval, [this, id, incarnation] { this->tick_host(id, incarnation); });
}

void fleet::step_host(const host_id& id, const host_event& event) {
    const auto found = this->hosts.find(id);
    if (found != this->hosts.end()) {
        this->carry_out(id, step(*found->second, event, this->time));
    }
}

void fleet::carry_out(const host_id& id, const host_actions& actions) {
    for (const auto& action : actions) {
        if (const auto* reply = std::get_if<caller_reply>(&action)) {
            const auto caller = this->callers.find({id, reply->request_number});
            if (caller != this->callers.end()) {
                const auto done = std::move(caller->second);
                this->callers.erase(caller);
                done(*reply);
            }
        } else if (const auto* message = std::get_if<send_to_peer>(&action)) {
            this->send_message(id, *message);
        } else if (const auto* opening = std::get_if<open_connection>(&action)) {
            this->open(id, *opening);
        } else if (const auto* closing = std::get_if<close_connection>(&action)) {
            const std::pair key{id, closing->connection};
            if (this->connections.contains(key)) {
                stand_ins::drop_connection(this->instances.at(this->connections.at(key).target), this->connection_numbers[key]);
                this->connections.erase(key);
            }
        } else if (const auto* sending = std::get_if<send_call>(&action)) {
            this->send(id, *sending);
        } else if (const auto* call = std::get_if<platform_call>(&action)) {
            this->call_platform(id, *call);
        } else if (std::holds_alternative<host_stopped>(action)) {
            this->stopped.insert(id);
            this->add_event(millis{0}, [this, id] { this->kill(id); });
        }
    }
}

std::size_t fleet::accepted_connections(const endpoint_id& id) const {
    return static_cast<std::size_t>(std::ranges::count_if(this->connections | std::views::values,
                                                          [&](const auto& each) { return each.target == id && each.accepted; }));
}

void fleet::open(const host_id& id, const open_connection& action) {
    const std::pair key{id, action.connection};
    this->connections[key] = {id, action.target, false, false};
    this->connection_numbers[key] = this->next_order++;
    const auto closed = [this, id, key] {
        this->connections.erase(key);
        this->step_host(id, endpoint_closed{key.second});
    };
    if (!this->nodes.at(action.target).alive) {
        // The machine of a killed process still refuses connections, so the attempt fails at once.
        this->deliver(action.target, id, closed);
        return;
    }
    this->deliver(id, action.target, [this, id, key, closed] {
        const auto found = this->connections.find(key);
        if (found == this->connections.end()) {
            return;
        }
        const auto target = found->second.target;
        if (this->accepted_connections(target) >= static_cast<std::size_t>(this->options.connections)) {
            this->deliver(target, id, closed);
            return;
        }
        found->second.accepted = true;
        this->add_event(this->options.connect_delay, [this, id, key, target] {
            this->deliver(target, id, [this, id, key] {
                if (this->connections.contains(key)) {
                    this->step_host(id, endpoint_connected{key.second});
                }
            });
        });
    });
}

void fleet::send(const host_id& id, const send_call& action) {
    const auto found = this->connections.find({id, action.connection});
    if (found == this->connections.end() || found->second.is_blackholed) {
        return;
    }
    this->deliver(id, found->second.target, [this, id, action] { this->arrive(id, action); });
}

void fleet::arrive(const host_id& id, const send_call& action) {
    const auto found = this->connections.find({id, action.connection});
    if (found == this->connections.end() || found->second.is_blackholed) {
        return;
    }
    const auto target = found->second.target;
    if (this->on_endpoint_call) {
        this->on_endpoint_call(target, action.call);
    }
    if (!needs_slot(action.call.operation)) {
        this->answer(id, action);
        return;
    }
    this->slot_queue[target].emplace_back(id, action);
    this->run_slot(target);
}

void fleet::run_slot(const endpoint_id& id) {
    auto& queue = this->slot_queue[id];
    if (queue.empty() || this->busy_slots[id] >= this->options.slots) {
        return;
    }
    ++this->busy_slots[id];
    const auto [host, action] = queue.front();
    queue.erase(queue.begin());
    this->add_event(this->options.service_time, [this, id, host = host, action = action] {
        --this->busy_slots[id];
        this->run_on_node(id, [this, host, action] { this->answer(host, action); });
        this->run_slot(id);
    });
}

void fleet::answer(const host_id& id, const send_call& action) {
    const std::pair key{id, action.connection};
    const auto found = this->connections.find(key);
    if (found == this->connections.end()) {
        return;
    }
    const auto target = found->second.target;
    const auto result = stand_ins::run_call(this->instances.at(target), this->connection_numbers[key], action.call, this->time);
    if (found->second.is_blackholed) {
        return;
    }
    this->deliver(target, id, [this, id, key, result] {
        if (this->connections.contains(key)) {
            this->step_host(id, endpoint_answered{key.second, result});
        }
    });
}

void fleet::send_message(const host_id& id, const send_to_peer& action) {
    if (this->on_peer_message) {
        this->on_peer_message(action.message);
    }
    if (!this->nodes.contains(action.peer)) {
        return;
    }
    if (!this->nodes.at(action.peer).alive) {
        this->deliver(action.peer, id, [this, id, action] {
            this->step_host(id, peer_not_sent{action.peer, action.message.body});
        });
        return;
    }
    if (this->is_cut(id, action.peer)) {
        // TCP reports a lost connection only after a timeout; until then the connection appears usable.
        const auto incarnation = this->incarnations[id];
        this->add_event(link_timeout, [this, id, incarnation, peer = action.peer] {
            if (this->incarnations[id] == incarnation && this->is_cut(id, peer)) {
                this->run_on_node(id, [this, id, peer] { this->step_host(id, peer_disconnected{peer}); });
            }
        });
        return;
    }
    auto& last_arrival = this->last_arrivals[{id, action.peer}];
    const auto arrival = std::max(this->time + this->latency(id, action.peer), last_arrival);
    last_arrival = arrival;
    this->add_event(arrival - this->time, [this, id, action] {
        if (!this->is_cut(id, action.peer)) {
            this->run_on_node(action.peer, [this, action] { this->step_host(action.peer, action.message); });
        }
    });
}

void fleet::call_platform(const host_id& id, const platform_call& call) {
    const auto unanswered = [this, id, call] {
        this->add_event(platform_call_timeout, [this, id, call] {
            this->run_on_node(id, [this, id, call] {
                this->step_host(id, platform_answer{call.id, platform_status::unavailable, 0, "", {}});
            });
        });
    };
    if (this->platform_down || this->is_cut(id, platform_node)) {
        unanswered();
        return;
    }
    auto& number = this->platform_caller_numbers[id + "/" + std::to_string(this->incarnations[id])];
    if (number == 0) {
        number = this->next_order + 1;
        this->platform_callers[number] = id;
    }
    this->add_event(this->options.platform_latency, [this, id, call, unanswered, caller = number] {
        if (this->platform_down) {
            unanswered();
            return;
        }
        const auto result = stand_ins::run_call(this->store, caller, call, this->time);
        if (call.operation == platform_operation::write) {
            for (const auto& watch : stand_ins::due_watches(this->store, this->time)) {
                this->deliver(platform_node, this->platform_callers[watch.caller],
                              [this, watch] { this->step_host(this->platform_callers[watch.caller], watch.answer); });
            }
            if (std::exchange(this->loses_next_write_answer, false)) {
                unanswered();
                return;
            }
        }
        if (result) {
            this->deliver(platform_node, id, [this, id, result] { this->step_host(id, *result); });
        }
    });
}

void fleet::replicate(const endpoint_id& id) {
    this->add_event(replication_interval, [this, id] { this->replicate(id); });
    auto& replica = this->instances.at(id);
    const auto followed = this->by_address.find(replica.followed);
    if (followed == this->by_address.end() || !this->nodes.at(id).alive || !this->nodes.at(followed->second).alive ||
        this->nodes.at(id).frozen || this->nodes.at(followed->second).frozen || this->is_cut(id, followed->second)) {
        return;
    }
    const auto& primary = this->instances.at(followed->second);
    if (primary.role != endpoint_role::primary || followed->second == id) {
        return;
    }
    std::size_t common_length = std::min(replica.log.size(), primary.log.size());
    while (common_length > 0 && replica.log[common_length - 1].position != primary.log[common_length - 1].position) {
        --common_length;
    }
    const std::vector<stand_ins::log_entry> entries(primary.log.begin() + static_cast<std::ptrdiff_t>(common_length),
                                                    primary.log.end());
    const auto term = primary.term;
    const auto length = primary.log.size();
    const auto read_at = this->time;
    this->add_event(
        this->options.replication_lag, [this, id, from = followed->second, entries, term, length, common_length, read_at] {
            if (!this->is_cut(id, from)) {
                this->run_on_node(id, [&] {
                    stand_ins::append_entries(this->instances.at(id), term, entries, common_length + 1, length, read_at);
                });
            }
        });
}

void fleet::close_connections(const std::string& id) {
    for (auto entry = this->connections.begin(); entry != this->connections.end();) {
        const auto [key, connection] = *entry;
        if (key.first != id && connection.target != id) {
            ++entry;
            continue;
        }
        if (key.first == id) {
            stand_ins::drop_connection(this->instances.at(connection.target), this->connection_numbers[key]);
        } else {
            this->deliver(id, key.first, [this, key = key] { this->step_host(key.first, endpoint_closed{key.second}); });
        }
        entry = this->connections.erase(entry);
    }
}

void fleet::kill(const std::string& id) {
    auto& node_entry = this->nodes.at(id);
    node_entry.alive = false;
    node_entry.frozen = false;
    node_entry.deferred.clear();
    this->close_connections(id);
    if (this->instances.contains(id)) {
        this->instances.at(id).transactions.clear();
        this->slot_queue[id].clear();
        return;
    }
    this->hosts.erase(id);
    ++this->incarnations[id];
    for (auto caller = this->callers.begin(); caller != this->callers.end();) {
        const auto current = caller++;
        if (current->first.first == id) {
            const auto done = std::move(current->second);
            const auto request_number = current->first.second;
            this->callers.erase(current);
            done(caller_reply{request_number, request_outcome::unknown, refusal::connection_lost, "", "", "", "", ""});
        }
    }
    for (const auto& other : this->live_hosts()) {
        this->deliver(id, other, [this, id, other] { this->step_host(other, peer_disconnected{id}); });
    }
}

void fleet::restart_host(const host_id& id) {
    this->nodes.at(id).alive = true;
    this->stopped.erase(id);
    this->start_host(id);
}

void fleet::restart_instance(const endpoint_id& id) {
    this->nodes.at(id).alive = true;
}

void fleet::freeze(const std::string& id) {
    this->nodes.at(id).frozen = true;
}

void fleet::unfreeze(const std::string& id) {
    auto& node_entry = this->nodes.at(id);
    node_entry.frozen = false;
    for (auto& run : std::exchange(node_entry.deferred, {})) {
        this->add_event(millis{0}, [this, id, run] { this->run_on_node(id, run); });
    }
}

void fleet::cut(const std::string& id, const std::string& other) {
    this->cuts.insert({id, other});
}

void fleet::heal() {
    this->cuts.clear();
}

void fleet::stop(const host_id& id) {
    this->step_host(id, stop_requested{});
}

void fleet::blackhole_connections(const host_id& host, const endpoint_id& target) {
    for (auto& connection : this->connections | std::views::values) {
        if (connection.host == host && connection.target == target) {
            connection.is_blackholed = true;
        }
    }
}

caller_request fleet::request(int workspace, int database, request_kind kind, const std::string& statement) {
    caller_request result;
    result.key_sha256 = sha256(key_of(workspace));
    result.route = "main";
    result.database = database_name(database);
    result.kind = kind;
    result.statement = statement;
    return result;
}

void fleet::call(const host_id& host, caller_request request, std::function<void(const caller_reply&)> done) {
    request.request_number = this->next_request_number++;
    if (!this->nodes.at(host).alive) {
        done(caller_reply{request.request_number, request_outcome::not_run, refusal::connection_lost, "", "", "", "", ""});
        return;
    }
    this->callers[{host, request.request_number}] = std::move(done);
    this->run_on_node(host, [this, host, request] { this->step_host(host, request); });
}

std::vector<host_id> fleet::live_hosts() const {
    std::vector<host_id> result;
    for (const auto& id : this->hosts | std::views::keys) {
        if (this->nodes.at(id).alive) {
            result.push_back(id);
        }
    }
    return result;
}

endpoint_id fleet::primary_of(int database) const {
    const stand_ins::instance_model* newest = nullptr;
    for (std::size_t copy = 0; copy < this->options.data_centres.size(); ++copy) {
        const auto& each = this->instances.at(endpoint_name(database, copy));
        if (each.role == endpoint_role::primary && (newest == nullptr || each.term > newest->term)) {
            newest = &each;
        }
    }
    return newest == nullptr ? "" : newest->id;
}

host_id fleet::owner_of_database(int database) const {
    const auto hosts_now = this->live_hosts();
    for (const auto& each : this->report_of(hosts_now.front()).databases) {
        if (each.id == database_name(database)) {
            return each.owner;
        }
    }
    return "";
}

host_report fleet::report_of(const host_id& id) const {
    return report(*this->hosts.at(id), this->time);
}

}  // namespace camphorstack::fleet_tests
