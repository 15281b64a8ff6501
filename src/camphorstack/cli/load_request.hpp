#pragma once

#include <functional>
#include <optional>
#include <string>

#include "camphorstack/hosts/request.hpp"

namespace camphorstack {

/// One request of the load to the callers' interface.
struct load_request {
    std::size_t session = 0;  ///< Number of the load's session; a direct load has one connection for each session.
    std::size_t target = 0;   ///< Index in the plan's targets.
    std::string key;
    request_kind kind = request_kind::read;
    database_id database;
    std::string statement;
    std::string idempotency_key;
    std::string session_token;
    std::string transaction;
    std::optional<millis> max_age;

    friend bool operator==(const load_request&, const load_request&) = default;
};

struct load_answer {
    request_outcome outcome = request_outcome::unknown;
    std::string reason;
    std::string result;
    std::string session_token;
    std::string transaction;
    endpoint_id served_by;
    bool answered = false;  ///< False if the connection gave no answer.

    friend bool operator==(const load_answer&, const load_answer&) = default;
};

/// Sends requests to the fleet or to an instance.
class load_transport {
public:
    using callback = std::function<void(const load_answer&)>;

    load_transport() = default;
    load_transport(const load_transport&) = delete;
    load_transport& operator=(const load_transport&) = delete;
    load_transport(load_transport&&) = delete;
    load_transport& operator=(load_transport&&) = delete;
    virtual ~load_transport() = default;

    /// Sends a request and calls `done` exactly once, from the main loop.
    virtual void send(const load_request& request, callback done) = 0;
};

}  // namespace camphorstack
