#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "camphorstack/hosts/peer_message.hpp"

namespace camphorstack {

/// Largest encoded message in bytes. A document of 1 MB fits, with room for the fields around it.
constexpr std::size_t peer_frame_limit = 1'500'000;

/// Version of the peer protocol; a frame of another version is rejected.
constexpr std::uint16_t peer_protocol_version = 1;

/// Serializes a message as the FlatBuffers table `Frame` of schemas/peer.fbs.
/// Throws format_error if the result is larger than `peer_frame_limit`.
[[nodiscard]] std::vector<std::uint8_t> encode(const peer_message& message);

/// Reads a frame. Throws format_error if the frame does not verify against the schema, has another protocol version, or holds an
/// enumeration value out of range, a negative age, amount or duration, or strings that share storage.
[[nodiscard]] peer_message decode(std::span<const std::uint8_t> frame);

}  // namespace camphorstack
