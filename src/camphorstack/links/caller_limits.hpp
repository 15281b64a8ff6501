#pragma once

#include <cstddef>

#include "camphorstack/support/clock.hpp"

namespace camphorstack {

/// What callers may use of a process. The defaults are far above what callers inside the protocol's limits need.
struct caller_limits {
    /// Memory that the process may use, in bytes; callers get what is left beside `memory_without_callers`.
    std::size_t memory_limit = std::size_t{512} * 1024 * 1024;
    /// Descriptors that the process may open; 0: what the system allows it.
    std::size_t descriptor_limit = 0;
    /// Connections that one address may have; 0: no limit, as all callers may come through few addresses.
    std::size_t connections_per_address = 0;
    /// Time from the connection to a complete START. Callers give up after 2 s.
    millis start_time{10000};
    /// Time from the first byte of a message to its end. At the limit of 1 MiB this is 35 KB/s.
    millis message_time{30000};
    /// A caller is closed if it takes no byte of its answer for this long.
    millis answer_time{30000};

    friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

}  // namespace camphorstack
