#include "camphorstack/executors/run_order.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <utility>

namespace camphorstack {

namespace {

/// Weight of the newest answer in the moving averages of the service times.
constexpr double newest_weight = 0.1;

/// Time constant of the work that has arrived lately: shorter than the usual targets, and some tens of statements.
constexpr double recent_work_ms = 300;
/// Highest part of the slots that overtaking runs are taken to use; a run behind them is served at last.
constexpr double max_overtaking = 0.95;

double decayed(const recent_work& recent, instant now) {
    return recent.work_ms * std::exp(-static_cast<double>((now - recent.updated).count) / recent_work_ms);
}

void add_work(recent_work& recent, double work_ms, instant now) {
    recent = {decayed(recent, now) + work_ms, now};
}

/// Returns the part of the slots that recent work used.
double part_of_slots(const recent_work& recent, int slots, instant now) {
    return decayed(recent, now) / recent_work_ms / std::max(1, slots);
}

void record_arrival(arriving_work& arriving, const submitted_run& run, const run_turn& turn, const service_times& times,
                    instant now) {
    const auto work = expected_service_ms(times, run.request.kind);
    const auto priority = turn.rank == run_rank::holds_connection ? std::numeric_limits<int>::min() : run.request.priority;
    if (turn.rank == run_rank::late || work <= 0) {
        return;
    }
    add_work(arriving.by_priority[priority], work, now);
    add_work(arriving.by_workspace[{priority, run.request.workspace}], work, now);
}

/// Returns the part of the slots that goes to runs of lower turns.
double part_before(const arriving_work& arriving, const run_turn& turn, int slots, instant now) {
    double sum = 0;
    for (const auto& [priority, recent] : arriving.by_priority) {
        if (turn.rank == run_rank::late || priority < turn.priority) {
            sum += part_of_slots(recent, slots, now);
        }
    }
    return std::min(sum, max_overtaking);
}

/// Returns the part of the slots that goes to runs of other workspaces and the same priority.
double part_of_others(const arriving_work& arriving, const submitted_run& run, int slots, instant now) {
    const auto all = arriving.by_priority.find(run.request.priority);
    if (all == arriving.by_priority.end()) {
        return 0;
    }
    const auto own = arriving.by_workspace.find({run.request.priority, run.request.workspace});
    const double own_part = own == arriving.by_workspace.end() ? 0 : part_of_slots(own->second, slots, now);
    return std::clamp(part_of_slots(all->second, slots, now) - own_part, 0.0, max_overtaking);
}

/// Null for a kind that takes no slot.
std::size_t* count_of(run_counts& counts, run_kind kind) {
    switch (kind) {
        case run_kind::read:
            return &counts.reads;
        case run_kind::write:
            return &counts.writes;
        case run_kind::commit:
            return &counts.commits;
        case run_kind::status:
        case run_kind::demote:
            return nullptr;
    }
    return nullptr;
}

void count_added(turn_runs& runs, run_kind kind) {
    if (auto* count = count_of(runs.counts, kind); count != nullptr) {
        ++*count;
    }
}

void count_removed(turn_runs& runs, run_kind kind) {
    if (auto* count = count_of(runs.counts, kind); count != nullptr) {
        --*count;
    }
}

double work_ms(const run_counts& counts, const service_times& times) {
    return static_cast<double>(counts.reads) * expected_service_ms(times, run_kind::read) +
           static_cast<double>(counts.writes) * expected_service_ms(times, run_kind::write) +
           static_cast<double>(counts.commits) * expected_service_ms(times, run_kind::commit);
}

std::size_t count_of_all(const turn_runs& runs) {
    std::size_t count = 0;
    for (const auto& [workspace, items] : runs.lanes.waiting) {
        count += items.size();
    }
    return count;
}

/// Returns the number of runs of the same turn that are served before `run`: the earlier ones of its workspace, and as many of
/// each other workspace as come round meanwhile, whether queued or still to arrive.
double count_before(const turn_runs& runs, const submitted_run& run, double others_part) {
    const auto own = runs.lanes.waiting.find(run.request.workspace);
    std::size_t earlier = 0;
    if (own != runs.lanes.waiting.end()) {
        const auto place = std::ranges::upper_bound(own->second, start_by(run), {}, start_by);
        earlier = static_cast<std::size_t>(std::distance(own->second.begin(), place));
    }
    std::size_t queued = earlier;
    std::size_t full_rounds = earlier;
    for (const auto& [workspace, items] : runs.lanes.waiting) {
        if (workspace != run.request.workspace) {
            queued += std::min(items.size(), earlier + 1);
            full_rounds += earlier + 1;
        }
    }
    const bool may_be_overtaken = earlier > 0;
    const auto before = static_cast<double>(queued) / (may_be_overtaken ? 1 - others_part : 1);
    return std::min(before, static_cast<double>(full_rounds));
}

void insert_run(run_queue& queue, submitted_run run, const run_turn& turn) {
    auto& runs = queue.turns[turn];
    count_added(runs, run.request.kind);
    auto& lane = lane_for(runs.lanes, run.request.workspace);
    lane.insert(std::ranges::upper_bound(lane, start_by(run), {}, start_by), std::move(run));
}

}  // namespace

const char* to_string(run_rank rank) {
    switch (rank) {
        case run_rank::holds_connection:
            return "holds_connection";
        case run_rank::in_time:
            return "in_time";
        case run_rank::late:
            return "late";
    }
    return "unknown";
}

double expected_service_ms(const service_times& times, run_kind kind) {
    switch (kind) {
        case run_kind::read:
            return times.read.value_or(times.all);
        case run_kind::write:
            return times.write.value_or(times.all);
        case run_kind::commit:
            return times.commit.value_or(times.all);
        case run_kind::status:
        case run_kind::demote:
            return 0;
    }
    return times.all;
}

void record_service(service_times& times, run_kind kind, double service_ms) {
    const auto add = [service_ms](double mean) { return mean + newest_weight * (service_ms - mean); };
    auto* mean = kind == run_kind::read ? &times.read : kind == run_kind::write ? &times.write : &times.commit;
    *mean = add(mean->value_or(times.all));
    times.all = add(times.all);
}

instant start_by(const submitted_run& run) {
    const auto target = run.request.start_target;
    return run.arrived + (target > millis{0} ? target : run.request.queue_timeout);
}

run_turn turn_of(const submitted_run& run, instant now) {
    if (continues_transaction(run.request) || is_administrative(run.request.kind)) {
        return {run_rank::holds_connection, 0};
    }
    return {now < start_by(run) ? run_rank::in_time : run_rank::late, run.request.priority};
}

void add_run(run_queue& queue, submitted_run run, const service_times& times, instant now) {
    const auto turn = turn_of(run, now);
    record_arrival(queue.arriving, run, turn, times, now);
    insert_run(queue, std::move(run), turn);
}

std::size_t mark_late_runs(run_queue& queue, instant now) {
    std::vector<submitted_run> missed;
    for (auto entry = queue.turns.begin(); entry != queue.turns.end();) {
        auto& [turn, runs] = *entry;
        if (turn.rank == run_rank::in_time) {
            for (auto& run : remove_matching(runs.lanes, [now](const submitted_run& one) { return start_by(one) <= now; })) {
                count_removed(runs, run.request.kind);
                missed.push_back(std::move(run));
            }
        }
        entry = runs.lanes.waiting.empty() ? queue.turns.erase(entry) : std::next(entry);
    }
    for (auto& run : missed) {
        const auto turn = turn_of(run, now);
        insert_run(queue, std::move(run), turn);
    }
    return missed.size();
}

bool take_run(run_queue& queue, run_rank first, run_rank last, const run_acceptor& accept) {
    for (auto entry = queue.turns.begin(); entry != queue.turns.end(); ++entry) {
        auto& [turn, runs] = *entry;
        if (turn.rank < first || turn.rank > last) {
            continue;
        }
        auto kind = run_kind::read;
        const bool taken = take_next(runs.lanes, [&](submitted_run& run) {
            kind = run.request.kind;
            return accept(run);
        });
        if (taken) {
            count_removed(runs, kind);
            if (runs.lanes.waiting.empty()) {
                queue.turns.erase(entry);
            }
            return true;
        }
    }
    return false;
}

std::vector<submitted_run> withdraw_runs(run_queue& queue, const std::function<bool(const submitted_run&)>& matches) {
    std::vector<submitted_run> withdrawn;
    for (auto entry = queue.turns.begin(); entry != queue.turns.end();) {
        auto& runs = entry->second;
        for (auto& run : remove_matching(runs.lanes, matches)) {
            count_removed(runs, run.request.kind);
            withdrawn.push_back(std::move(run));
        }
        entry = runs.lanes.waiting.empty() ? queue.turns.erase(entry) : std::next(entry);
    }
    return withdrawn;
}

std::size_t count_runs(const run_queue& queue) {
    std::size_t count = 0;
    for (const auto rank : run_ranks) {
        count += count_runs(queue, rank);
    }
    return count;
}

std::size_t count_runs(const run_queue& queue, run_rank rank) {
    std::size_t count = 0;
    for (const auto& [turn, runs] : queue.turns) {
        count += turn.rank == rank ? count_of_all(runs) : 0;
    }
    return count;
}

std::optional<instant> oldest_arrival(const run_queue& queue) {
    std::optional<instant> oldest;
    for (const auto& [turn, runs] : queue.turns) {
        for (const auto& [workspace, items] : runs.lanes.waiting) {
            for (const auto& run : items) {
                oldest = std::min(oldest.value_or(run.arrived), run.arrived);
            }
        }
    }
    return oldest;
}

double work_ahead_ms(const run_queue& queue, const submitted_run& run, const service_times& times, int slots, instant now) {
    const auto own = turn_of(run, now);
    double sum = 0;
    for (const auto& [turn, runs] : queue.turns) {
        if (turn > own) {
            break;
        }
        const double work = work_ms(runs.counts, times);
        if (const auto count = count_of_all(runs); turn == own && count > 0) {
            const double before = count_before(runs, run, part_of_others(queue.arriving, run, slots, now));
            sum += work * before / static_cast<double>(count);
        } else {
            sum += work;
        }
    }
    return sum / (1 - part_before(queue.arriving, own, slots, now));
}

double queued_work_ms(const run_queue& queue, const service_times& times) {
    double sum = 0;
    for (const auto& [turn, runs] : queue.turns) {
        sum += turn.rank == run_rank::late ? 0 : work_ms(runs.counts, times);
    }
    return sum;
}

}  // namespace camphorstack
