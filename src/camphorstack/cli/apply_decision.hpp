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
    unknown,      ///< An answer was lost and whether the change was made cannot be found out.
};

struct apply_result {
    apply_outcome outcome = apply_outcome::unreachable;
    document_version version = 0;  ///< At which the change was accepted.
    std::string text;              ///< Why it was not accepted.

    friend bool operator==(const apply_result&, const apply_result&) = default;
};

/// Calls to the platform after which `apply` gives up.
constexpr int max_apply_calls = 16;

/// Progress of one conditional update of the document.
struct apply_state {
    section_change change;
    std::optional<document_version> read_version;  ///< Version that the operator read; the first one seen if not given.
    int calls = 0;
    platform_operation last_operation = platform_operation::read;
    document_version expected_version = 0;              ///< Of the last write.
    std::optional<document_version> unconfirmed_write;  ///< Expected version of a write whose answer was lost.
};

/// The next call to the platform, or the result.
using apply_action = std::variant<platform_call, apply_result>;

/// First call of an update.
[[nodiscard]] apply_action start_apply(apply_state& state);

/// Takes the answer to the last call. A lost answer to a write is settled by reading the document again and looking for
/// the change's id, so that a change is neither made twice nor reported as failed when it took effect.
[[nodiscard]] apply_action continue_apply(apply_state& state, const platform_answer& answer);

}  // namespace camphorstack
