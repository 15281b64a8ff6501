#pragma once

#include <memory>
#include <string>

#include "camphorstack/links/event_sink.hpp"

namespace camphorstack {

/// TCP links between hosts: length-prefixed FlatBuffers frames, after both sides have proved that they know the fleet's secret.
class peer_links {
public:
    /// Listens on `self.address`. Throws io_error if the address cannot be bound.
    peer_links(member self, std::string fleet_secret, event_sink sink);
    peer_links(const peer_links&) = delete;
    peer_links& operator=(const peer_links&) = delete;
    peer_links(peer_links&&) = delete;
    peer_links& operator=(peer_links&&) = delete;
    ~peer_links();

    /// Sends, opening a link if there is none. While a link is being opened messages wait in a bounded buffer; if it cannot be
    /// opened, each comes back as `peer_not_sent`. A broken link is reported as `peer_disconnected`.
    void send(const send_to_peer& action);

private:
    struct state;
    std::unique_ptr<state> impl;
};

}  // namespace camphorstack
