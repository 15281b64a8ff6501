#pragma once

#include <cstdint>

namespace camphorstack {

/// Why a link ended.
enum class link_close_reason : std::uint8_t {
    idle,          ///< The opener announced that it closes an unused link.
    unreachable,   ///< No connection could be opened.
    broken,        ///< The connection failed or was closed without announcement.
    garbage,       ///< Bytes that are no valid frame, or a message in another host's name.
    wrong_secret,  ///< The other side does not know the fleet's secret, or closed the link when it saw our proof.
    timed_out,     ///< The handshake took too long.
    overflow,      ///< The other side does not read fast enough.
};

[[nodiscard]] const char* to_string(link_close_reason cause);

}  // namespace camphorstack
