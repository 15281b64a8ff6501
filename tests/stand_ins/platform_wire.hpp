#pragma once

#include <string>
#include <vector>

#include "stand_ins/platform_model.hpp"

namespace camphorstack::stand_ins {

/// Faults that a test can simulate. They affect the object API and GET /hosts.
struct platform_faults {
    bool down = false;              ///< New calls do not run, and their connections are aborted.
    bool silent = false;            ///< Calls do not run and are not answered.
    millis call_delay;              ///< Delay before a call runs and is answered.
    bool lose_next_answer = false;  ///< The next call runs, but its connection is aborted instead of an answer.

    friend bool operator==(const platform_faults&, const platform_faults&) = default;
};

/// Parses {"down": bool, "silent": bool, "slow_ms": N, "lose_next_answer": bool}. Missing members are false or 0. Throws
/// format_error if the text is not a JSON object.
[[nodiscard]] platform_faults parse_faults(const std::string& text);

/// Parses {"hosts": [{"id", "address", "http_address", "data_centre", "state": "live"|"leaving"}]}. Throws format_error if the
/// text is not a JSON object with a list of objects in `hosts`.
[[nodiscard]] std::vector<listed_host> parse_hosts(const std::string& text);
/// Encodes hosts in the format that `parse_hosts` reads.
[[nodiscard]] std::string format_hosts(const std::vector<listed_host>& hosts);

/// Returns true if `text` is a single JSON value.
[[nodiscard]] bool is_json(const std::string& text);

}  // namespace camphorstack::stand_ins
