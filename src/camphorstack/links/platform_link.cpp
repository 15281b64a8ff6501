#include "camphorstack/links/platform_link.hpp"

#include <libsoup/soup.h>

#include <set>
#include <utility>

#include "camphorstack/links/platform_json.hpp"
#include "camphorstack/support/deferred_calls.hpp"
#include "camphorstack/support/errors.hpp"
#include "camphorstack/support/g_pointer.hpp"

namespace camphorstack {

namespace {

/// The platform answers a watch without a change after this time.
constexpr millis platform_watch_time{10000};
/// Connections to the platform: one for each watch, the rest for reads, writes and the host list.
constexpr int max_connections = 16;

struct pending_call;

/// State of a link, out of the class so that libsoup's callbacks reach it.
struct link_state {
    std::string address;
    millis timeout;
    event_sink sink;
    g_pointer<SoupSession> session;
    std::set<pending_call*> calls;
    deferred_calls deferred;
};

/// Lives until libsoup reports the end of the call, which can be after the end of the link.
struct pending_call {
    platform_call call;
    link_state* owner = nullptr;  ///< Null once the link has gone.
    g_pointer<SoupMessage> message;
    g_pointer<GCancellable> cancellable;
    g_source_handle deadline;
};

std::string request_path(const platform_call& call) {
    if (call.operation == platform_operation::hosts) {
        return "/hosts";
    }
    const g_text name(g_uri_escape_string(call.object.c_str(), "/", FALSE));
    std::string path = std::string("/objects/") + name.get();
    if (call.operation == platform_operation::watch) {
        path += "?watch=" + std::to_string(call.expected_version);
    } else if (call.operation == platform_operation::write) {
        path += "?version=" + std::to_string(call.expected_version);
    }
    return path;
}

g_pointer<SoupMessage> make_message(const std::string& address, const platform_call& call) {
    const bool is_write = call.operation == platform_operation::write;
    auto message =
        g_pointer<SoupMessage>(soup_message_new(is_write ? "PUT" : "GET", ("http://" + address + request_path(call)).c_str()));
    if (message && is_write) {
        const auto body = g_bytes_new(call.value.data(), call.value.size());
        soup_message_set_request_body_from_bytes(message.get(), "application/json", body);
        g_bytes_unref(body);
        // libsoup sends some requests again when a reused connection was closed (3.2 does so for GET, not for PUT). A write that
        // was sent again would be answered with a conflict though the first one took effect, so this does not depend on it.
        soup_message_add_flags(message.get(), SOUP_MESSAGE_NEW_CONNECTION);
    }
    return message;
}

platform_answer parse_answer(const platform_call& call, SoupMessage* message, GBytes* body) {
    gsize size = 0;
    const auto* data = static_cast<const char*>(g_bytes_get_data(body, &size));
    try {
        return read_platform_answer(call, soup_message_get_status(message), std::string(data == nullptr ? "" : data, size));
    } catch (const format_error&) {
        return {call.id, platform_status::unavailable, 0, "", {}};
    }
}

void on_finished(GObject* session, GAsyncResult* result, gpointer data) {
    const std::unique_ptr<pending_call> finished(static_cast<pending_call*>(data));
    GError* raw_failure = nullptr;
    GBytes* body = soup_session_send_and_read_finish(SOUP_SESSION(session), result, &raw_failure);
    const g_error_pointer failure(raw_failure);
    platform_answer answer{finished->call.id, platform_status::unavailable, 0, "", {}};
    if (body != nullptr) {
        answer = parse_answer(finished->call, finished->message.get(), body);
        g_bytes_unref(body);
    }
    if (auto* const owner = finished->owner; owner != nullptr) {
        owner->calls.erase(finished.get());
        finished->deadline.reset();
        owner->sink(answer);
    }
}

gboolean on_deadline(gpointer data) {
    auto* const expired_call = static_cast<pending_call*>(data);
    expired_call->deadline.release();
    g_cancellable_cancel(expired_call->cancellable.get());
    return G_SOURCE_REMOVE;
}

millis call_timeout(const platform_call& call, millis timeout) {
    return call.operation == platform_operation::watch ? timeout + platform_watch_time : timeout;
}

}  // namespace

struct platform_link::state : link_state {};

platform_link::platform_link(std::string address, millis timeout, event_sink sink) : impl(std::make_unique<state>()) {
    this->impl->address = std::move(address);
    this->impl->timeout = timeout;
    this->impl->sink = std::move(sink);
    this->impl->session =
        g_adopt(soup_session_new_with_options("max-conns", max_connections, "max-conns-per-host", max_connections, nullptr));
}

platform_link::~platform_link() {
    for (auto* const call : this->impl->calls) {
        call->owner = nullptr;
        call->deadline.reset();
        g_cancellable_cancel(call->cancellable.get());
    }
}

void platform_link::call(const platform_call& action) {
    auto* const owner = this->impl.get();
    auto message = make_message(owner->address, action);
    if (!message) {
        owner->deferred.post([owner, id = action.id] {
            owner->sink(platform_answer{id, platform_status::unavailable, 0, "", {}});
        });
        return;
    }
    auto started = std::make_unique<pending_call>();
    started->call = action;
    started->owner = owner;
    started->message = std::move(message);
    started->cancellable = g_adopt(g_cancellable_new());
    const auto limit = static_cast<guint>(call_timeout(action, owner->timeout).count);
    started->deadline = g_source_handle(g_timeout_add(limit, &on_deadline, started.get()));
    owner->calls.insert(started.get());
    auto* const data = started.release();
    soup_session_send_and_read_async(owner->session.get(), data->message.get(), G_PRIORITY_DEFAULT, data->cancellable.get(),
                                     &on_finished, data);
}

}  // namespace camphorstack
