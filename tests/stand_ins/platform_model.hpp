#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "camphorstack/hosts/platform_call.hpp"
#include "camphorstack/support/clock.hpp"

namespace camphorstack::stand_ins {

/// Maximum size of the value of an object, in bytes of JSON text.
constexpr std::size_t max_value_bytes = 1'000'000;

struct stored_object {
    std::uint64_t version = 0;  ///< 0 if the object does not exist.
    std::string value;          ///< JSON text.

    friend bool operator==(const stored_object&, const stored_object&) = default;
};

/// An entry in the platform's list of hosts.
struct listed_host {
    member subject;
    bool leaving = false;

    friend bool operator==(const listed_host&, const listed_host&) = default;
};

/// A watch that has not been answered, because its object has no version above the expected one.
struct pending_watch {
    std::uint64_t caller = 0;
    platform_call call;
    instant deadline;  ///< Time at which the watch is answered without a change.

    friend bool operator==(const pending_watch&, const pending_watch&) = default;
};

/// Model of the platform's object store and host list, without sockets. Code that uses the model simulates outages and lost
/// answers.
struct platform_model {
    std::map<std::string, stored_object> objects;
    std::vector<listed_host> hosts;  ///< Set by the test; may differ from the hosts that are live.
    std::vector<pending_watch> watches;
    millis watch_time{10000};                           ///< Time limit after which a watch is answered without a change.
    std::map<platform_operation, std::uint64_t> calls;  ///< Number of calls by operation; a pending watch counts once.
};

/// The answer to a pending watch.
struct watch_answer {
    std::uint64_t caller = 0;
    platform_answer answer;

    friend bool operator==(const watch_answer&, const watch_answer&) = default;
};

/// Runs a call. `caller` is an id chosen by the code that uses the model, to assign the answer of a watch to its caller. Returns
/// nothing for a watch that becomes pending; `due_watches` returns its answer later. The answer to a write of a value larger than
/// `max_value_bytes` is `unavailable`.
std::optional<platform_answer> run_call(platform_model& platform, std::uint64_t caller, const platform_call& call, instant now);

/// Removes the pending watches whose object has changed or whose deadline has passed, and returns their answers.
std::vector<watch_answer> due_watches(platform_model& platform, instant now);

/// Removes the pending watches of a caller that has closed its connection.
void remove_watches(platform_model& platform, std::uint64_t caller);

}  // namespace camphorstack::stand_ins
