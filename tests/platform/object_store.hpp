#pragma once

#include <libsoup/soup.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "camphorstack/support/g_pointer.hpp"

namespace camphorstack::platform_tests {

/// Returns the text as a JSON string. All ASCII characters become escapes; the product's own writer is not used.
[[nodiscard]] std::string quoted(const std::string& text);

/// HTTP stand-in for the platform's store and its promotion call, on loopback. A watch is answered as soon as the store holds
/// something newer than the watch's revision.
class object_store {
public:
    object_store();
    object_store(const object_store&) = delete;
    object_store& operator=(const object_store&) = delete;
    object_store(object_store&&) = delete;
    object_store& operator=(object_store&&) = delete;
    ~object_store() = default;

    [[nodiscard]] const std::string& address() const { return this->bound_address; }

    /// Writes an object; `content` is its JSON text.
    void put(const std::string& kind, const std::string& name, const std::string& content);
    void remove(const std::string& kind, const std::string& name);
    /// Leaves all further calls on the connections that are open now without an answer. New connections work.
    void silence_open_connections();

    struct object {
        std::string content;
        std::uint64_t revision = 0;
    };
    std::map<std::string, std::map<std::string, object>> kinds;
    std::vector<std::string> requests;    ///< "METHOD PATH?QUERY BODY" of each call.
    std::vector<std::string> promotions;  ///< "HOLDER FENCE BODY" of each promotion.
    std::vector<std::string> usages;      ///< "HOLDER FENCE BODY" of each usage report.
    unsigned forced_status = 0;           ///< If not 0, the status of all answers.
    bool is_silent = false;               ///< Calls are carried out but never answered.
    bool history_gone = false;            ///< Watches are answered with status 410.
    std::string invalid_body;             ///< If not empty, the body of all answers.

private:
    struct waiting_watch {
        SoupServerMessage* message = nullptr;
        std::string kind;
        std::uint64_t revision = 0;
    };

    static void handle(SoupServer* server, SoupServerMessage* message, const char* path, GHashTable* query, gpointer self);
    void answer(SoupServerMessage* message, const std::string& path, GHashTable* query);
    void answer_object(SoupServerMessage* message, const std::string& kind, const std::string& body);
    bool answer_watch(SoupServerMessage* message, const std::string& kind, std::uint64_t revision, bool answers_if_empty);
    void respond(SoupServerMessage* message, unsigned status, const std::string& body);
    [[nodiscard]] std::string object_text(const std::string& name, const object& item) const;
    void answer_waiting_watches();

    g_pointer<SoupServer> server;
    std::string bound_address;
    std::uint64_t revision = 10;
    std::set<GSocket*> known_sockets;   ///< Of all connections so far.
    std::set<GSocket*> silent_sockets;  ///< Of the connections that get no answer.
    std::vector<waiting_watch> waiting_watches;
    std::map<std::string, std::uint64_t> removed;  ///< Revision of the removal by "KIND/NAME".
};

}  // namespace camphorstack::platform_tests
