#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "camphorstack/links/event_sink.hpp"
#include "camphorstack/links/peer_link_counters.hpp"
#include "camphorstack/support/clock.hpp"

namespace camphorstack {

/// Timeouts and limits of the links to peers.
struct peer_link_limits {
    millis handshake_timeout{2000};        ///< Limit for connecting and authenticating both sides.
    millis idle_timeout{60000};            ///< An outgoing link that has sent nothing for this long is closed.
    millis incoming_idle_timeout{180000};  ///< An incoming link silent for this long ends as broken; its opener counts as failed.
    millis reply_window{2000};             ///< Replies use an incoming link that has delivered a message within this time.
    std::size_t max_waiting_messages = 1024;      ///< Messages buffered for one link that is being opened.
    std::size_t max_unauthenticated_links = 512;  ///< Incoming links in their handshake at the same time.

    friend bool operator==(const peer_link_limits&, const peer_link_limits&) = default;
};

/// TCP links between hosts. They carry length-prefixed FlatBuffers frames after both sides have proved that they know the fleet's
/// secret. Each direction has a link of its own, opened by the host that sends on it; replies may also use the link on which a
/// request has just arrived, since opening a link takes three round trips.
class peer_links {
public:
    /// Listens on `self.address`. Throws io_error if the address cannot be bound.
    peer_links(member self, std::string fleet_secret, event_sink sink, peer_link_limits limits = {});
    peer_links(const peer_links&) = delete;
    peer_links& operator=(const peer_links&) = delete;
    peer_links(peer_links&&) = delete;
    peer_links& operator=(peer_links&&) = delete;
    /// Closes all links; no event follows. Must not be called from inside the sink.
    ~peer_links();

    /// Sends a message, opening a link if there is none. Messages wait in a bounded buffer while the link is being opened. If it
    /// cannot be opened, each of them is reported as `peer_not_sent`, followed by one `peer_disconnected`. A broken link of
    /// either direction is reported as `peer_disconnected`; the announced end of an idle link is not reported. A message above
    /// the frame limit is reported as `peer_not_sent` without any effect on the link.
    void send(const send_to_peer& action);

    /// Listening address, "ip:port", with the port that the kernel chose if port 0 was requested.
    [[nodiscard]] std::string bound_address() const;
    [[nodiscard]] peer_link_counters counters() const;
    /// Number of links of both directions, including those in their handshake.
    [[nodiscard]] std::size_t open_links() const;

private:
    struct state;
    std::unique_ptr<state> impl;
};

}  // namespace camphorstack
