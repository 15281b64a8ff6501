#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "camphorstack/hosts/host_report.hpp"
#include "camphorstack/links/event_sink.hpp"
#include "camphorstack/support/metrics.hpp"

namespace camphorstack {

/// Callbacks behind the operators' pages, called on each request for a page, and the receiver of request metrics.
struct operator_callbacks {
    std::function<host_report()> report;                        ///< GET /v1/status and GET /v1/explain.
    std::function<std::string()> metrics;                       ///< GET /metrics, Prometheus text format.
    std::function<void(const request_sample&)> record_request;  ///< Called for each answer to a caller; may be empty.
};

/// Timeouts and limits of the server for callers.
struct caller_server_limits {
    millis request_timeout{10000};                ///< Limit for receiving a whole request, and for writing its whole answer.
    millis idle_timeout{60000};                   ///< A connection without a request is closed after this time.
    std::size_t max_connections = 16384;          ///< Connections open at the same time.
    std::size_t max_discarded_bytes = 4'000'000;  ///< A connection is aborted if a body is larger than this.

    friend bool operator==(const caller_server_limits&, const caller_server_limits&) = default;
};

/// HTTP/1.1 server for callers and operators, based on libsoup.
class caller_server {
public:
    /// Listens on `address`, "ip:port". Throws io_error if it cannot be bound.
    caller_server(const std::string& address, operator_callbacks callbacks, event_sink sink, caller_server_limits limits = {});
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;
    caller_server(caller_server&&) = delete;
    caller_server& operator=(caller_server&&) = delete;
    /// Closes all connections; no event follows. Must not be called from inside the sink.
    ~caller_server();

    /// Answers the open request with the reply's request number. A reply to a caller that has disconnected is dropped.
    void answer(const caller_reply& reply);
    /// Makes GET /health answer 503 from now on, so that the load balancer sends no new callers, and closes the connection after
    /// each answer.
    void leave_balancer();

    /// Listening address, "ip:port", with the port that the kernel chose if port 0 was requested.
    [[nodiscard]] std::string bound_address() const;
    /// Number of requests that were passed to the sink and whose answer is not yet written completely.
    [[nodiscard]] std::size_t open_requests() const;

private:
    struct state;
    std::unique_ptr<state> impl;
};

}  // namespace camphorstack
