#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "camphorstack/links/event_sink.hpp"
#include "camphorstack/links/peer_link_counters.hpp"
#include "camphorstack/support/clock.hpp"

namespace camphorstack {

/// Bounds of the links to peers.
struct peer_link_limits {
    millis handshake_timeout{2000};           ///< From the first attempt to connect until both sides have proved the secret.
    millis idle_timeout{60000};               ///< An outgoing link that sent nothing for this long is closed.
    millis incoming_idle_timeout{180000};     ///< An incoming link that is silent for this long belongs to a host that is gone.
    std::size_t max_waiting_messages = 1024;  ///< Waiting for one link that is being opened.
    std::size_t max_unauthenticated_links = 512;  ///< Incoming links at the same time that have not proved the secret yet.

    friend bool operator==(const peer_link_limits&, const peer_link_limits&) = default;
};

/// TCP links between hosts: length-prefixed FlatBuffers frames, after both sides have proved that they know the fleet's secret.
/// There is one link for each direction, opened by the host that sends on it.
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

    /// Sends, opening a link if there is none. While a link is being opened messages wait in a bounded buffer; if it cannot be
    /// opened, each comes back as `peer_not_sent`, followed by `peer_disconnected`. A broken link, of either direction, is
    /// reported as `peer_disconnected`; the orderly end of an idle link is not reported.
    void send(const send_to_peer& action);

    /// The address that is listened on, "ip:port", with the port that the kernel chose for port 0.
    [[nodiscard]] std::string bound_address() const;
    [[nodiscard]] peer_link_counters counters() const;
    /// Links that are open now, of both directions, with those in their handshake.
    [[nodiscard]] std::size_t open_links() const;

private:
    struct state;
    std::unique_ptr<state> impl;
};

}  // namespace camphorstack
