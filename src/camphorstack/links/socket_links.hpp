#pragma once

#include <functional>

#include "camphorstack/hosts/host_task.hpp"
#include "camphorstack/links/caller_server.hpp"
#include "camphorstack/links/endpoint_links.hpp"
#include "camphorstack/links/peer_links.hpp"
#include "camphorstack/links/platform_link.hpp"
#include "camphorstack/settings/daemon_settings.hpp"

namespace camphorstack {

/// The links of a running host over real sockets.
class socket_links final : public host_links {
public:
    /// Opens the listening sockets. Throws io_error.
    socket_links(const daemon_settings& settings, const event_sink& sink, std::function<host_report()> report);

    void carry_out(const host_action& action) override;
    void leave_balancer() override;
    [[nodiscard]] bool is_drained() const override;

private:
    [[nodiscard]] operator_callbacks make_operator_callbacks(std::function<host_report()> report);
    [[nodiscard]] std::string render_metrics() const;

    request_metrics metrics;
    peer_links peers;
    endpoint_links endpoints;
    platform_link platform;
    caller_server callers;
};

}  // namespace camphorstack
