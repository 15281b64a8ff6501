#pragma once

#include <string>
#include <vector>

#include "camphorstack/catalog/fleet_record.hpp"
#include "camphorstack/usage/usage_window.hpp"

namespace camphorstack {

/// Counts of one usage window. They are totals of the sender's process, so that a repeat changes nothing.
struct window_counts {
    usage_window window = 0;
    usage_counts counts;

    friend bool operator==(const window_counts&, const window_counts&) = default;
};

/// Sent by each host to the coordinator: the counts that the coordinator has not confirmed yet.
struct usage_report {
    std::string nonce;           ///< Identifies the sender's process.
    instant sent;                ///< By the sender's clock; echoed in the receipt.
    std::int64_t clock_ms = 0;   ///< Sender's wall clock, in milliseconds since the start of 1970.
    std::int64_t agreed_ms = 0;  ///< The fleet's time as the sender knows it; 0 if it does not know it.
    std::vector<window_counts> windows;

    friend bool operator==(const usage_report&, const usage_report&) = default;
};

/// The coordinator's answer to a usage report.
struct usage_receipt {
    fence_number fence = 0;      ///< Of the coordinator.
    instant sent;                ///< Of the report, by its sender's clock.
    usage_window settled = 0;    ///< No count of this window or an earlier one can change any more.
    std::int64_t agreed_ms = 0;  ///< The fleet's time; 0 if the coordinator does not know it yet.

    friend bool operator==(const usage_receipt&, const usage_receipt&) = default;
};

}  // namespace camphorstack
