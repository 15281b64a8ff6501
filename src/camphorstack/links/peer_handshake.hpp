#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "camphorstack/support/ids.hpp"

namespace camphorstack {

/// Largest frame in bytes during the handshake, before both sides have proved that they know the secret.
constexpr std::size_t handshake_frame_limit = 1024;

constexpr std::size_t nonce_bytes = 32;
constexpr std::size_t proof_bytes = 32;  ///< Length of an HMAC-SHA256.

using handshake_nonce = std::array<std::uint8_t, nonce_bytes>;
using handshake_proof = std::array<std::uint8_t, proof_bytes>;

/// First frame of a link, sent by the host that opens it.
struct peer_hello {
    host_id from;
    host_id to;
    handshake_nonce nonce{};

    friend bool operator==(const peer_hello&, const peer_hello&) = default;
};

/// Throws format_error if an id is longer than 255 bytes.
[[nodiscard]] std::vector<std::uint8_t> encode_hello(const peer_hello& hello);
/// Throws format_error if the bytes are not a well-formed hello of this protocol version.
[[nodiscard]] peer_hello decode_hello(std::span<const std::uint8_t> frame);

/// Side of the link that a proof belongs to. A proof of one side is not valid for the other, which prevents a reflection attack.
enum class proof_side : std::uint8_t { opener, acceptor };

/// Handshake data that the proofs of both sides cover.
struct handshake_transcript {
    peer_hello hello;
    handshake_nonce challenge{};  ///< The acceptor's nonce.

    friend bool operator==(const handshake_transcript&, const handshake_transcript&) = default;
};

/// HMAC-SHA256 over the side, both nonces and both host ids.
[[nodiscard]] handshake_proof make_proof(const std::string& secret, proof_side side, const handshake_transcript& transcript);

/// Compares in constant time. Returns false if the frame has another length.
[[nodiscard]] bool proof_matches(const handshake_proof& expected, std::span<const std::uint8_t> frame);

/// Random bytes from the operating system. Throws io_error if the system call fails.
[[nodiscard]] handshake_nonce make_nonce();

}  // namespace camphorstack
