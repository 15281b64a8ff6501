#pragma once

#include <string>
#include <vector>

#include "stand_ins/platform_model.hpp"

namespace camphorstack::stand_ins {

/// Faults that tests switch on. They act on the object API and on GET /hosts.
struct platform_faults {
    bool down = false;              ///< Connections are cut before a call runs.
    bool silent = false;            ///< Calls get no answer and do not run.
    millis call_delay;              ///< Calls run and are answered this much later.
    bool lose_next_answer = false;  ///< The next call runs, then its connection is cut.

    friend bool operator==(const platform_faults&, const platform_faults&) = default;
};

/// {"down": bool, "silent": bool, "slow_ms": N, "lose_next_answer": bool}; what is missing is off. Throws format_error.
[[nodiscard]] platform_faults parse_faults(const std::string& text);

/// {"hosts": [{"id", "address", "http_address", "data_centre", "state": "live"|"leaving"}]}. Throws format_error.
[[nodiscard]] std::vector<listed_host> parse_hosts(const std::string& text);
[[nodiscard]] std::string format_hosts(const std::vector<listed_host>& hosts);

/// True for text that is one JSON value.
[[nodiscard]] bool is_json(const std::string& text);

}  // namespace camphorstack::stand_ins
