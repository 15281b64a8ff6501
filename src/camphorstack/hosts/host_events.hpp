#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "camphorstack/endpoints/group_actions.hpp"
#include "camphorstack/hosts/caller.hpp"
#include "camphorstack/hosts/peer_message.hpp"
#include "camphorstack/hosts/platform_call.hpp"

namespace camphorstack {

/// Sent by a timer: about every 5 ms by `host_task`, at the time of `next_tick` by `session_host_task`.
struct tick {
    friend bool operator==(const tick&, const tick&) = default;
};

/// The connection to a peer is usable.
struct peer_connected {
    host_id peer;

    friend bool operator==(const peer_connected&, const peer_connected&) = default;
};

/// The connection to a peer was lost or could not be opened. Messages sent on it may or may not have arrived.
struct peer_disconnected {
    host_id peer;

    friend bool operator==(const peer_disconnected&, const peer_disconnected&) = default;
};

enum class not_sent_cause : std::uint8_t {
    unreachable,  ///< The peer is not connected or does not read.
    too_large,    ///< The message is above the frame limit. The link to the peer is not affected.
};

/// A message was certainly not sent.
struct peer_not_sent {
    host_id peer;
    peer_body body;
    not_sent_cause cause = not_sent_cause::unreachable;

    friend bool operator==(const peer_not_sent&, const peer_not_sent&) = default;
};

struct endpoint_connected {
    connection_id connection = 0;

    friend bool operator==(const endpoint_connected&, const endpoint_connected&) = default;
};

struct endpoint_closed {
    connection_id connection = 0;

    friend bool operator==(const endpoint_closed&, const endpoint_closed&) = default;
};

struct endpoint_answered {
    connection_id connection = 0;
    endpoint_answer answer;

    friend bool operator==(const endpoint_answered&, const endpoint_answered&) = default;
};

/// Requests a graceful stop: the host leaves the fleet, finishes the requests in flight, then emits `host_stopped`.
struct stop_requested {
    friend bool operator==(const stop_requested&, const stop_requested&) = default;
};

using host_event = std::variant<tick, caller_request, peer_message, peer_connected, peer_disconnected, peer_not_sent,
                                endpoint_connected, endpoint_closed, endpoint_answered, platform_answer, stop_requested>;

/// Sends a message to one peer; `address` is the "ip:port" of its peer port.
struct send_to_peer {
    host_id peer;
    std::string address;
    peer_message message;

    friend bool operator==(const send_to_peer&, const send_to_peer&) = default;
};

/// The process may end: the host has left the fleet and no request is in flight. A session host may also stop with work in
/// flight, when its grace period is almost over.
struct host_stopped {
    friend bool operator==(const host_stopped&, const host_stopped&) = default;
};

using host_action = std::variant<caller_reply, send_to_peer, open_connection, close_connection, send_call, platform_call,
                                 decision_record, host_stopped>;
using host_actions = std::vector<host_action>;

}  // namespace camphorstack
