#include "camphorstack/links/peer_links.hpp"

#include <glog/logging.h>

#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "camphorstack/links/connect_attempt.hpp"
#include "camphorstack/links/peer_link.hpp"
#include "camphorstack/support/deferred_calls.hpp"
#include "camphorstack/support/errors.hpp"
#include "camphorstack/support/socket_address.hpp"

namespace camphorstack {

namespace {

constexpr guint sweep_interval_ms = 250;
/// Length of the kernel's queue of unaccepted connections: many hosts connect at once after other hosts have restarted.
constexpr int listen_backlog = 512;
/// Limit of the set of logged rejections; the set is cleared when it is full.
constexpr std::size_t max_logged_rejections = 1024;

/// A message that waits until its link is open.
struct waiting_message {
    peer_body body;
    std::vector<std::uint8_t> bytes;
};

/// A link with its times and the messages that wait for it.
struct link_entry {
    std::shared_ptr<peer_link> link;
    std::string address;  ///< Listening address of the peer for an outgoing link, its IP address for an incoming link.
    instant started_at;
    instant last_used_at;
    std::deque<waiting_message> waiting;
    g_pointer<GCancellable> attempt;  ///< Cancels the connection attempt.
    bool is_authenticated = false;    ///< True for an incoming link whose opener has proved the secret.
};

/// Returns true for answers that may overtake other messages to the same host.
bool is_reply(const peer_body& body) {
    return std::holds_alternative<run_result>(body) || std::holds_alternative<token_grant>(body) ||
           std::holds_alternative<catalog_reply>(body);
}

std::string remote_ip(GSocketConnection* connection) {
    const auto address = g_adopt(g_socket_connection_get_remote_address(connection, nullptr));
    const std::string text = format_socket_address(address.get());
    return text.substr(0, text.rfind(':'));
}

}  // namespace

struct peer_links::state {
    state(member own, std::string fleet_secret, event_sink target, peer_link_limits bounds)
        : self(std::move(own)), secret(std::move(fleet_secret)), sink(std::move(target)), limits(bounds) {}
    state(const state&) = delete;
    state& operator=(const state&) = delete;
    state(state&&) = delete;
    state& operator=(state&&) = delete;
    ~state();

    void listen();
    void send(const send_to_peer& action);
    /// Sends a reply on the link on which its request came. Returns false if there is none.
    bool send_reply(const send_to_peer& action, const std::vector<std::uint8_t>& bytes);
    /// Returns false if the link's output buffer is full.
    bool send_on(link_entry& entry, const std::vector<std::uint8_t>& bytes);
    link_entry& open(const host_id& peer, const std::string& address);
    void on_connect_finished(peer_link* link, g_pointer<GSocketConnection> connection);
    void accept(GSocketConnection* connection);
    void on_ready(peer_link& link);
    void on_outgoing_ready(link_entry& entry);
    void on_ended(peer_link& link, link_close_reason cause);
    void on_outgoing_ended(const host_id& peer, link_close_reason cause);
    void on_incoming_ended(peer_link& link, link_close_reason cause);
    void sweep();
    void sweep_outgoing(instant now);
    void sweep_incoming(instant now);
    void emit(host_event event);
    void destroy_later(std::shared_ptr<peer_link> link);
    link_entry* find_outgoing(const peer_link* link);
    peer_link::callbacks link_callbacks();

    member self;
    std::string secret;
    event_sink sink;
    peer_link_limits limits;
    peer_link_counters counters;
    monotonic_clock time;
    deferred_calls deferred;
    fd_watcher watcher;
    g_pointer<GSocketService> service;
    g_pointer<GSocketClient> client;
    g_pointer<GSocketAddress> listening_address;
    gulong incoming_handler = 0;
    g_source_handle sweeper;
    std::map<host_id, link_entry> outgoing;
    std::map<const peer_link*, link_entry> incoming;
    std::map<host_id, const peer_link*> latest_incoming;  ///< The newest authenticated incoming link of each peer.
    std::set<host_id> reachable;                          ///< Peers that have been logged as reachable since their last failure.
    std::set<host_id> unreachable;                        ///< Peers that have been logged as unreachable since their last link.
    std::set<std::pair<std::string, link_close_reason>> logged_rejections;  ///< Remote IP addresses and reasons.
    std::size_t unauthenticated_links = 0;                                  ///< Incoming links in their handshake.
};

peer_links::state::~state() {
    if (this->service) {
        // Without a handler if the address could not be bound.
        g_clear_signal_handler(&this->incoming_handler, this->service.get());
        g_socket_service_stop(this->service.get());
        g_socket_listener_close(G_SOCKET_LISTENER(this->service.get()));
    }
    for (auto& [peer, entry] : this->outgoing) {
        if (entry.attempt) {
            g_cancellable_cancel(entry.attempt.get());
        }
    }
}

void peer_links::state::listen() {
    const auto address = parse_socket_address(this->self.address);
    this->service = g_adopt(g_socket_service_new());
    this->client = g_adopt(g_socket_client_new());
    g_socket_client_set_enable_proxy(this->client.get(), FALSE);
    GError* raw = nullptr;
    GSocketAddress* effective = nullptr;
    auto* listener = G_SOCKET_LISTENER(this->service.get());
    g_socket_listener_set_backlog(listener, listen_backlog);
    const gboolean listening = g_socket_listener_add_address(listener, address.get(), G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP,
                                                             nullptr, &effective, &raw);
    const g_error_pointer failure(raw);
    if (!listening) {
        throw io_error("cannot listen for peers on " + this->self.address + ": " + failure->message);
    }
    this->listening_address = g_adopt(effective);
    const auto on_incoming = +[](GSocketService*, GSocketConnection* connection, GObject*, gpointer data) -> gboolean {
        static_cast<state*>(data)->accept(connection);
        return TRUE;
    };
    this->incoming_handler = g_signal_connect(this->service.get(), "incoming", G_CALLBACK(on_incoming), this);
    const auto on_sweep = +[](gpointer data) -> gboolean {
        static_cast<state*>(data)->sweep();
        return G_SOURCE_CONTINUE;
    };
    this->sweeper = g_source_handle(g_timeout_add(sweep_interval_ms, on_sweep, this));
    g_socket_service_start(this->service.get());
}

void peer_links::state::emit(host_event event) {
    this->deferred.post([this, event = std::move(event)]() mutable { this->sink(std::move(event)); });
}

/// Closes a link and destroys it from the main loop, because a link must not be destroyed inside its own callback.
void peer_links::state::destroy_later(std::shared_ptr<peer_link> link) {
    link->close();
    this->deferred.post([kept = std::move(link)]() {});
}

peer_link::callbacks peer_links::state::link_callbacks() {
    peer_link::callbacks calls;
    calls.ready = [this](peer_link& link) { this->on_ready(link); };
    calls.received = [this](peer_link& link, peer_message message) {
        const auto found = this->incoming.find(&link);
        if (found != this->incoming.end()) {
            found->second.last_used_at = this->time.now();
        }
        this->emit(std::move(message));
    };
    calls.ended = [this](peer_link& link, link_close_reason cause) { this->on_ended(link, cause); };
    return calls;
}

bool peer_links::state::send_on(link_entry& entry, const std::vector<std::uint8_t>& bytes) {
    if (!entry.link->send(bytes)) {
        return false;
    }
    ++this->counters.messages_sent;
    this->counters.bytes_sent += bytes.size();
    return true;
}

bool peer_links::state::send_reply(const send_to_peer& action, const std::vector<std::uint8_t>& bytes) {
    const auto link = this->latest_incoming.find(action.peer);
    if (!is_reply(action.message.body) || link == this->latest_incoming.end()) {
        return false;
    }
    auto& entry = this->incoming.at(link->second);
    const bool has_same_host = action.address.starts_with(entry.address + ":");
    const bool is_in_use = this->time.now() - entry.last_used_at < this->limits.reply_window;
    return has_same_host && is_in_use && entry.link->is_ready() && this->send_on(entry, bytes);
}

void peer_links::state::send(const send_to_peer& action) {
    std::vector<std::uint8_t> bytes;
    try {
        bytes = encode(action.message);
    } catch (const format_error&) {
        ++this->counters.oversized;
        this->emit(peer_not_sent{action.peer, action.message.body, not_sent_cause::too_large});
        return;
    }
    auto found = this->outgoing.find(action.peer);
    if (found != this->outgoing.end() && found->second.address != action.address) {
        // The peer has restarted at another address, so the old link does not reach it.
        found->second.link->end(link_close_reason::broken);
        found = this->outgoing.end();
    }
    const bool has_link = found != this->outgoing.end() && found->second.link->is_ready();
    if (!has_link && this->send_reply(action, bytes)) {
        return;
    }
    link_entry& entry = found == this->outgoing.end() ? this->open(action.peer, action.address) : found->second;
    if (entry.link->is_ready()) {
        entry.last_used_at = this->time.now();
        if (!this->send_on(entry, bytes)) {
            // Reported before the broken link: runs whose link broke count as lost, and this one was not sent for certain.
            this->emit(peer_not_sent{action.peer, action.message.body});
            entry.link->end(link_close_reason::overflow);
        }
    } else if (entry.waiting.size() < this->limits.max_waiting_messages) {
        entry.waiting.push_back({action.message.body, std::move(bytes)});
    } else {
        this->emit(peer_not_sent{action.peer, action.message.body});
    }
}

link_entry& peer_links::state::open(const host_id& peer, const std::string& address) {
    auto link = std::make_shared<peer_link>(link_direction::outgoing, this->self.id, this->secret, peer, this->link_callbacks());
    peer_link* opened = link.get();
    const instant now = this->time.now();
    link_entry& entry = this->outgoing[peer];
    entry = link_entry{std::move(link), address, now, now, {}, nullptr, false};
    try {
        const auto target = parse_socket_address(address);
        // The attempt is cancelled before the link is destroyed, so the link is alive when the callback runs.
        entry.attempt = start_connect(this->client.get(), target.get(), [this, opened](g_pointer<GSocketConnection> connection) {
            this->on_connect_finished(opened, std::move(connection));
        });
    } catch (const format_error&) {
        this->deferred.post([kept = entry.link]() { kept->end(link_close_reason::unreachable); });
    }
    return entry;
}

void peer_links::state::on_connect_finished(peer_link* link, g_pointer<GSocketConnection> connection) {
    link_entry* entry = this->find_outgoing(link);
    if (entry == nullptr) {
        return;
    }
    entry->attempt.reset();
    if (!connection) {
        link->end(link_close_reason::unreachable);
        return;
    }
    try {
        link->start(this->watcher, std::move(connection));
    } catch (const error&) {
        link->end(link_close_reason::unreachable);
    }
}

void peer_links::state::accept(GSocketConnection* connection) {
    if (this->unauthenticated_links >= this->limits.max_unauthenticated_links) {
        ++this->counters.turned_away;
        g_io_stream_close(G_IO_STREAM(connection), nullptr, nullptr);
        return;
    }
    auto link = std::make_shared<peer_link>(link_direction::incoming, this->self.id, this->secret, "", this->link_callbacks());
    const instant now = this->time.now();
    this->incoming[link.get()] = link_entry{link, remote_ip(connection), now, now, {}, nullptr, false};
    ++this->unauthenticated_links;
    try {
        link->start(this->watcher, g_share(connection));
    } catch (const error&) {
        link->end(link_close_reason::broken);
    }
}

void peer_links::state::on_ready(peer_link& link) {
    if (link.direction() == link_direction::outgoing) {
        this->on_outgoing_ready(this->outgoing.at(link.peer_id()));
        return;
    }
    ++this->counters.accepted;
    --this->unauthenticated_links;
    link_entry& entry = this->incoming.at(&link);
    entry.is_authenticated = true;
    this->latest_incoming[link.peer_id()] = &link;
    std::erase_if(this->logged_rejections, [&entry](const auto& item) { return item.first == entry.address; });
}

void peer_links::state::on_outgoing_ready(link_entry& entry) {
    const host_id& peer = entry.link->peer_id();
    ++this->counters.opened;
    entry.last_used_at = this->time.now();
    this->unreachable.erase(peer);
    if (this->reachable.insert(peer).second) {
        LOG(INFO) << "event=peer_reachable subject=" << peer << " address=" << entry.address;
    }
    this->emit(peer_connected{peer});
    while (!entry.waiting.empty()) {
        const waiting_message next = std::move(entry.waiting.front());
        entry.waiting.pop_front();
        if (!this->send_on(entry, next.bytes)) {
            entry.waiting.push_front(next);
            entry.link->end(link_close_reason::overflow);
            return;
        }
    }
}

void peer_links::state::on_ended(peer_link& link, link_close_reason cause) {
    count_link_close(this->counters, cause);
    if (link.direction() == link_direction::outgoing) {
        this->on_outgoing_ended(link.peer_id(), cause);
    } else {
        this->on_incoming_ended(link, cause);
    }
}

void peer_links::state::on_outgoing_ended(const host_id& peer, link_close_reason cause) {
    const auto found = this->outgoing.find(peer);
    link_entry entry = std::move(found->second);
    this->outgoing.erase(found);
    if (entry.attempt) {
        g_cancellable_cancel(entry.attempt.get());
    }
    this->reachable.erase(peer);
    if (this->unreachable.insert(peer).second) {
        LOG(WARNING) << "event=peer_unreachable subject=" << peer << " address=" << entry.address
                     << " cause=" << to_string(cause);
    }
    for (auto& message : entry.waiting) {
        this->emit(peer_not_sent{peer, std::move(message.body)});
    }
    this->emit(peer_disconnected{peer});
    this->destroy_later(std::move(entry.link));
}

void peer_links::state::on_incoming_ended(peer_link& link, link_close_reason cause) {
    const auto found = this->incoming.find(&link);
    link_entry entry = std::move(found->second);
    this->incoming.erase(found);
    const auto latest = this->latest_incoming.find(link.peer_id());
    if (latest != this->latest_incoming.end() && latest->second == &link) {
        this->latest_incoming.erase(latest);
    }
    if (!entry.is_authenticated) {
        --this->unauthenticated_links;
    } else if (cause != link_close_reason::idle) {
        this->emit(peer_disconnected{link.peer_id()});
    }
    if (cause != link_close_reason::idle && cause != link_close_reason::broken) {
        if (this->logged_rejections.size() >= max_logged_rejections) {
            this->logged_rejections.clear();
        }
        if (this->logged_rejections.insert({entry.address, cause}).second) {
            LOG(WARNING) << "event=peer_link_rejected subject=" << entry.address << " cause=" << to_string(cause);
        }
    }
    this->destroy_later(std::move(entry.link));
}

link_entry* peer_links::state::find_outgoing(const peer_link* link) {
    const auto found = this->outgoing.find(link->peer_id());
    return found != this->outgoing.end() && found->second.link.get() == link ? &found->second : nullptr;
}

void peer_links::state::sweep() {
    const instant now = this->time.now();
    this->sweep_outgoing(now);
    this->sweep_incoming(now);
}

void peer_links::state::sweep_outgoing(instant now) {
    std::vector<std::shared_ptr<peer_link>> overdue_links;
    std::vector<host_id> idle;
    for (const auto& [peer, entry] : this->outgoing) {
        if (!entry.link->is_ready() && now - entry.started_at >= this->limits.handshake_timeout) {
            overdue_links.push_back(entry.link);
        } else if (entry.link->is_ready() && now - entry.last_used_at >= this->limits.idle_timeout) {
            idle.push_back(peer);
        }
    }
    for (const auto& link : overdue_links) {
        link->end(link_close_reason::timed_out);
    }
    for (const auto& peer : idle) {
        const auto found = this->outgoing.find(peer);
        found->second.link->close_idle();
        this->destroy_later(std::move(found->second.link));
        this->outgoing.erase(found);
        ++this->counters.idle_closed;
    }
}

void peer_links::state::sweep_incoming(instant now) {
    std::vector<std::shared_ptr<peer_link>> overdue_links;
    std::vector<std::shared_ptr<peer_link>> silent_links;
    for (const auto& [key, entry] : this->incoming) {
        if (!entry.link->is_ready() && now - entry.started_at >= this->limits.handshake_timeout) {
            overdue_links.push_back(entry.link);
        } else if (entry.link->is_ready() && now - entry.last_used_at >= this->limits.incoming_idle_timeout) {
            silent_links.push_back(entry.link);
        }
    }
    for (const auto& link : overdue_links) {
        link->end(link_close_reason::timed_out);
    }
    for (const auto& link : silent_links) {
        link->end(link_close_reason::broken);
    }
}

peer_links::peer_links(member self, std::string fleet_secret, event_sink sink, peer_link_limits limits)
    : impl(std::make_unique<state>(std::move(self), std::move(fleet_secret), std::move(sink), limits)) {
    this->impl->listen();
}

peer_links::~peer_links() = default;

void peer_links::send(const send_to_peer& action) {
    this->impl->send(action);
}

std::string peer_links::bound_address() const {
    return format_socket_address(this->impl->listening_address.get());
}

peer_link_counters peer_links::counters() const {
    return this->impl->counters;
}

std::size_t peer_links::open_links() const {
    return this->impl->outgoing.size() + this->impl->incoming.size();
}

}  // namespace camphorstack
