#include "camphorstack/usage/usage_counter.hpp"

#include <algorithm>
#include <utility>

namespace camphorstack {

namespace {

/// Most operations that wait for the fleet's time: some seconds of a busy host's.
constexpr std::size_t max_unassigned = 20000;

std::uint64_t count_unconfirmed(const std::map<workspace_id, counted_operations>& counts) {
    std::uint64_t sum = 0;
    for (const auto& [workspace, counted] : counts) {
        sum += counted.count - counted.confirmed;
    }
    return sum;
}

std::vector<window_counts> unconfirmed_counts(const usage_counter& counter) {
    std::vector<window_counts> windows;
    for (const auto& [window, counts] : counter.windows) {
        window_counts changed{window, {}};
        for (const auto& [workspace, counted] : counts) {
            if (counted.count > counted.confirmed) {
                changed.counts[workspace] = counted.count;
            }
        }
        if (!changed.counts.empty()) {
            windows.push_back(std::move(changed));
        }
    }
    return windows;
}

void confirm(usage_counter& counter, const usage_report& report) {
    for (const auto& [window, counts] : report.windows) {
        const auto known = counter.windows.find(window);
        if (known == counter.windows.end()) {
            continue;
        }
        for (const auto& [workspace, count] : counts) {
            auto& confirmed = known->second[workspace].confirmed;
            confirmed = std::max(confirmed, count);
        }
    }
}

}  // namespace

void note_coordinator(usage_counter& counter, fence_number fence) {
    if (fence == counter.confirmed_by) {
        return;
    }
    counter.confirmed_by = fence;
    counter.unconfirmed.reset();
    counter.next_report = instant{};
    for (auto& [window, counts] : counter.windows) {
        for (auto& [workspace, counted] : counts) {
            counted.confirmed = 0;
        }
    }
}

void count_operation(usage_counter& counter, const usage_settings& settings, const usage_clock& clock,
                     const started_operation& started) {
    const auto sent = fleet_time(clock, started.sent);
    if (!sent) {
        if (counter.unassigned.size() < max_unassigned) {
            counter.unassigned.push_back(started);
        } else {
            ++counter.uncounted;
        }
        return;
    }
    const auto window = window_at(settings, *sent);
    if (window <= counter.settled) {
        ++counter.uncounted;
        return;
    }
    ++counter.all_counted;
    ++counter.windows[window][started.workspace].count;
    if (counter.windows.size() > max_usage_windows) {
        counter.uncounted += count_unconfirmed(counter.windows.begin()->second);
        counter.windows.erase(counter.windows.begin());
    }
}

std::optional<usage_report> due_report(usage_counter& counter, const usage_settings& settings, const usage_clock& clock,
                                       bool at_once, instant now) {
    if ((now < counter.next_report && !at_once) || !clock.own_offset) {
        return std::nullopt;
    }
    const auto time = fleet_time(clock, now);
    if (time && !counter.unassigned.empty()) {
        for (const auto& started : std::exchange(counter.unassigned, {})) {
            count_operation(counter, settings, clock, started);
        }
    }
    auto windows = unconfirmed_counts(counter);
    const auto current = time ? window_at(settings, *time) : 0;
    // One report in each window shows that the host has no more counts of earlier ones.
    if (windows.empty() && time && current == counter.reported_at && !counter.unconfirmed) {
        return std::nullopt;
    }
    counter.next_report = now + settings.report_interval;
    counter.reported_at = current;
    counter.unconfirmed = usage_report{"", now, now.since_start + *clock.own_offset, time.value_or(0), std::move(windows)};
    return counter.unconfirmed;
}

void receive_receipt(usage_counter& counter, usage_clock& clock, const usage_receipt& receipt, instant now) {
    if (!counter.unconfirmed || counter.unconfirmed->sent != receipt.sent || receipt.fence != counter.confirmed_by) {
        return;
    }
    confirm(counter, *counter.unconfirmed);
    counter.unconfirmed.reset();
    drop_settled(counter, receipt.settled);
    if (receipt.agreed_ms != 0) {
        // The coordinator read its clock about halfway between the report and the receipt.
        adopt_time(clock, receipt.agreed_ms, receipt.sent + (now - receipt.sent) / 2);
    }
}

void drop_settled(usage_counter& counter, usage_window settled) {
    counter.settled = std::max(counter.settled, settled);
    while (!counter.windows.empty() && counter.windows.begin()->first <= counter.settled) {
        counter.uncounted += count_unconfirmed(counter.windows.begin()->second);
        counter.windows.erase(counter.windows.begin());
    }
}

}  // namespace camphorstack
