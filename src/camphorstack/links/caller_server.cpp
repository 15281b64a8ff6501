#include "camphorstack/links/caller_server.hpp"

#include <glog/logging.h>
#include <libsoup/soup.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "camphorstack/links/caller_json.hpp"
#include "camphorstack/links/http_connection.hpp"
#include "camphorstack/links/report_json.hpp"
#include "camphorstack/links/request_headers.hpp"
#include "camphorstack/support/deferred_calls.hpp"
#include "camphorstack/support/errors.hpp"
#include "camphorstack/support/socket_address.hpp"

namespace camphorstack {

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_method_not_allowed = 405;
constexpr unsigned status_too_large = 413;
constexpr unsigned status_unavailable = 503;
constexpr millis max_sweep_interval{1000};
/// Time after a request's timeout at which the server itself answers it with outcome `unknown`, so that no connection waits
/// forever.
constexpr millis reply_grace{5000};

/// One HTTP request and its answer: from the moment the server waits for the request until the answer is written.
struct exchange {
    g_pointer<SoupServerMessage> message;  ///< Keeps the message alive, because the connection may release it without a signal.
    instant started_at;
    std::optional<instant> first_byte_seen_at;  ///< Time at which `sweep` first saw bytes of this request.
    std::size_t body_bytes = 0;
    header_check check;
    bool is_complete = false;          ///< True once the whole request has been read.
    std::uint64_t request_number = 0;  ///< Number of a request that was passed to the sink, else 0.
    request_kind kind = request_kind::read;
    std::int64_t complete_at_us = 0;
    std::optional<instant> answered_at;  ///< Time at which the answer was passed to libsoup.
    instant reply_deadline;              ///< Time at which a request that was passed to the sink is answered as unknown.
};

void respond(SoupServerMessage* message, unsigned status, const char* type, const std::string& body, bool close) {
    soup_server_message_set_status(message, status, nullptr);
    soup_server_message_set_response(message, type, SOUP_MEMORY_COPY, body.data(), body.size());
    if (close) {
        soup_message_headers_replace(soup_server_message_get_response_headers(message), "Connection", "close");
    }
}

std::string request_body(SoupServerMessage* message) {
    GBytes* bytes = soup_message_body_flatten(soup_server_message_get_request_body(message));
    gsize size = 0;
    const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &size));
    std::string text(data == nullptr ? "" : data, size);
    g_bytes_unref(bytes);
    return text;
}

std::optional<request_kind> transaction_kind(std::string_view path) {
    if (path == "/v1/begin") {
        return request_kind::begin;
    }
    if (path == "/v1/commit") {
        return request_kind::commit;
    }
    if (path == "/v1/rollback") {
        return request_kind::rollback;
    }
    return std::nullopt;
}

refusal refusal_for_status(unsigned status) {
    constexpr unsigned unauthorized = 401;
    return status == unauthorized ? refusal::bad_key : refusal::bad_request;
}

}  // namespace

struct caller_server::state {
    state(operator_callbacks operators, event_sink target, caller_server_limits bounds)
        : callbacks(std::move(operators)), sink(std::move(target)), limits(bounds) {}
    state(const state&) = delete;
    state& operator=(const state&) = delete;
    state(state&&) = delete;
    state& operator=(state&&) = delete;
    ~state();

    void listen(const std::string& address);
    void on_started(SoupServerMessage* message);
    void on_headers(SoupServerMessage* message);
    void on_chunk(SoupServerMessage* message, std::size_t bytes);
    void on_request(SoupServerMessage* message, std::string_view path);
    void remove_exchange(SoupServerMessage* message);
    bool serve_operator_page(SoupServerMessage* message, std::string_view path);
    void handle_request(SoupServerMessage* message, exchange& open, std::string_view path);
    void dispatch_request(SoupServerMessage* message, exchange& open, caller_request request);
    void reject(SoupServerMessage* message, unsigned status, const std::string& text, bool close);
    void answer(const caller_reply& reply);
    void sweep();
    [[nodiscard]] bool is_timed_out(SoupServerMessage* message, exchange& open, instant now) const;

    operator_callbacks callbacks;
    event_sink sink;
    caller_server_limits limits;
    monotonic_clock time;
    bool has_left_balancer = false;
    std::uint64_t last_request_number = 0;
    std::map<SoupServerMessage*, exchange> exchanges;
    std::map<std::uint64_t, SoupServerMessage*> open_requests_by_number;
    deferred_calls deferred;
    g_source_handle sweeper;
    g_pointer<SoupServer> server;
};

caller_server::state::~state() {
    if (this->server) {
        soup_server_disconnect(this->server.get());
        g_signal_handlers_disconnect_by_data(this->server.get(), this);
    }
    for (auto& [message, open] : this->exchanges) {
        g_signal_handlers_disconnect_by_data(message, this);
    }
}

void caller_server::state::listen(const std::string& address) {
    const auto target = parse_socket_address(address);
    this->server = g_adopt(SOUP_SERVER(g_object_new(SOUP_TYPE_SERVER, "server-header", "camphorstack", nullptr)));
    const auto started =
        +[](SoupServer*, SoupServerMessage* message, gpointer data) { static_cast<state*>(data)->on_started(message); };
    const auto ended =
        +[](SoupServer*, SoupServerMessage* message, gpointer data) { static_cast<state*>(data)->remove_exchange(message); };
    const auto headers = +[](SoupServer*, SoupServerMessage* message, const char*, GHashTable*, gpointer data) {
        static_cast<state*>(data)->on_headers(message);
    };
    const auto request = +[](SoupServer*, SoupServerMessage* message, const char* path, GHashTable*, gpointer data) {
        static_cast<state*>(data)->on_request(message, path == nullptr ? "" : path);
    };
    const auto sweeping = +[](gpointer data) -> gboolean {
        static_cast<state*>(data)->sweep();
        return G_SOURCE_CONTINUE;
    };
    g_signal_connect(this->server.get(), "request-started", G_CALLBACK(started), this);
    g_signal_connect(this->server.get(), "request-finished", G_CALLBACK(ended), this);
    g_signal_connect(this->server.get(), "request-aborted", G_CALLBACK(ended), this);
    soup_server_add_early_handler(this->server.get(), nullptr, headers, this, nullptr);
    soup_server_add_handler(this->server.get(), nullptr, request, this, nullptr);
    GError* raw = nullptr;
    const gboolean listening =
        soup_server_listen(this->server.get(), target.get(), static_cast<SoupServerListenOptions>(0), &raw);
    const g_error_pointer failure(raw);
    if (!listening) {
        throw io_error("cannot listen for callers on " + address + ": " + failure->message);
    }
    const millis interval = std::min(max_sweep_interval, this->limits.request_timeout / 4);
    this->sweeper = g_source_handle(g_timeout_add(static_cast<guint>(interval.count), sweeping, this));
}

void caller_server::state::on_started(SoupServerMessage* message) {
    if (this->exchanges.size() >= this->limits.max_connections) {
        abort_connection(message);
        return;
    }
    exchange& open = this->exchanges[message];
    open.message = g_share(message);
    open.started_at = this->time.now();
    const auto chunk = +[](SoupServerMessage* source, GBytes* bytes, gpointer data) {
        static_cast<state*>(data)->on_chunk(source, g_bytes_get_size(bytes));
    };
    const auto disconnected =
        +[](SoupServerMessage* source, gpointer data) { static_cast<state*>(data)->remove_exchange(source); };
    g_signal_connect(message, "got-chunk", G_CALLBACK(chunk), this);
    g_signal_connect(message, "disconnected", G_CALLBACK(disconnected), this);
}

void caller_server::state::remove_exchange(SoupServerMessage* message) {
    const auto found = this->exchanges.find(message);
    if (found != this->exchanges.end()) {
        g_signal_handlers_disconnect_by_data(message, this);
        this->open_requests_by_number.erase(found->second.request_number);
        this->exchanges.erase(found);
    }
}

void caller_server::state::on_headers(SoupServerMessage* message) {
    const auto found = this->exchanges.find(message);
    if (found == this->exchanges.end()) {
        return;
    }
    exchange& open = found->second;
    open.check = check_request_headers(soup_server_message_get_request_headers(message));
    if (open.check.status != 0) {
        // The body is still read, because closing a connection with unread bytes can discard the answer before it arrives.
        soup_message_body_set_accumulate(soup_server_message_get_request_body(message), FALSE);
        this->reject(message, open.check.status, open.check.error, open.check.must_close_connection);
    }
}

void caller_server::state::on_chunk(SoupServerMessage* message, std::size_t bytes) {
    const auto found = this->exchanges.find(message);
    if (found == this->exchanges.end()) {
        return;
    }
    exchange& open = found->second;
    open.body_bytes += bytes;
    if (open.body_bytes > this->limits.max_discarded_bytes) {
        abort_connection(message);
    } else if (open.body_bytes > caller_body_limit && open.check.status == 0) {
        open.check = {status_too_large, "the body is larger than 256 KiB", "", true};
        auto* body = soup_server_message_get_request_body(message);
        soup_message_body_set_accumulate(body, FALSE);
        soup_message_body_truncate(body);
    }
}

void caller_server::state::on_request(SoupServerMessage* message, std::string_view path) {
    const auto found = this->exchanges.find(message);
    if (found == this->exchanges.end()) {
        abort_connection(message);
        return;
    }
    exchange& open = found->second;
    open.is_complete = true;
    mark_request_received(message);
    open.complete_at_us = g_get_monotonic_time();
    if (open.check.status != 0) {
        this->reject(message, open.check.status, open.check.error, open.check.must_close_connection);
    } else if (!this->serve_operator_page(message, path)) {
        this->handle_request(message, open, path);
    }
    if (open.request_number == 0) {
        open.answered_at = this->time.now();
    }
}

bool caller_server::state::serve_operator_page(SoupServerMessage* message, std::string_view path) {
    const bool known = path == "/health" || path == "/metrics" || path == "/v1/status" || path == "/v1/explain";
    const std::string_view method = soup_server_message_get_method(message);
    if (!known) {
        return false;
    }
    if (method != "GET" && method != "HEAD") {
        this->reject(message, status_method_not_allowed, "this path supports GET only", false);
    } else if (path == "/health") {
        respond(message, this->has_left_balancer ? status_unavailable : status_ok, "text/plain",
                this->has_left_balancer ? "leaving\n" : "ok\n", this->has_left_balancer);
    } else if (path == "/metrics") {
        respond(message, status_ok, "text/plain; version=0.0.4", this->callbacks.metrics(), false);
    } else {
        const host_report current = this->callbacks.report();
        respond(message, status_ok, "application/json",
                path == "/v1/status" ? format_status(current) : format_explanation(current), false);
    }
    return true;
}

void caller_server::state::handle_request(SoupServerMessage* message, exchange& open, std::string_view path) {
    const auto kind = transaction_kind(path);
    if (!kind && path != "/v1/statement") {
        this->reject(message, status_not_found, "there is no such path", false);
        return;
    }
    if (std::string_view(soup_server_message_get_method(message)) != "POST") {
        this->reject(message, status_method_not_allowed, "this path supports POST only", false);
        return;
    }
    try {
        const std::string body = request_body(message);
        this->dispatch_request(message, open, kind ? parse_transaction_body(body, *kind) : parse_statement_body(body));
    } catch (const format_error& failure) {
        this->reject(message, status_bad_request, failure.what(), false);
    }
}

void caller_server::state::dispatch_request(SoupServerMessage* message, exchange& open, caller_request request) {
    request.request_number = ++this->last_request_number;
    request.key_sha256 = open.check.key_sha256;
    open.request_number = request.request_number;
    open.kind = request.kind;
    open.reply_deadline = this->time.now() + request.timeout + reply_grace;
    this->open_requests_by_number[request.request_number] = message;
    soup_server_message_pause(message);
    this->deferred.post([this, request = std::move(request)]() mutable { this->sink(std::move(request)); });
}

void caller_server::state::reject(SoupServerMessage* message, unsigned status, const std::string& text, bool close) {
    const refusal reason = refusal_for_status(status);
    respond(message, status, "application/json", format_caller_error(reason, text), close);
    if (this->callbacks.record_request) {
        this->callbacks.record_request({"", request_kind::read, request_outcome::not_run, reason, 0});
    }
}

void caller_server::state::answer(const caller_reply& reply) {
    const auto found = this->open_requests_by_number.find(reply.request_number);
    if (found == this->open_requests_by_number.end()) {
        return;
    }
    SoupServerMessage* message = found->second;
    this->open_requests_by_number.erase(found);
    exchange& open = this->exchanges.at(message);
    open.answered_at = this->time.now();
    if (this->callbacks.record_request) {
        this->callbacks.record_request(
            {reply.workspace, open.kind, reply.outcome, reply.reason, g_get_monotonic_time() - open.complete_at_us});
    }
    respond(message, http_status(reply.outcome, reply.reason), "application/json", format_caller_reply(reply),
            this->has_left_balancer);
    soup_server_message_unpause(message);
}

bool caller_server::state::is_timed_out(SoupServerMessage* message, exchange& open, instant now) const {
    if (open.is_complete) {
        return open.answered_at && now - *open.answered_at >= this->limits.request_timeout;
    }
    if (!open.first_byte_seen_at && has_request_begun(message)) {
        open.first_byte_seen_at = now;
    }
    return open.first_byte_seen_at ? now - *open.first_byte_seen_at >= this->limits.request_timeout
                                   : now - open.started_at >= this->limits.idle_timeout;
}

void caller_server::state::sweep() {
    const instant now = this->time.now();
    std::vector<SoupServerMessage*> timed_out;
    std::vector<std::uint64_t> overdue_requests;
    for (auto& [message, open] : this->exchanges) {
        if (this->is_timed_out(message, open, now)) {
            timed_out.push_back(message);
        }
        if (open.request_number != 0 && this->open_requests_by_number.contains(open.request_number) &&
            now >= open.reply_deadline) {
            overdue_requests.push_back(open.request_number);
        }
    }
    for (SoupServerMessage* message : timed_out) {
        abort_connection(message);
    }
    for (const std::uint64_t request_number : overdue_requests) {
        caller_reply reply;
        reply.request_number = request_number;
        reply.outcome = request_outcome::unknown;
        reply.reason = refusal::deadline;
        this->answer(reply);
    }
}

caller_server::caller_server(const std::string& address, operator_callbacks callbacks, event_sink sink,
                             caller_server_limits limits)
    : impl(std::make_unique<state>(std::move(callbacks), std::move(sink), limits)) {
    this->impl->listen(address);
}

caller_server::~caller_server() = default;

void caller_server::answer(const caller_reply& reply) {
    this->impl->answer(reply);
}

void caller_server::leave_balancer() {
    this->impl->has_left_balancer = true;
}

std::string caller_server::bound_address() const {
    GSList* listeners = soup_server_get_listeners(this->impl->server.get());
    const auto address = g_adopt(g_socket_get_local_address(G_SOCKET(listeners->data), nullptr));
    g_slist_free(listeners);
    return format_socket_address(address.get());
}

std::size_t caller_server::open_requests() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(this->impl->exchanges, [](const auto& item) { return item.second.request_number != 0; }));
}

}  // namespace camphorstack
