#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>

#include "camphorstack/links/frame_socket.hpp"
#include "camphorstack/links/link_close_reason.hpp"
#include "camphorstack/links/peer_codec.hpp"
#include "camphorstack/links/peer_handshake.hpp"

namespace camphorstack {

/// Messages run only from the opener to the acceptor, so either side closes a link without losing messages of the other.
enum class link_direction : std::uint8_t { outgoing, incoming };

/// One link: the handshake, then messages. The handshake, after which the opener knows that the acceptor has accepted it:
///   opener -> acceptor  hello: version, both ids, nonce
///   acceptor -> opener  nonce
///   opener -> acceptor  proof of the opener
///   acceptor -> opener  proof of the acceptor
/// A frame without payload announces that the opener closes an idle link.
class peer_link {
public:
    struct callbacks {
        std::function<void(peer_link&)> ready;
        std::function<void(peer_link&, peer_message)> received;
        std::function<void(peer_link&, link_close_reason)> ended;  ///< Called at most once, and not after `close`.
    };

    /// `peer` is the host to reach; empty for an incoming link. `self` and `secret` must outlive the link.
    peer_link(link_direction message_direction, const host_id& own_id, const std::string& fleet_secret, host_id other,
              callbacks target);

    /// Starts the handshake. Throws io_error if the socket cannot be watched.
    void start(fd_watcher& watcher, g_pointer<GSocketConnection> connection);
    /// Sends an encoded message on a ready link. False if the output limit would be exceeded.
    [[nodiscard]] bool send(std::span<const std::uint8_t> message);
    /// Announces the end of an idle link and closes it.
    void close_idle();
    /// No callback follows.
    void close();
    /// Closes the link and reports why.
    void end(link_close_reason cause);

    [[nodiscard]] link_direction direction() const { return this->message_direction; }
    [[nodiscard]] const host_id& peer_id() const { return this->peer; }
    [[nodiscard]] bool is_ready() const { return this->phase == link_phase::ready; }
    [[nodiscard]] bool is_ended() const { return this->phase == link_phase::ended; }

private:
    enum class link_phase : std::uint8_t {
        connecting,
        await_hello,
        await_challenge,
        await_opener_proof,
        await_acceptor_proof,
        ready,
        ended
    };

    void on_frame(std::span<const std::uint8_t> frame);
    void on_socket_closed(socket_close_reason cause);
    void on_hello(std::span<const std::uint8_t> frame);
    void on_challenge(std::span<const std::uint8_t> frame);
    void on_opener_proof(std::span<const std::uint8_t> frame);
    void on_acceptor_proof(std::span<const std::uint8_t> frame);
    void on_message(std::span<const std::uint8_t> frame);
    void become_ready();
    void send_frame(std::span<const std::uint8_t> frame);

    link_direction message_direction;
    const host_id& self;
    const std::string& secret;
    host_id peer;
    callbacks notify;
    link_phase phase = link_phase::connecting;
    handshake_transcript transcript;
    std::unique_ptr<frame_socket> socket;
};

}  // namespace camphorstack
