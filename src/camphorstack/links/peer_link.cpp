#include "camphorstack/links/peer_link.hpp"

#include <algorithm>
#include <utility>

#include "camphorstack/support/errors.hpp"

namespace camphorstack {

peer_link::peer_link(link_direction direction, const host_id& own_id, const std::string& fleet_secret, host_id other,
                     callbacks target)
    : message_direction(direction), self(own_id), secret(fleet_secret), peer(std::move(other)), notify(std::move(target)) {}

void peer_link::start(fd_watcher& watcher, g_pointer<GSocketConnection> connection) {
    frame_socket::callbacks calls;
    calls.frame = [this](std::span<const std::uint8_t> frame) { this->on_frame(frame); };
    calls.closed = [this](socket_close_reason cause) { this->on_socket_closed(cause); };
    this->socket = std::make_unique<frame_socket>(watcher, std::move(connection), handshake_frame_limit, std::move(calls));
    if (this->message_direction == link_direction::incoming) {
        this->phase = link_phase::await_hello;
        return;
    }
    this->phase = link_phase::await_challenge;
    this->transcript.hello = {this->self, this->peer, make_nonce()};
    this->send_frame(encode_hello(this->transcript.hello));
}

bool peer_link::send(std::span<const std::uint8_t> message) {
    if (!this->socket->append(message)) {
        return false;
    }
    this->socket->flush();
    return true;
}

void peer_link::close_idle() {
    this->send_frame({});
    this->close();
}

void peer_link::close() {
    this->phase = link_phase::ended;
    if (this->socket) {
        this->socket->close();
    }
}

void peer_link::end(link_close_reason cause) {
    if (this->phase != link_phase::ended) {
        this->close();
        this->notify.ended(*this, cause);
    }
}

void peer_link::on_frame(std::span<const std::uint8_t> frame) {
    try {
        switch (this->phase) {
            case link_phase::await_hello:
                return this->on_hello(frame);
            case link_phase::await_challenge:
                return this->on_challenge(frame);
            case link_phase::await_opener_proof:
                return this->on_opener_proof(frame);
            case link_phase::await_acceptor_proof:
                return this->on_acceptor_proof(frame);
            case link_phase::ready:
                return this->on_message(frame);
            case link_phase::connecting:
            case link_phase::ended:
                return;
        }
    } catch (const format_error&) {
        this->end(link_close_reason::garbage);
    }
}

void peer_link::on_socket_closed(socket_close_reason cause) {
    if (cause == socket_close_reason::oversized) {
        this->end(link_close_reason::garbage);
    } else if (this->phase == link_phase::await_acceptor_proof) {
        // An acceptor that closes the connection on receiving this side's proof has another secret.
        this->end(cause == socket_close_reason::closed ? link_close_reason::wrong_secret : link_close_reason::broken);
    } else {
        this->end(link_close_reason::broken);
    }
}

void peer_link::on_hello(std::span<const std::uint8_t> frame) {
    this->transcript.hello = decode_hello(frame);
    if (this->transcript.hello.to != this->self || this->transcript.hello.from.empty()) {
        throw format_error("peer hello is addressed to another host or has no sender");
    }
    this->peer = this->transcript.hello.from;
    this->transcript.challenge = make_nonce();
    this->phase = link_phase::await_opener_proof;
    this->send_frame(this->transcript.challenge);
}

void peer_link::on_challenge(std::span<const std::uint8_t> frame) {
    if (frame.size() != nonce_bytes) {
        throw format_error("peer challenge has the wrong length");
    }
    std::ranges::copy(frame, this->transcript.challenge.begin());
    this->phase = link_phase::await_acceptor_proof;
    this->send_frame(make_proof(this->secret, proof_side::opener, this->transcript));
}

void peer_link::on_opener_proof(std::span<const std::uint8_t> frame) {
    if (!proof_matches(make_proof(this->secret, proof_side::opener, this->transcript), frame)) {
        this->end(link_close_reason::wrong_secret);
        return;
    }
    this->send_frame(make_proof(this->secret, proof_side::acceptor, this->transcript));
    this->become_ready();
}

void peer_link::on_acceptor_proof(std::span<const std::uint8_t> frame) {
    if (!proof_matches(make_proof(this->secret, proof_side::acceptor, this->transcript), frame)) {
        this->end(link_close_reason::wrong_secret);
        return;
    }
    this->become_ready();
}

void peer_link::on_message(std::span<const std::uint8_t> frame) {
    if (frame.empty()) {
        if (this->message_direction == link_direction::outgoing) {
            throw format_error("the acceptor of a link announces its idle end");
        }
        this->end(link_close_reason::idle);
        return;
    }
    peer_message message = decode(frame);
    if (message.from != this->peer) {
        throw format_error("message names another host as its sender");
    }
    this->notify.received(*this, std::move(message));
}

void peer_link::become_ready() {
    this->phase = link_phase::ready;
    this->socket->set_frame_limit(peer_frame_limit);
    this->notify.ready(*this);
}

void peer_link::send_frame(std::span<const std::uint8_t> frame) {
    if (this->socket && this->socket->append(frame)) {
        this->socket->flush();
    }
}

}  // namespace camphorstack
