#include "session_fleet/session_fleet.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

#include "camphorstack/links/peer_codec.hpp"
#include "camphorstack/support/errors.hpp"
#include "camphorstack/support/g_pointer.hpp"

namespace camphorstack::session_tests {

namespace {

/// Returns a connection id that is unique at an instance, as different hosts may use the same connection ids.
connection_id number_at_instance(const host_id& host, connection_id connection) {
    return connection + 1000000 * std::hash<std::string>{}(host) % 1000000007;
}

constexpr millis store_latency{4};
constexpr millis caller_latency{3};
constexpr millis data_centre_latency{1};
constexpr millis region_latency{8};
/// Time after which the kernel breaks a connection whose peer does not answer.
constexpr millis broken_connection_timeout{1000};
constexpr millis connect_delay{12};
constexpr millis watch_expiry_interval{50};
constexpr millis repeat_delay{30};

std::string sha256(const std::string& text) {
    const g_text hash(g_compute_checksum_for_string(G_CHECKSUM_SHA256, text.c_str(), -1));
    return hash.get();
}

/// Encodes and decodes runs and their results, like the links between hosts. Returns nothing for a message above the frame limit.
std::optional<peer_message> pass_over_link(const peer_message& message) {
    if (!std::holds_alternative<run_request>(message.body) && !std::holds_alternative<run_result>(message.body)) {
        return message;
    }
    try {
        return decode(encode(message));
    } catch (const format_error&) {
        return std::nullopt;
    }
}

bool is_answer(const peer_body& body) {
    return std::holds_alternative<run_result>(body) || std::holds_alternative<token_grant>(body) ||
           std::holds_alternative<catalog_reply>(body) || std::holds_alternative<membership_answer>(body);
}

std::pair<std::string, std::string> ordered(const std::string& a, const std::string& b) {
    return a < b ? std::pair(a, b) : std::pair(b, a);
}

document make_document(const fleet_options& options) {
    document content;
    content.version = 1;
    content.transaction_idle_limit = millis{3000};
    for (std::size_t i = 0; i < options.workspaces; ++i) {
        const auto id = "workspace-" + std::to_string(i);
        content.workspaces.push_back({id, {{id, sha256(session_fleet::key_of(i))}}, options.rate_per_s, options.burst, {}});
    }
    for (std::size_t i = 0; i < options.databases; ++i) {
        database group;
        group.id = "db" + std::to_string(i);
        group.service = group.id;
        group.connections_per_endpoint = options.connections;
        group.synchronous_replicas = options.synchronous_replicas;
        content.databases.push_back(group);
        for (const auto kind : {consistency::primary, consistency::bounded_staleness, consistency::read_your_writes}) {
            route added;
            added.id = session_fleet::route_name(i, kind);
            added.service = group.id;
            added.sessions.database = added.id;
            added.sessions.reads = kind;
            added.sessions.max_staleness = millis{1500};
            added.sessions.statement_timeout = options.statement_timeout;
            added.sessions.target_latency = millis{500};
            content.routes.push_back(added);
        }
    }
    return content;
}

}  // namespace

statement read_statement(const std::string& id, const std::string& item) {
    return plain_statement(id, statement_kind::read, "READ " + item);
}

statement write_statement(const std::string& id, const std::string& item, const std::string& data) {
    return plain_statement(id, statement_kind::write, "WRITE " + item + " " + data);
}

statement plain_statement(const std::string& id, statement_kind kind, const std::string& text) {
    statement requested;
    requested.kind = kind;
    requested.id = id;
    requested.text = text;
    return requested;
}

std::string session_fleet::route_name(std::size_t database, consistency kind) {
    const char* suffix = kind == consistency::primary ? "p" : kind == consistency::bounded_staleness ? "b" : "r";
    return "route-" + std::to_string(database) + suffix;
}

session_fleet::session_fleet(fleet_options requested)
    : options(std::move(requested)), misbehaviour(options.seed), current(make_document(options)) {
    for (std::size_t i = 0; i < this->options.databases; ++i) {
        this->databases.push_back(std::make_unique<database_model>("db" + std::to_string(i),
                                                                   std::vector<data_centre_id>{"amman-a", "irbid-a", "aqaba-a"}));
    }
    this->publish(this->current);
    this->refresh_entries();
    for (std::size_t i = 0; i < this->options.hosts.size(); ++i) {
        const auto id = "host-" + std::to_string(i);
        this->locations[id] = this->options.hosts[i];
        this->start_host(id);
    }
    this->replicate_all();
}

void session_fleet::publish(document content) {
    this->current = std::move(content);
    this->store.put(collection::document, "main", std::make_shared<const document>(this->current));
}

void session_fleet::refresh_entries() {
    for (const auto& group : this->databases) {
        for (const auto& [id, instance] : group->instances) {
            if (instance.alive) {
                this->store.put(collection::endpoints, id, instance.entry);
            } else {
                this->store.remove(collection::endpoints, id);
            }
        }
    }
}

session_host_settings session_fleet::settings_of(const host_id& id) const {
    session_host_settings settings;
    settings.self = {id, id + ":1", id + ":2", this->locations.at(id)};
    settings.nonce = id + "-" + std::to_string(this->next_order);
    settings.regions = {{"amman-a", "amman"}, {"irbid-a", "irbid"}, {"aqaba-a", "aqaba"}};
    settings.stop_grace = this->options.stop_grace;
    settings.usage = this->options.usage;
    return settings;
}

void session_fleet::start_host(const host_id& id) {
    auto& started = this->hosts[id];
    ++started.process;
    started.alive = true;
    started.state = make_session_host(this->settings_of(id), random_source(this->options.seed + this->next_order), this->time);
    this->tick_host(id, started.process);
}

void session_fleet::kill_host(const host_id& id) {
    this->end_host(id, millis{0});
}

void session_fleet::cut_power(const host_id& id) {
    this->end_host(id, this->dark_connection_time);
}

void session_fleet::end_host(const host_id& id, millis connection_delay) {
    auto& killed = this->hosts.at(id);
    killed.alive = false;
    ++killed.process;
    std::erase_if(this->connections, [&](const auto& item) {
        if (item.first.first != id) {
            return false;
        }
        const auto drop = [this, endpoint = item.second.endpoint, number = number_at_instance(id, item.first.second)] {
            database_model* owner = nullptr;
            if (auto* instance = this->find_instance(endpoint, &owner); instance != nullptr) {
                instance->connections.erase(number);
            }
        };
        if (connection_delay > millis{0}) {
            this->after(connection_delay, drop);
        } else {
            drop();
        }
        return true;
    });
    for (auto& [session, caller] : this->callers) {
        caller.closed = caller.closed || caller.host == id;
    }
    for (auto& [other, running] : this->hosts) {
        if (other != id && running.alive) {
            this->deliver_after(this->delay_between(other, id), other, peer_disconnected{id});
        }
    }
}

void session_fleet::stop_host(const host_id& id) {
    this->deliver(id, this->hosts.at(id).process, stop_requested{});
}

void session_fleet::kill_instance(const endpoint_id& endpoint) {
    database_model* owner = nullptr;
    auto* instance = this->find_instance(endpoint, &owner);
    instance->alive = false;
    instance->connections.clear();
    for (auto& [key, connection] : this->connections) {
        if (connection.endpoint == endpoint) {
            this->deliver_after(this->delay_between(key.first, endpoint), key.first,
                                endpoint_connection_ended{key.second, result_code::none, false});
        }
    }
    std::erase_if(this->connections, [&](const auto& item) { return item.second.endpoint == endpoint; });
}

void session_fleet::cut(const std::string& a, const std::string& b) {
    this->cuts.insert(ordered(a, b));
}

void session_fleet::isolate(const std::string& node) {
    for (const auto& [id, host] : this->hosts) {
        this->cut(node, id);
    }
    for (const auto& group : this->databases) {
        for (const auto& [id, instance] : group->instances) {
            this->cut(node, id);
        }
    }
    this->cut(node, "store");
    this->cut(node, "platform");
}

void session_fleet::cut_from_hosts(const endpoint_id& endpoint) {
    for (const auto& [id, host] : this->hosts) {
        this->cut(id, endpoint);
    }
}

void session_fleet::heal() {
    this->cuts.clear();
}

bool session_fleet::is_cut(const std::string& a, const std::string& b) const {
    return a != b && this->cuts.contains(ordered(a, b));
}

std::size_t session_fleet::ready_hosts() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        this->hosts, [this](const auto& item) { return item.second.alive && is_ready(*item.second.state, this->time); }));
}

void session_fleet::after(millis delay, std::function<void()> run) {
    this->queue.push({this->time + delay, this->next_order++, std::move(run)});
}

void session_fleet::run_for(millis span) {
    const auto end = this->time + span;
    this->run_until([] { return false; }, span);
    this->time = end;
}

bool session_fleet::run_until(const std::function<bool()>& holds, millis limit) {
    const auto end = this->time + limit;
    while (!holds()) {
        if (this->queue.empty() || this->queue.top().at > end) {
            this->time = end;
            return holds();
        }
        const auto next = this->queue.top();
        this->queue.pop();
        this->time = std::max(this->time, next.at);
        next.run();
    }
    return true;
}

void session_fleet::deliver(const host_id& host, std::uint64_t process, session_host_event event) {
    const auto& target = this->hosts.at(host);
    if (target.alive && target.process == process) {
        this->step_host(host, event);
    }
}

void session_fleet::deliver_after(millis delay, const host_id& host, session_host_event event) {
    const auto process = this->hosts.at(host).process;
    this->after(delay, [this, host, process, event = std::move(event)] { this->deliver(host, process, event); });
}

void session_fleet::step_host(const host_id& host, const session_host_event& event) {
    for (const auto& action : step(*this->hosts.at(host).state, event, this->time)) {
        this->carry_out(host, action);
    }
}

void session_fleet::tick_host(const host_id& host, std::uint64_t process) {
    const auto error = this->clock_errors.find(host);
    this->deliver(host, process,
                  wall_clock_read{this->unix_ms() + (error == this->clock_errors.end() ? 0 : error->second.count)});
    this->deliver(host, process, tick{});
    if (this->hosts.at(host).process == process && this->hosts.at(host).alive) {
        const auto wait = next_tick(*this->hosts.at(host).state, this->time) - this->time;
        this->after(wait, [this, host, process] { this->tick_host(host, process); });
    }
}

void session_fleet::replicate_all() {
    for (const auto& group : this->databases) {
        group->replicate(this->lagging);
    }
    this->refresh_entries();
    this->store.answer_expired_watches(this->time);
    this->after(std::min(this->options.replication_time, watch_expiry_interval), [this] { this->replicate_all(); });
}

millis session_fleet::delay_between(const std::string& a, const std::string& b) const {
    const auto place = [this](const std::string& node) -> std::string {
        const auto host = this->locations.find(node);
        if (host != this->locations.end()) {
            return host->second;
        }
        for (const auto& group : this->databases) {
            const auto found = group->instances.find(node);
            if (found != group->instances.end()) {
                return found->second.entry.location;
            }
        }
        return "";
    };
    return place(a) == place(b) ? data_centre_latency : region_latency;
}

millis session_fleet::link_delay(const host_id& host) const {
    const auto found = this->link_delays.find(host);
    return found == this->link_delays.end() ? millis{0} : found->second;
}

instance_model* session_fleet::find_instance(const endpoint_id& endpoint, database_model** owner) {
    for (const auto& group : this->databases) {
        const auto found = group->instances.find(endpoint);
        if (found != group->instances.end()) {
            *owner = group.get();
            return &found->second;
        }
    }
    return nullptr;
}

session_id session_fleet::connect(const host_id& host, const std::string& database, const std::string& key) {
    const auto id = this->next_session++;
    this->callers[id].id = id;
    this->callers[id].host = host;
    this->deliver_after(caller_latency + this->link_delay(host), host, session_requested{id, database, sha256(key)});
    return id;
}

session_id session_fleet::open_session(const host_id& host, consistency kind, std::size_t workspace) {
    const auto session = this->connect(host, session_fleet::route_name(0, kind), session_fleet::key_of(workspace));
    REQUIRE(this->run_until([&] { return this->callers.at(session).accepted; }, millis{500}));
    return session;
}

void session_fleet::send(session_id session, statement requested) {
    auto& from = this->callers.at(session);
    from.asked[requested.id] = this->time;
    from.order.push_back(requested.id);
    this->deliver_after(caller_latency + this->link_delay(from.host), from.host,
                        statement_received{session, std::move(requested)});
}

answer_statement session_fleet::ask(session_id session, statement requested, millis limit) {
    const auto before = this->callers.at(session).answers.size();
    this->send(session, std::move(requested));
    REQUIRE(this->run_until([&] { return this->callers.at(session).answers.size() > before; }, limit));
    return this->callers.at(session).answers.back().answer;
}

void session_fleet::carry_out(const host_id& host, const session_host_action& action) {
    if (const auto* accepted = std::get_if<accept_session>(&action)) {
        this->callers.at(accepted->session).accepted = true;
    } else if (const auto* rejected = std::get_if<reject_session>(&action)) {
        this->callers.at(rejected->session).rejected = rejected->code;
        this->callers.at(rejected->session).closed = true;
    } else if (const auto* closed = std::get_if<close_session>(&action)) {
        this->callers.at(closed->session).closed = true;
        this->callers.at(closed->session).closed_at = this->time;
    } else if (const auto* answer = std::get_if<answer_statement>(&action)) {
        auto& to = this->callers.at(answer->session);
        REQUIRE_FALSE(to.order.empty());
        const auto id = to.order.front();
        to.order.erase(to.order.begin());
        to.answers.push_back({to.asked.at(id), this->time, id, *answer});
    } else if (const auto* open = std::get_if<open_endpoint_connection>(&action)) {
        this->carry_out(host, *open);
    } else if (const auto* close = std::get_if<close_endpoint_connection>(&action)) {
        this->carry_out(host, *close);
    } else if (const auto* statements = std::get_if<send_endpoint_statements>(&action)) {
        this->carry_out(host, *statements);
    } else if (const auto* call = std::get_if<catalog_call>(&action)) {
        this->carry_out(host, *call);
    } else if (const auto* promotion = std::get_if<promotion_call>(&action)) {
        this->carry_out(host, *promotion);
    } else if (const auto* usage = std::get_if<usage_call>(&action)) {
        this->carry_out(host, *usage);
    } else if (const auto* message = std::get_if<send_to_peer>(&action)) {
        this->carry_out(host, *message);
    } else if (const auto* line = std::get_if<decision_line>(&action)) {
        this->log.push_back(std::to_string(this->time.since_start) + " " + host + " " + line->kind + " " + line->text);
    } else if (std::holds_alternative<host_stopped>(action)) {
        this->kill_host(host);
    }
}

void session_fleet::carry_out(const host_id& host, const open_endpoint_connection& action) {
    database_model* owner = nullptr;
    auto* instance = this->find_instance(action.endpoint, &owner);
    const auto delay = this->delay_between(host, action.endpoint);
    if (this->is_cut(host, action.endpoint)) {
        this->deliver_after(this->cuts_reset ? delay * 2 : broken_connection_timeout, host,
                            endpoint_connection_ended{action.connection, result_code::none, this->cuts_reset});
        return;
    }
    if (instance == nullptr || !instance->alive) {
        this->deliver_after(delay * 2, host, endpoint_connection_ended{action.connection, result_code::none, true});
        return;
    }
    if (instance->connections.size() >= static_cast<std::size_t>(this->options.connections)) {
        this->deliver_after(delay * 2, host, endpoint_connection_ended{action.connection, result_code::too_many, false});
        return;
    }
    instance->connections[number_at_instance(host, action.connection)] = {action.workspace, {}, {}, std::nullopt};
    this->connections[{host, action.connection}] = {host, action.endpoint, this->hosts.at(host).process};
    this->deliver_after(delay * 2 + connect_delay, host, endpoint_connection_opened{action.connection, std::nullopt});
}

void session_fleet::carry_out(const host_id& host, const close_endpoint_connection& action) {
    const auto found = this->connections.find({host, action.connection});
    if (found == this->connections.end()) {
        return;
    }
    database_model* owner = nullptr;
    if (auto* instance = this->find_instance(found->second.endpoint, &owner); instance != nullptr) {
        instance->connections.erase(number_at_instance(host, action.connection));
    }
    this->connections.erase(found);
}

endpoint_reply session_fleet::reply_of(database_model& owner, instance_model& instance, connection_id number,
                                       const endpoint_statement& requested) {
    const bool may_refuse = !requested.id.empty() && !instance.connections.at(number).transaction;
    if (may_refuse && static_cast<int>(this->misbehaviour() % 100) < this->refused_statements_percent) {
        endpoint_reply refused;
        refused.code = result_code::busy;
        return refused;
    }
    return owner.run(instance, number, requested, this->time);
}

void session_fleet::deliver_reply(const std::pair<host_id, connection_id>& key, std::uint64_t process,
                                  const endpoint_reply& reply, const endpoint_id& endpoint, millis delay) {
    this->after(delay, [this, key, process, reply, endpoint] {
        if (this->connections.contains(key) && !this->is_cut(key.first, endpoint)) {
            this->deliver(key.first, process, endpoint_reply_received{key.second, reply});
        }
    });
}

void session_fleet::carry_out(const host_id& host, const send_endpoint_statements& action) {
    const std::pair key(host, action.connection);
    const auto found = this->connections.find(key);
    if (found == this->connections.end()) {
        return;
    }
    const auto endpoint = found->second.endpoint;
    const auto delay = this->delay_between(host, endpoint);
    for (const auto& requested : action.statements) {
        const bool works = requested.command == endpoint_command::statement || requested.command == endpoint_command::execute;
        auto& free = this->busy_until[key];
        free = std::max(free, this->time + delay) + (works ? this->options.service_time : millis{0});
        const auto process = this->hosts.at(host).process;
        this->after(free - this->time, [this, key, host, endpoint, requested, delay, process] {
            database_model* owner = nullptr;
            auto* instance = this->find_instance(endpoint, &owner);
            const auto open = instance->connections.find(number_at_instance(host, key.second));
            if (this->is_cut(host, endpoint)) {
                this->deliver_after(this->cuts_reset ? delay : broken_connection_timeout, host,
                                    endpoint_connection_ended{key.second, result_code::none, false});
            } else if (instance->alive && open != instance->connections.end() && this->connections.contains(key)) {
                const auto reply = this->reply_of(*owner, *instance, number_at_instance(host, key.second), requested);
                this->deliver_reply(key, process, reply, endpoint, delay);
                if (static_cast<int>(this->misbehaviour() % 100) < this->repeated_answers_percent) {
                    const auto span = static_cast<std::uint64_t>(this->longest_repetition.count) + 1;
                    const millis later{static_cast<std::int64_t>(this->misbehaviour() % span)};
                    this->deliver_reply(key, process, reply, endpoint, delay + later);
                }
            }
        });
    }
}

void session_fleet::carry_out(const host_id& host, const catalog_call& action) {
    if (action.operation == catalog_operation::decode) {
        this->deliver_after(millis{0}, host, this->store.decode(action));
        return;
    }
    if (this->is_cut(host, "store") || this->store_is_down) {
        return;
    }
    const auto process = this->hosts.at(host).process;
    this->after(store_latency, [this, host, process, action] {
        this->store.call(action, this->time, [this, host, process](const catalog_answer& answer) {
            if (this->is_cut(host, "store") || this->store_is_down) {
                return;
            }
            this->after(store_latency + this->link_delay(host),
                        [this, host, process, answer] { this->deliver(host, process, answer); });
        });
    });
}

void session_fleet::carry_out(const host_id& host, const promotion_call& action) {
    if (this->is_cut(host, "platform")) {
        this->deliver_after(broken_connection_timeout, host, promotion_answer{action.id, promotion_status::no_answer});
        return;
    }
    this->promotions.push_back(action);
    database_model* owner = nullptr;
    const auto* instance = this->find_instance(action.endpoint, &owner);
    const bool accepted = instance != nullptr && instance->alive;
    if (accepted) {
        this->after(this->options.promote_time, [owner, endpoint = action.endpoint] { owner->promote(endpoint); });
    }
    this->deliver_after(store_latency * 2, host,
                        promotion_answer{action.id, accepted ? promotion_status::accepted : promotion_status::refused});
}

void session_fleet::carry_out(const host_id& host, const usage_call& action) {
    const bool arrives = !this->is_cut(host, "platform");
    if (arrives) {
        this->usages.push_back({this->unix_ms(), action});
    }
    const bool answered = arrives && !this->usage_answers_lost;
    this->deliver_after(answered ? store_latency * 2 : broken_connection_timeout, host,
                        usage_answer{action.id, answered ? usage_status::accepted : usage_status::no_answer});
}

void session_fleet::carry_out(const host_id& host, const send_to_peer& action) {
    if (const auto* run = std::get_if<run_request>(&action.message.body)) {
        // Without it the other host cannot tell that the endpoint has become another database's.
        REQUIRE_FALSE(run->database.empty());
    }
    const auto target = this->hosts.find(action.peer);
    const auto delay = this->delay_between(host, action.peer);
    const bool reachable = target != this->hosts.end() && target->second.alive && !this->is_cut(host, action.peer);
    if (!reachable) {
        this->deliver_after(delay * 2, host, peer_not_sent{action.peer, action.message.body});
        this->deliver_after(delay * 2, host, peer_disconnected{action.peer});
        return;
    }
    const auto received = pass_over_link(action.message);
    if (!received) {
        this->deliver_after(millis{0}, host, peer_not_sent{action.peer, action.message.body, not_sent_cause::too_large});
        return;
    }
    if (this->hosts.at(host).state->broken_links.contains(action.peer)) {
        this->deliver_after(delay * 2, host, peer_connected{action.peer});
    }
    const auto process = target->second.process;
    const auto deliver = [this, host, peer = action.peer, process, message = *received] {
        if (!this->is_cut(host, peer)) {
            this->deliver(peer, process, message);
        }
    };
    this->after(delay + this->link_delay(action.peer), deliver);
    if (this->repeats_answers && is_answer(received->body)) {
        this->after(delay, deliver);
        this->after(delay + repeat_delay, deliver);
    }
}

}  // namespace camphorstack::session_tests
