#pragma once

#include <libpq-fe.h>

#include <functional>
#include <memory>
#include <string>

#include "camphorstack/support/deferred_calls.hpp"
#include "camphorstack/support/fd_watcher.hpp"

namespace camphorstack {

struct pg_deleter {
    void operator()(PGconn* connection) const { PQfinish(connection); }
    void operator()(PGresult* result) const { PQclear(result); }
};
using pg_result = std::unique_ptr<PGresult, pg_deleter>;

/// Called from the main loop, never from inside a call into the connection. The connection may be destroyed in any of them.
struct pg_connection_events {
    std::function<void()> connected;
    std::function<void(const PGresult&)> answered;  ///< The only result of the query, with rows.
    std::function<void()> closed;  ///< Last event: connecting failed, the link broke or an answer was not usable.
};

/// One connection by the PostgreSQL protocol, through libpq without blocking. It carries one query at a time.
/// Anything that arrives outside of an answer closes it, so that a late answer never counts for a later query.
class pg_connection {
public:
    /// Starts to connect to `address`, "ip:port", as `user`. `watcher` must outlive the connection.
    pg_connection(const std::string& address, const std::string& user, fd_watcher& watcher, pg_connection_events events);
    pg_connection(const pg_connection&) = delete;
    pg_connection& operator=(const pg_connection&) = delete;
    pg_connection(pg_connection&&) = delete;
    pg_connection& operator=(pg_connection&&) = delete;
    ~pg_connection();

    /// Sends one simple query; `answered` or `closed` follows. On a connection that is not ready, `closed` follows.
    void send(const std::string& query);
    /// The text as an SQL literal. Throws format_error for text that is not UTF-8 or contains a null character.
    [[nodiscard]] std::string literal(const std::string& text) const;

private:
    enum class phase { connecting, idle, waiting, closed };

    void watch();
    void unwatch();
    void on_ready(fd_readiness readiness);
    void poll_connecting();
    void read_answer();
    void finish_answer();
    void fail();
    void fail_later();

    fd_watcher& watcher;
    std::shared_ptr<const pg_connection_events> events;
    std::unique_ptr<PGconn, pg_deleter> connection;
    PostgresPollingStatusType polling_status = PGRES_POLLING_WRITING;
    phase current = phase::connecting;
    pg_result rows;  ///< Of the answer that is being read.
    int watched_descriptor = -1;
    deferred_calls deferred;
};

}  // namespace camphorstack
