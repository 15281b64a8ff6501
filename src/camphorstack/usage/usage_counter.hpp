#pragma once

#include <optional>
#include <vector>

#include "camphorstack/usage/usage_clock.hpp"
#include "camphorstack/usage/usage_messages.hpp"

namespace camphorstack {

/// An operation of a workspace that an endpoint has run, or may have run: a statement, or a transaction by its first one.
struct started_operation {
    workspace_id workspace;
    instant sent;  ///< When it was sent to the endpoint.

    friend bool operator==(const started_operation&, const started_operation&) = default;
};

/// A workspace's operations in one window.
struct counted_operations {
    std::uint64_t count = 0;
    std::uint64_t confirmed = 0;  ///< As far as the coordinator has confirmed them.
};

/// One host's counts for the usage reports.
struct usage_counter {
    std::map<usage_window, std::map<workspace_id, counted_operations>> windows;  ///< That are not settled.
    std::vector<started_operation> unassigned;                                   ///< Counted once the fleet's time is known.
    usage_window settled = 0;
    fence_number confirmed_by = 0;            ///< Fence of the coordinator that confirms the counts.
    std::optional<usage_report> unconfirmed;  ///< The last report, without a receipt.
    instant next_report;
    usage_window reported_at = 0;   ///< Window in which the last report was sent.
    std::uint64_t uncounted = 0;    ///< Statements that came too late for their window, for the metrics.
    std::uint64_t all_counted = 0;  ///< Statements counted, for the metrics.
};

/// Counts an operation in the window in which it was sent.
void count_operation(usage_counter& counter, const usage_settings& settings, const usage_clock& clock,
                     const started_operation& started);

/// Returns the report to send now; nothing if none is due. `at_once`: whatever is not confirmed is due.
[[nodiscard]] std::optional<usage_report> due_report(usage_counter& counter, const usage_settings& settings,
                                                     const usage_clock& clock, bool at_once, instant now);

/// Notes the fence of the present coordinator. A new one has no counts yet, so all are sent again, at once.
void note_coordinator(usage_counter& counter, fence_number fence);

/// Takes the receipt of the present coordinator.
void receive_receipt(usage_counter& counter, usage_clock& clock, const usage_receipt& receipt, instant now);

/// Drops the counts of settled windows.
void drop_settled(usage_counter& counter, usage_window settled);

}  // namespace camphorstack
