#include "platform/object_store.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <utility>

#include "camphorstack/document/json_tree.hpp"
#include "camphorstack/support/socket_address.hpp"

namespace camphorstack::platform_tests {

namespace {

std::string query_value(GHashTable* query, const char* name) {
    const auto* const text = query == nullptr ? nullptr : static_cast<const char*>(g_hash_table_lookup(query, name));
    return text == nullptr ? "" : text;
}

std::string body_of(SoupServerMessage* message) {
    SoupMessageBody* body = soup_server_message_get_request_body(message);
    return {body->data == nullptr ? "" : body->data, static_cast<std::size_t>(body->length)};
}

}  // namespace

std::string quoted(const std::string& text) {
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned char first_other = 0x80;
    std::string result = "\"";
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte < first_other) {
            result += "\\u00";
            result += digits[byte / digits.size()];
            result += digits[byte % digits.size()];
        } else {
            result += c;
        }
    }
    return result + '"';
}

object_store::object_store() : server(g_adopt(soup_server_new(nullptr, nullptr))) {
    soup_server_add_handler(this->server.get(), nullptr, &object_store::handle, this, nullptr);
    const auto local = parse_socket_address("127.0.0.1:0");
    REQUIRE(soup_server_listen(this->server.get(), local.get(), static_cast<SoupServerListenOptions>(0), nullptr));
    GSList* uris = soup_server_get_uris(this->server.get());
    this->bound_address = "127.0.0.1:" + std::to_string(g_uri_get_port(static_cast<GUri*>(uris->data)));
    g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(&g_uri_unref));
}

void object_store::put(const std::string& kind, const std::string& name, const std::string& content) {
    this->kinds[kind][name] = {content, ++this->revision};
    this->answer_waiting_watches();
}

void object_store::remove(const std::string& kind, const std::string& name) {
    this->kinds[kind].erase(name);
    this->removed[kind + "/" + name] = ++this->revision;
    this->answer_waiting_watches();
}

void object_store::silence_open_connections() {
    this->silent_sockets = this->known_sockets;
}

void object_store::handle(SoupServer* /*server*/, SoupServerMessage* message, const char* path, GHashTable* query,
                          gpointer self) {
    auto* const store = static_cast<object_store*>(self);
    const char* const text = g_uri_get_query(soup_server_message_get_uri(message));
    store->requests.push_back(std::string(soup_server_message_get_method(message)) + " " + path +
                              (text == nullptr ? "" : "?" + std::string(text)) + " " + body_of(message));
    GSocket* const socket = soup_server_message_get_socket(message);
    store->known_sockets.insert(socket);
    if (store->silent_sockets.contains(socket)) {
        soup_server_message_pause(message);
        return;
    }
    store->answer(message, path, query);
}

void object_store::answer(SoupServerMessage* message, const std::string& path, GHashTable* query) {
    const std::string prefix = "/camphorstack/objects/";
    if (this->forced_status != 0) {
        this->respond(message, this->forced_status, "{}");
    } else if (path == "/promotion" || path == "/usage") {
        SoupMessageHeaders* headers = soup_server_message_get_request_headers(message);
        auto& received = path == "/promotion" ? this->promotions : this->usages;
        received.push_back(std::string(soup_message_headers_get_one(headers, "Lease-Holder")) + " " +
                           soup_message_headers_get_one(headers, "Fencing-Token") + " " + body_of(message));
        this->respond(message, 200, "{}");
    } else if (path.starts_with(prefix)) {
        const auto rest = path.substr(prefix.size());
        const auto kind = rest.substr(0, rest.find('/'));
        const auto watched = query_value(query, "Watch");
        if (std::string(soup_server_message_get_method(message)) != "GET") {
            this->answer_object(message, kind, body_of(message));
        } else if (rest.find('/') != std::string::npos) {
            const auto name = rest.substr(rest.find('/') + 1);
            const auto found = this->kinds[kind].find(name);
            const bool exists = found != this->kinds[kind].end();
            this->respond(message, exists ? 200 : 404, exists ? this->object_text(name, found->second) : "{}");
        } else if (watched.empty()) {
            std::string items;
            for (const auto& [name, item] : this->kinds[kind]) {
                items += (items.empty() ? "" : ",") + this->object_text(name, item);
            }
            this->respond(
                message, 200,
                "{\"items\":[" + items + "],\"HasMore\":false,\"StoreRevision\":" + std::to_string(this->revision) + "}");
        } else if (!this->answer_watch(message, kind, std::stoull(watched), false)) {
            soup_server_message_pause(message);
            this->waiting_watches.push_back({message, kind, std::stoull(watched)});
        }
    } else {
        this->respond(message, 404, "{}");
    }
}

void object_store::answer_object(SoupServerMessage* message, const std::string& kind, const std::string& body) {
    const json_tree tree(body);
    JsonObject* meta = object_member(tree.root(), "meta");
    const auto name = string_member(meta, "Name").value_or("");
    const auto expected_revision = static_cast<std::uint64_t>(integer_member(meta, "Revision").value_or(0));
    auto& items = this->kinds[kind];
    const auto found = items.find(name);
    const auto current_revision = found == items.end() ? 0 : found->second.revision;
    if (current_revision != expected_revision) {
        this->respond(message, found == items.end() ? 404 : 409,
                      found == items.end() ? "{}" : this->object_text(name, found->second));
        return;
    }
    this->put(kind, name, to_json_text(json_object_get_member(tree.root(), "spec")));
    this->respond(message, 200, this->object_text(name, items.at(name)));
}

bool object_store::answer_watch(SoupServerMessage* message, const std::string& kind, std::uint64_t since, bool answers_if_empty) {
    if (this->history_gone) {
        this->respond(message, 410, "{}");
        return true;
    }
    std::string events;
    const auto add = [&events](const std::string& object_json, bool is_removed) {
        events += (events.empty() ? "" : ",") +
                  ("{\"Removed\":" + std::string(is_removed ? "true" : "false") + ",\"Object\":" + object_json + "}");
    };
    for (const auto& [name, item] : this->kinds[kind]) {
        if (item.revision > since) {
            add(this->object_text(name, item), false);
        }
    }
    for (const auto& [key, at] : this->removed) {
        if (at > since && key.starts_with(kind + "/")) {
            add(this->object_text(key.substr(kind.size() + 1), {"{}", at}), true);
        }
    }
    if (events.empty() && !answers_if_empty) {
        return false;
    }
    this->respond(message, 200, "{\"events\":[" + events + "],\"StoreRevision\":" + std::to_string(this->revision) + "}");
    return true;
}

void object_store::answer_waiting_watches() {
    for (auto& watch : std::exchange(this->waiting_watches, {})) {
        if (this->answer_watch(watch.message, watch.kind, watch.revision, false)) {
            soup_server_message_unpause(watch.message);
        } else {
            this->waiting_watches.push_back(watch);
        }
    }
}

void object_store::respond(SoupServerMessage* message, unsigned status, const std::string& body) {
    if (this->is_silent) {
        soup_server_message_pause(message);
        return;
    }
    const auto& text = this->invalid_body.empty() ? body : this->invalid_body;
    soup_server_message_set_status(message, status, nullptr);
    soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY, text.data(), text.size());
}

std::string object_store::object_text(const std::string& name, const object& item) const {
    return R"({"meta":{"Name":)" + quoted(name) + R"(,"Revision":)" + std::to_string(item.revision) + R"(},"spec":)" +
           item.content + R"(,"status":null})";
}

}  // namespace camphorstack::platform_tests
