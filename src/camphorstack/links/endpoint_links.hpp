#pragma once

#include <memory>

#include "camphorstack/links/event_sink.hpp"

namespace camphorstack {

/// Connections to endpoints over the PostgreSQL protocol, through the non-blocking interface of libpq.
/// A call is never sent twice: a broken connection is reported as `endpoint_closed` and not reopened.
class endpoint_links {
public:
    explicit endpoint_links(event_sink sink);
    endpoint_links(const endpoint_links&) = delete;
    endpoint_links& operator=(const endpoint_links&) = delete;
    endpoint_links(endpoint_links&&) = delete;
    endpoint_links& operator=(endpoint_links&&) = delete;
    ~endpoint_links();

    /// Starts to connect; `endpoint_connected` or `endpoint_closed` follows.
    void open(const open_connection& action);
    /// Closes the connection at once; no event follows.
    void close(connection_id connection);
    /// Sends one call; `endpoint_answered` or `endpoint_closed` follows.
    void send(const send_call& action);

private:
    struct state;
    std::unique_ptr<state> impl;
};

}  // namespace camphorstack
