#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "camphorstack/executors/run.hpp"
#include "camphorstack/workspaces/fair_lanes.hpp"

namespace camphorstack {

/// What is lost if a queued run is not served next. Lower ranks go first.
enum class run_rank : std::uint8_t {
    holds_connection,  ///< The run's transaction keeps a connection; or the run is the host's own and takes no slot.
    in_time,           ///< The run still meets its route's target if it is sent now.
    late,              ///< The route's target is missed. The run is served when nothing else waits.
};

inline constexpr std::array run_ranks{run_rank::holds_connection, run_rank::in_time, run_rank::late};

[[nodiscard]] const char* to_string(run_rank rank);

/// Runs of one turn are served before those of a greater one.
struct run_turn {
    run_rank rank = run_rank::in_time;
    int priority = 0;  ///< 0 is the highest.

    friend auto operator<=>(const run_turn&, const run_turn&) = default;  // NOLINT(modernize-use-nullptr)
};

/// Moving averages of the time that one statement takes in one slot, in milliseconds.
struct service_times {
    double all = 15;             ///< Of all kinds; used for kinds that have not been measured.
    std::optional<double> read;  ///< Empty until measured, as are the next two.
    std::optional<double> write;
    std::optional<double> commit;

    friend bool operator==(const service_times&, const service_times&) = default;
};

[[nodiscard]] double expected_service_ms(const service_times& times, run_kind kind);

/// Adds a measured time to the averages.
void record_service(service_times& times, run_kind kind, double service_ms);

/// Numbers of queued runs by kind.
struct run_counts {
    std::size_t reads = 0;
    std::size_t writes = 0;
    std::size_t commits = 0;

    friend bool operator==(const run_counts&, const run_counts&) = default;
};

/// Runs of one turn. Workspaces take turns; a workspace's runs follow each other by the time left to their targets.
struct turn_runs {
    fair_lanes<submitted_run> lanes;
    run_counts counts;
};

/// Slot time of runs that have arrived lately: a sum that decays with time.
struct recent_work {
    double work_ms = 0;
    instant updated;
};

/// Recent work by priority, as far as it was queued. Statements of open transactions count as of the highest priority.
struct arriving_work {
    std::map<int, recent_work> by_priority;
    std::map<std::pair<int, workspace_id>, recent_work> by_workspace;
};

/// Runs that wait for an endpoint.
struct run_queue {
    std::map<run_turn, turn_runs> turns;  ///< Holds no turn without runs.
    arriving_work arriving;
};

/// Returns when the run must be sent for its route's target to be met.
[[nodiscard]] instant start_by(const submitted_run& run);

[[nodiscard]] run_turn turn_of(const submitted_run& run, instant now);

void add_run(run_queue& queue, submitted_run run, const service_times& times, instant now);

/// Gives runs that have missed their targets the rank `late`. Returns their number.
std::size_t mark_late_runs(run_queue& queue, instant now);

using run_acceptor = std::function<bool(submitted_run&)>;

/// Removes the first run in the order of turns, among those of the ranks from `first` to `last`, that `accept` takes; `accept`
/// may move from it. False if none was taken.
bool take_run(run_queue& queue, run_rank first, run_rank last, const run_acceptor& accept);

/// Removes and returns the runs that match.
std::vector<submitted_run> withdraw_runs(run_queue& queue, const std::function<bool(const submitted_run&)>& matches);

[[nodiscard]] std::size_t count_runs(const run_queue& queue);
[[nodiscard]] std::size_t count_runs(const run_queue& queue, run_rank rank);

/// Returns when the run that has waited longest arrived; empty if none waits.
[[nodiscard]] std::optional<instant> oldest_arrival(const run_queue& queue);

/// Returns the slot time, in milliseconds, of the runs that would be served before `run` if it were added now: the queued ones
/// before it, and those that will overtake it if they arrive as they did lately.
[[nodiscard]] double work_ahead_ms(const run_queue& queue, const submitted_run& run, const service_times& times, int slots,
                                   instant now);

/// Returns the slot time, in milliseconds, of all queued runs that are not late.
[[nodiscard]] double queued_work_ms(const run_queue& queue, const service_times& times);

}  // namespace camphorstack
