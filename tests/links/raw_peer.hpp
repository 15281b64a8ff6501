#pragma once

#include <netinet/in.h>

#include <span>
#include <string>
#include <vector>

#include "camphorstack/links/peer_handshake.hpp"
#include "links/raw_client.hpp"

/// Returns a frame of the peer protocol: a length of four bytes, then the payload.
inline std::string framed(std::span<const std::uint8_t> payload) {
    std::string bytes;
    for (int shift = 24; shift >= 0; shift -= 8) {
        bytes.push_back(static_cast<char>(payload.size() >> shift));
    }
    return bytes + std::string(payload.begin(), payload.end());
}

/// Removes the first frame from `bytes` and returns its payload. The frame must be complete.
inline std::vector<std::uint8_t> take_frame(std::string& bytes) {
    const auto length =
        static_cast<std::size_t>(static_cast<unsigned char>(bytes.at(2)) * 256 + static_cast<unsigned char>(bytes.at(3)));
    const std::string payload = bytes.substr(4, length);
    bytes.erase(0, 4 + length);
    return {payload.begin(), payload.end()};
}

/// Carries out the opener's part of the handshake with the given secret, up to and including the opener's proof.
inline void prove_as_opener(raw_client& client, const camphorstack::peer_hello& hello, const std::string& secret) {
    client.send(framed(camphorstack::encode_hello(hello)));
    if (!camphorstack::tests::run_until([&] {
            client.poll();
            return client.received.size() >= 4 + camphorstack::nonce_bytes;
        })) {
        throw std::runtime_error("the acceptor sent no challenge");
    }
    camphorstack::handshake_transcript transcript{hello, {}};
    const auto challenge = take_frame(client.received);
    std::copy(challenge.begin(), challenge.end(), transcript.challenge.begin());
    client.send(framed(make_proof(secret, camphorstack::proof_side::opener, transcript)));
}

/// Listening socket that accepts no connection unless `accept_peer` is called.
class raw_listener {
public:
    raw_listener() : socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
        sockaddr_in own{};
        own.sin_family = AF_INET;
        own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(own);
        if (bind(this->socket, reinterpret_cast<const sockaddr*>(&own), length) != 0 || listen(this->socket, 8) != 0 ||
            getsockname(this->socket, reinterpret_cast<sockaddr*>(&own), &length) != 0) {
            throw std::runtime_error("cannot listen on a loopback port");
        }
        this->address = "127.0.0.1:" + std::to_string(ntohs(own.sin_port));
    }
    raw_listener(const raw_listener&) = delete;
    raw_listener& operator=(const raw_listener&) = delete;
    raw_listener(raw_listener&&) = delete;
    raw_listener& operator=(raw_listener&&) = delete;
    ~raw_listener() { this->stop(); }

    /// Accepts one link and completes the acceptor's part of the handshake. Returns the connection, which is not read afterwards.
    int accept_peer(const std::string& secret) {
        int connection = -1;
        (void)camphorstack::tests::run_until(
            [&] { return (connection = accept4(this->socket, nullptr, nullptr, SOCK_NONBLOCK)) >= 0; });
        camphorstack::handshake_transcript transcript{camphorstack::decode_hello(read_frame(connection)),
                                                      camphorstack::make_nonce()};
        write_frame(connection, transcript.challenge);
        (void)read_frame(connection);
        write_frame(connection, make_proof(secret, camphorstack::proof_side::acceptor, transcript));
        return connection;
    }

    void stop() {
        if (this->socket >= 0) {
            close(this->socket);
            this->socket = -1;
        }
    }

    std::string address;

private:
    static std::vector<std::uint8_t> read_frame(int connection) {
        std::string bytes(1024, '\0');
        ssize_t count = -1;
        (void)camphorstack::tests::run_until(
            [&] { return (count = recv(connection, bytes.data(), bytes.size(), MSG_DONTWAIT)) > 0; });
        return take_frame(bytes);
    }
    static void write_frame(int connection, std::span<const std::uint8_t> payload) {
        const std::string bytes = framed(payload);
        (void)send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    int socket;
};
