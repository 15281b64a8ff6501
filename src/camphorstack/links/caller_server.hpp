#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "camphorstack/hosts/host_report.hpp"
#include "camphorstack/links/event_sink.hpp"
#include "camphorstack/support/metrics.hpp"

namespace camphorstack {

/// What the server shows to operators; asked on each request.
struct operator_callbacks {
    std::function<host_report()> report;                        ///< GET /v1/status and GET /v1/explain.
    std::function<std::string()> metrics;                       ///< GET /metrics, Prometheus text format.
    std::function<void(const request_sample&)> record_request;  ///< Told of each answer to a caller; may be empty.
};

/// Bounds of the server for callers.
struct caller_server_limits {
    millis request_timeout{10000};                ///< From the first byte of a request to its last, and the same for its answer.
    millis idle_timeout{60000};                   ///< Of a connection without a request.
    std::size_t connections = 16384;              ///< Open at the same time.
    std::size_t max_discarded_bytes = 4'000'000;  ///< Bytes of a too large body that are read before the connection is cut.

    friend bool operator==(const caller_server_limits&, const caller_server_limits&) = default;
};

/// HTTP/1.1 server for callers and operators, through libsoup.
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

    /// Answers the open request with the reply's ticket. A reply to a caller that has gone is dropped.
    void answer(const caller_reply& reply);
    /// From now on GET /health answers 503, so that the balancer sends no new callers, and answers close their connection.
    void leave_balancer();

    /// The address that is listened on, "ip:port", with the port that the kernel chose for port 0.
    [[nodiscard]] std::string bound_address() const;
    /// Requests that were handed to the sink and whose answer is not yet written completely.
    [[nodiscard]] std::size_t open_requests() const;

private:
    struct state;
    std::unique_ptr<state> impl;
};

}  // namespace camphorstack
