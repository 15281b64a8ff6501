#include "stand_ins/platform_server.hpp"

#include <charconv>
#include <cstring>
#include <optional>
#include <utility>

#include "camphorstack/support/errors.hpp"

namespace camphorstack::stand_ins {

namespace {

constexpr millis watch_poll_interval{20};

struct bytes_deleter {
    void operator()(GBytes* bytes) const { g_bytes_unref(bytes); }
};

std::string request_body(SoupServerMessage* message) {
    const std::unique_ptr<GBytes, bytes_deleter> bytes(soup_message_body_flatten(soup_server_message_get_request_body(message)));
    gsize size = 0;
    const auto* data = static_cast<const char*>(g_bytes_get_data(bytes.get(), &size));
    return {data == nullptr ? "" : data, size};
}

void reply(SoupServerMessage* message, guint status, const std::string& body) {
    soup_server_message_set_status(message, status, nullptr);
    soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY, body.data(), body.size());
}

void abort_connection(SoupServerMessage* message) {
    g_socket_shutdown(soup_server_message_get_socket(message), TRUE, TRUE, nullptr);
}

std::optional<std::uint64_t> query_number(GHashTable* query, const char* name) {
    const auto* text = query == nullptr ? nullptr : static_cast<const char*>(g_hash_table_lookup(query, name));
    std::uint64_t value = 0;
    if (text == nullptr || std::from_chars(text, text + std::strlen(text), value).ec != std::errc()) {
        return std::nullopt;
    }
    return value;
}

std::optional<platform_call> to_call(SoupServerMessage* message, const std::string& path, GHashTable* query) {
    const std::string prefix = "/objects/";
    const std::string method = soup_server_message_get_method(message);
    platform_call call;
    if (method == "GET" && path == "/hosts") {
        call.operation = platform_operation::hosts;
        return call;
    }
    if (!path.starts_with(prefix) || path.size() == prefix.size()) {
        return std::nullopt;
    }
    call.object = path.substr(prefix.size());
    const auto expected = query_number(query, method == "PUT" ? "version" : "watch");
    call.expected_version = expected.value_or(0);
    if (method == "GET") {
        call.operation = expected ? platform_operation::watch : platform_operation::read;
        return call;
    }
    call.operation = platform_operation::write;
    call.value = request_body(message);
    return method == "PUT" && expected && is_json(call.value) ? std::optional(call) : std::nullopt;
}

std::string object_json(const platform_answer& answer) {
    const auto value = answer.value.empty() ? std::string() : ",\"value\":" + answer.value;
    return "{\"version\":" + std::to_string(answer.version) + value + "}";
}

std::string calls_json(platform_model& model) {
    return "{\"read\":" + std::to_string(model.calls[platform_operation::read]) +
           ",\"write\":" + std::to_string(model.calls[platform_operation::write]) +
           ",\"watch\":" + std::to_string(model.calls[platform_operation::watch]) +
           ",\"hosts\":" + std::to_string(model.calls[platform_operation::hosts]) + "}";
}

guint status_of(const platform_answer& answer) {
    switch (answer.status) {
        case platform_status::ok:
            return SOUP_STATUS_OK;
        case platform_status::conflict:
            return SOUP_STATUS_CONFLICT;
        case platform_status::not_found:
            return SOUP_STATUS_NOT_FOUND;
        case platform_status::unavailable:
            break;
    }
    return SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE;
}

}  // namespace

platform_server::platform_server(const std::string& address)
    : server(g_adopt(SOUP_SERVER(g_object_new(SOUP_TYPE_SERVER, nullptr)))) {
    const auto colon = address.rfind(':');
    const auto port = static_cast<guint>(std::stoi(address.substr(colon + 1)));
    const auto socket = g_adopt(g_inet_socket_address_new_from_string(address.substr(0, colon).c_str(), port));
    GError* raw_failure = nullptr;
    if (soup_server_listen(this->server.get(), socket.get(), SoupServerListenOptions{}, &raw_failure) == FALSE) {
        const g_error_pointer failure(raw_failure);
        throw io_error("cannot listen on " + address + ": " + failure->message);
    }
    soup_server_add_handler(this->server.get(), nullptr, &platform_server::on_request, this, nullptr);
    this->poll_watches();
}

platform_server::~platform_server() {
    for (const auto& [request_number, message] : this->open_requests) {
        g_signal_handlers_disconnect_by_data(message.get(), this);
    }
    soup_server_disconnect(this->server.get());
}

std::string platform_server::address() const {
    GSList* uris = soup_server_get_uris(this->server.get());
    auto* const uri = static_cast<GUri*>(uris->data);
    std::string result = std::string(g_uri_get_host(uri)) + ":" + std::to_string(g_uri_get_port(uri));
    g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(&g_uri_unref));
    return result;
}

void platform_server::on_request(SoupServer* /*server*/, SoupServerMessage* message, const char* path, GHashTable* query,
                                 gpointer self) {
    static_cast<platform_server*>(self)->handle(message, path, query);
}

void platform_server::on_finished(SoupServerMessage* message, gpointer self) {
    auto* const owner = static_cast<platform_server*>(self);
    for (auto entry = owner->open_requests.begin(); entry != owner->open_requests.end(); ++entry) {
        if (entry->second.get() == message) {
            remove_watches(owner->model, entry->first);
            owner->open_requests.erase(entry);
            return;
        }
    }
}

void platform_server::handle(SoupServerMessage* message, const std::string& path, GHashTable* query) {
    const std::string method = soup_server_message_get_method(message);
    try {
        if (this->handle_control_request(message, method, path)) {
            return;
        }
    } catch (const format_error& failure) {
        reply(message, SOUP_STATUS_BAD_REQUEST, std::string("{\"error\":\"") + failure.what() + "\"}");
        return;
    }
    if (this->faults.down) {
        abort_connection(message);
        return;
    }
    const auto call = to_call(message, path, query);
    if (!call) {
        reply(message, SOUP_STATUS_BAD_REQUEST, "{}");
        return;
    }
    this->start_call(message, *call);
}

bool platform_server::handle_control_request(SoupServerMessage* message, const std::string& method, const std::string& path) {
    if (method == "PUT" && path == "/hosts") {
        this->model.hosts = parse_hosts(request_body(message));
    } else if (method == "PUT" && path == "/faults") {
        this->faults = parse_faults(request_body(message));
    } else if (method == "GET" && path == "/calls") {
        reply(message, SOUP_STATUS_OK, calls_json(this->model));
        return true;
    } else {
        return false;
    }
    reply(message, SOUP_STATUS_OK, "{}");
    return true;
}

void platform_server::start_call(SoupServerMessage* message, const platform_call& call) {
    const auto request_number = ++this->last_request_number;
    this->open_requests[request_number] = g_share(message);
    g_signal_connect(message, "finished", G_CALLBACK(&platform_server::on_finished), this);
    soup_server_message_pause(message);
    if (this->faults.silent) {
        return;
    }
    if (this->faults.call_delay > millis{0}) {
        this->timer.run_after(this->faults.call_delay, [this, request_number, call] { this->run(request_number, call); });
    } else {
        this->run(request_number, call);
    }
}

void platform_server::run(std::uint64_t request_number, const platform_call& call) {
    const auto answer = run_call(this->model, request_number, call, this->time.now());
    if (answer) {
        this->finish(request_number, call, *answer);
    }
    if (call.operation == platform_operation::write) {
        this->answer_watches();
    }
}

void platform_server::finish(std::uint64_t request_number, const platform_call& call, const platform_answer& answer) {
    const auto found = this->open_requests.find(request_number);
    if (found == this->open_requests.end()) {
        return;
    }
    const auto message = std::move(found->second);
    this->open_requests.erase(found);
    g_signal_handlers_disconnect_by_data(message.get(), this);
    if (this->faults.down || std::exchange(this->faults.lose_next_answer, false)) {
        abort_connection(message.get());
    } else {
        reply(message.get(), status_of(answer),
              call.operation == platform_operation::hosts ? format_hosts(this->model.hosts) : object_json(answer));
    }
    soup_server_message_unpause(message.get());
}

void platform_server::answer_watches() {
    for (const auto& due : due_watches(this->model, this->time.now())) {
        this->finish(due.caller, {due.answer.id, platform_operation::watch, "", 0, ""}, due.answer);
    }
}

void platform_server::poll_watches() {
    this->timer.run_after(watch_poll_interval, [this] { this->poll_watches(); });
    this->answer_watches();
}

}  // namespace camphorstack::stand_ins
