#pragma once

#include <cstdint>

namespace camphorstack {

/// Reason why a link between two hosts ended.
enum class link_close_reason : std::uint8_t {
    idle,          ///< The opener announced that it closes the idle link.
    unreachable,   ///< No connection could be opened.
    broken,        ///< The connection failed or was closed without an announcement.
    garbage,       ///< Received bytes are no valid frame, or a message names another host as its sender.
    wrong_secret,  ///< The remote side's proof was wrong, or the remote side closed the link on this side's proof.
    timed_out,     ///< The handshake exceeded its time limit.
    overflow,      ///< The output buffer is full, because the remote side does not read fast enough.
};

[[nodiscard]] const char* to_string(link_close_reason cause);

}  // namespace camphorstack
