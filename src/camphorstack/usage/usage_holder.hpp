#pragma once

#include <optional>
#include <set>
#include <string>

#include "camphorstack/catalog/catalog.hpp"
#include "camphorstack/usage/usage_call.hpp"

namespace camphorstack {

// The holder of the usage duty is the coordinator. For each window, in order, it adds up the hosts' counts, writes them to the
// store under a condition, and only then sends them to the platform, until the platform answers. Whoever holds the duty next
// reads the record first and sends exactly the same counts, so that no window is ever sent with different counts.

enum class holder_step : std::uint8_t {
    reading,     ///< Reads the record in the store.
    collecting,  ///< Waits for the next window's end and the hosts' reports.
    writing,     ///< The record of the next window is being written.
    confirming,  ///< Waits until it is certain that this host is still the coordinator.
    sending,     ///< The call to the platform is in flight.
};

[[nodiscard]] const char* to_string(holder_step step);

struct usage_holder {
    /// Counts by window and by the process that reported them.
    std::map<usage_window, std::map<std::string, usage_counts>> reported;
    std::map<host_id, usage_window> heard;  ///< Newest window that each host had begun when it last reported.
    bool holds = false;
    holder_step step = holder_step::reading;
    instant step_began;
    instant not_before;           ///< The step is not taken earlier.
    millis retry{0};              ///< Wait after the last failure; 0 if there was none.
    window_counts record;         ///< In the store, or being written.
    store_revision revision = 0;  ///< Of the record in the store; 0 if there is none.
    usage_window settled = 0;     ///< The last window whose counts can't change any more.
    std::optional<std::uint64_t> pending_call;
    std::size_t hosts_counted = 0;  ///< Hosts that had reported when the record's window was closed.
    std::uint64_t sent = 0;         ///< Windows that the platform took, for the metrics.
    std::uint64_t late = 0;         ///< Of these, after the due time.
    std::uint64_t refused = 0;      ///< Windows that the platform refused.
    std::uint64_t skipped = 0;      ///< Windows of which no host has counts any more.
};

/// Takes or leaves the duty. Counts that hosts have reported are kept.
void set_holder(usage_holder& holder, bool holds, instant now);

/// Takes a host's counts.
void take_report(usage_holder& holder, const usage_settings& settings, const host_id& from, const usage_report& report);

/// Chooses the window that follows the record, and closes it if its hosts have reported or its time is up: the step is `writing`
/// then and `record` is the one to write. `unix_ms` is the fleet's time.
void close_due_window(usage_holder& holder, const usage_settings& settings, const std::set<host_id>& hosts, std::int64_t unix_ms,
                      instant now);

/// Takes the store's answer to the read or the write of the record. Throws format_error if the record cannot be read.
void receive_stored_record(usage_holder& holder, const usage_settings& settings, const catalog_answer& answer,
                           std::optional<std::int64_t> unix_ms, instant now);

/// Takes the platform's answer. Returns true if the record's window is done with.
bool receive_usage_status(usage_holder& holder, const usage_settings& settings, usage_status status, std::int64_t unix_ms,
                          instant now);

/// Repeats the step later, after a failure.
void retry_later(usage_holder& holder, const usage_settings& settings, holder_step step, instant now);

}  // namespace camphorstack
