#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "camphorstack/hosts/peer_message.hpp"

namespace camphorstack {

/// Largest encoded message in bytes. A document of 1 MB fits with room for its frame.
constexpr std::size_t peer_frame_limit = 1'500'000;

/// Version of the peer protocol; a frame of another version is rejected.
constexpr std::uint16_t peer_protocol_version = 1;

/// Serializes a message as FlatBuffers table `Frame` of schemas/peer.fbs.
/// Throws format_error if the result is above `peer_frame_limit`.
[[nodiscard]] std::vector<std::uint8_t> encode(const peer_message& message);

/// Reads a frame. Throws format_error if it does not verify against the schema, is of another protocol version, or holds a value
/// outside its enumeration, a negative age, amount or duration, or strings that share storage.
[[nodiscard]] peer_message decode(std::span<const std::uint8_t> frame);

}  // namespace camphorstack
