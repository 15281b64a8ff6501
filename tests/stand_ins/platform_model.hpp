#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "camphorstack/hosts/platform_call.hpp"
#include "camphorstack/support/clock.hpp"

namespace camphorstack::stand_ins {

/// Largest value that an object may have, in bytes of JSON text.
constexpr std::size_t max_value_bytes = 1'000'000;

struct stored_object {
    std::uint64_t version = 0;
    std::string value;  ///< JSON.

    friend bool operator==(const stored_object&, const stored_object&) = default;
};

/// A host in the platform's list.
struct listed_host {
    member subject;
    bool leaving = false;

    friend bool operator==(const listed_host&, const listed_host&) = default;
};

/// A watch whose object has not yet passed the expected version.
struct pending_watch {
    std::uint64_t caller = 0;
    platform_call call;
    instant deadline;

    friend bool operator==(const pending_watch&, const pending_watch&) = default;
};

/// The platform's object store and host list without its sockets. Outages and lost answers are made by its user.
struct platform_model {
    std::map<std::string, stored_object> objects;
    std::vector<listed_host> hosts;  ///< May lag behind the live hosts, as the test decides.
    std::vector<pending_watch> watches;
    millis watch_time{10000};                           ///< A watch without a change is answered after this time.
    std::map<platform_operation, std::uint64_t> calls;  ///< Calls by kind; each pending watch counts once.
};

/// An answer to a watch that had been kept open.
struct watch_answer {
    std::uint64_t caller = 0;
    platform_answer answer;

    friend bool operator==(const watch_answer&, const watch_answer&) = default;
};

/// Runs one call. `caller` is the user's own number for where the answer goes. No answer for a watch that is kept open;
/// `due_watches` returns it later. A value above `max_value_bytes` is answered with `unavailable`.
std::optional<platform_answer> run_call(platform_model& platform, std::uint64_t caller, const platform_call& call, instant now);

/// Removes and answers the watches whose object has changed or whose time is over.
std::vector<watch_answer> due_watches(platform_model& platform, instant now);

/// Removes the open watches of a caller that has gone.
void remove_watches(platform_model& platform, std::uint64_t caller);

}  // namespace camphorstack::stand_ins
