#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "camphorstack/document/sections.hpp"
#include "camphorstack/hosts/platform_call.hpp"

namespace camphorstack {

enum class apply_outcome : std::uint8_t {
    accepted,
    conflict,     ///< The section changed since it was read; the change was not made.
    invalid,      ///< The document with the change has errors; the change was not made.
    unreachable,  ///< The platform did not answer, or other changes came first each time; the change was not made.
    unknown,      ///< The answer to a write was lost, and whether the change was made cannot be determined.
};

struct apply_result {
    apply_outcome outcome = apply_outcome::unreachable;
    document_version version = 0;  ///< Version at which the change was accepted, else 0.
    std::string text;              ///< Reason why the change was not accepted.

    friend bool operator==(const apply_result&, const apply_result&) = default;
};

/// Number of calls to the platform after which `apply` fails.
constexpr int max_apply_calls = 16;

/// Progress of one conditional update of the document.
struct apply_state {
    section_change change;
    std::optional<document_version> read_version;  ///< Section version given by the operator; if none, that of the first read.
    int calls = 0;
    platform_operation last_operation = platform_operation::read;
    document_version expected_version = 0;              ///< Document version that the last write expected.
    std::optional<document_version> unconfirmed_write;  ///< Document version that a write without an answer expected.
};

/// The next call to the platform, or the result.
using apply_action = std::variant<platform_call, apply_result>;

/// Starts an update and returns its first call.
[[nodiscard]] apply_action start_apply(apply_state& state);

/// Handles the answer to the last call and returns the next action. If the answer to a write was lost, reads the document again
/// and looks for the change's id, so that a change is neither made twice nor reported as failed although it took effect.
[[nodiscard]] apply_action continue_apply(apply_state& state, const platform_answer& answer);

}  // namespace camphorstack
