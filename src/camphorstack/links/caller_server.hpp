#pragma once

#include <functional>
#include <memory>
#include <string>

#include "camphorstack/hosts/host_report.hpp"
#include "camphorstack/links/event_sink.hpp"

namespace camphorstack {

/// What the server shows to operators; asked on each request.
struct operator_pages {
    std::function<host_report()> report;   ///< GET /v1/status and GET /v1/explain.
    std::function<std::string()> metrics;  ///< GET /metrics, Prometheus text format.
};

/// HTTP/1.1 server for callers and operators, through libsoup.
class caller_server {
public:
    /// Listens on `address`, "ip:port". Throws io_error if it cannot be bound.
    caller_server(const std::string& address, operator_pages pages, event_sink sink);
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;
    caller_server(caller_server&&) = delete;
    caller_server& operator=(caller_server&&) = delete;
    ~caller_server();

    /// Answers the open request with the reply's ticket.
    void answer(const caller_reply& reply);
    /// From now on GET /health answers 503, so that the balancer sends no new callers.
    void leave_balancer();

private:
    struct state;
    std::unique_ptr<state> impl;
};

}  // namespace camphorstack
