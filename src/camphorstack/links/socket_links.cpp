#include "camphorstack/links/socket_links.hpp"

#include <sstream>
#include <utility>

namespace camphorstack {

namespace {

/// Hands each action to the link that carries it out.
struct action_dispatch {
    peer_links& peers;
    endpoint_links& endpoints;
    platform_link& platform;
    caller_server& callers;

    void operator()(const caller_reply& action) const { this->callers.answer(action); }
    void operator()(const send_to_peer& action) const { this->peers.send(action); }
    void operator()(const open_connection& action) const { this->endpoints.open(action); }
    void operator()(const close_connection& action) const { this->endpoints.close(action.connection); }
    void operator()(const send_call& action) const { this->endpoints.send(action); }
    void operator()(const platform_call& action) const { this->platform.call(action); }
    // The task itself logs records and stops.
    void operator()(const decision_record& /*action*/) const {}
    void operator()(const host_stopped& /*action*/) const {}
};

}  // namespace

socket_links::socket_links(const daemon_settings& settings, const event_sink& sink, std::function<host_report()> report)
    : peers(settings.host.self, settings.fleet_secret, sink),
      endpoints(sink),
      platform(settings.platform_address, settings.host.platform_timeout, sink),
      callers(settings.host.self.http_address, this->make_operator_callbacks(std::move(report)), sink) {}

void socket_links::carry_out(const host_action& action) {
    std::visit(action_dispatch{this->peers, this->endpoints, this->platform, this->callers}, action);
}

void socket_links::leave_balancer() {
    this->callers.leave_balancer();
}

bool socket_links::is_drained() const {
    return this->callers.open_requests() == 0;
}

operator_callbacks socket_links::make_operator_callbacks(std::function<host_report()> report) {
    return {std::move(report), [this]() { return this->render_metrics(); },
            [this](const request_sample& sample) { this->metrics.record(sample); }};
}

std::string socket_links::render_metrics() const {
    const peer_link_counters counts = this->peers.counters();
    std::ostringstream out;
    out << this->metrics.render();
    out << "# HELP camphorstack_peer_links_total Links to peers, by what became of them.\n"
        << "# TYPE camphorstack_peer_links_total counter\n";
    const auto line = [&out](const char* event, std::uint64_t count) {
        out << "camphorstack_peer_links_total{event=\"" << event << "\"} " << count << '\n';
    };
    line("opened", counts.opened);
    line("accepted", counts.accepted);
    line("idle", counts.idle_closed);
    line("unreachable", counts.unreachable);
    line("broken", counts.broken);
    line("garbage", counts.garbage);
    line("wrong_secret", counts.wrong_secret);
    line("timed_out", counts.timed_out);
    line("overflow", counts.overflowed);
    line("turned_away", counts.turned_away);
    out << "# HELP camphorstack_peer_messages_sent_total Messages sent to peers.\n"
        << "# TYPE camphorstack_peer_messages_sent_total counter\n"
        << "camphorstack_peer_messages_sent_total " << counts.messages_sent << '\n'
        << "# HELP camphorstack_peer_bytes_sent_total Bytes of the frames sent to peers.\n"
        << "# TYPE camphorstack_peer_bytes_sent_total counter\n"
        << "camphorstack_peer_bytes_sent_total " << counts.bytes_sent << '\n';
    return out.str();
}

}  // namespace camphorstack
