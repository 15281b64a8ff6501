#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "camphorstack/hosts/peer_message.hpp"
#include "camphorstack/schemas/peer_generated.h"

namespace camphorstack {

/// Verifies one frame and converts it into a peer message. Every failure is reported as format_error.
class peer_frame_reader {
public:
    /// Verifies the frame. The bytes must outlive the reader.
    explicit peer_frame_reader(std::span<const std::uint8_t> frame);

    [[nodiscard]] peer_message read();

private:
    std::string text(const flatbuffers::String* value);
    member read_member(const wire::Member* table);
    std::vector<member_update> read_updates(const flatbuffers::Vector<flatbuffers::Offset<wire::MemberUpdate>>* tables);
    peer_body read_body();
    peer_body read(const wire::Probe& table);
    peer_body read(const wire::ProbeAnswer& table);
    peer_body read(const wire::MembersReply& table);
    peer_body read(const wire::ForwardRequest& table);
    peer_body read(const wire::ForwardReply& table);
    peer_body read(const wire::RunRequest& table);
    peer_body read(const wire::RunResult& table);
    peer_body read(const wire::MembershipReport& table);
    peer_body read(const wire::MembershipAnswer& table);
    peer_body read(const wire::CatalogReply& table);
    peer_body read(const wire::UsageReport& table);
    std::vector<std::string> texts(const flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>* values);

    /// Bytes of text that may still be read, initially the size of the frame. In a malicious frame many offsets may point to the
    /// same string, which would expand a small frame into a large message. Text of a valid frame is never longer than the frame.
    std::size_t text_budget = 0;
    const wire::Frame* root = nullptr;
};

}  // namespace camphorstack
