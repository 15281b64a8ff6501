#include "camphorstack/usage/usage_holder.hpp"

#include <algorithm>
#include <utility>

#include "camphorstack/usage/usage_record.hpp"

namespace camphorstack {

namespace {

constexpr std::int64_t percent = 100;

void enter_step(usage_holder& holder, holder_step step, instant now) {
    holder.step = step;
    holder.step_began = now;
}

usage_counts add_up(const usage_holder& holder, usage_window window) {
    usage_counts total;
    const auto found = holder.reported.find(window);
    if (found != holder.reported.end()) {
        for (const auto& [process, counts] : found->second) {
            for (const auto& [workspace, count] : counts) {
                total[workspace] += count;
            }
        }
    }
    return total;
}

void settle(usage_holder& holder, usage_window window) {
    holder.settled = std::max(holder.settled, window);
    while (!holder.reported.empty() && holder.reported.begin()->first <= holder.settled) {
        holder.reported.erase(holder.reported.begin());
    }
}

std::size_t count_heard(const usage_holder& holder, const std::set<host_id>& hosts, usage_window window) {
    return static_cast<std::size_t>(std::ranges::count_if(hosts, [&](const host_id& host) {
        const auto heard = holder.heard.find(host);
        return heard != holder.heard.end() && heard->second > window;
    }));
}

/// Skips windows of which all counts were lost long ago, as after a time in which no host ran.
void skip_lost_windows(usage_holder& holder, usage_window current) {
    const auto oldest = std::max<usage_window>(0, current - static_cast<usage_window>(max_usage_windows));
    const auto known = holder.reported.empty() ? oldest : std::min(oldest, holder.reported.begin()->first);
    if (holder.settled + 1 < known) {
        holder.skipped += static_cast<std::uint64_t>(known - holder.settled - 1);
        settle(holder, known - 1);
    }
}

/// Takes the record that the store holds. Its window is sent again, since its last holder may not have sent it.
void adopt_record(usage_holder& holder, const catalog_item& item, instant now) {
    const auto* text = std::get_if<fleet_item>(&item.content);
    holder.record = parse_usage_record(text == nullptr ? "" : text->text);
    holder.revision = item.revision;
    settle(holder, holder.record.window);
    enter_step(holder, holder_step::confirming, now);
}

}  // namespace

const char* to_string(usage_status status) {
    switch (status) {
        case usage_status::accepted:
            return "accepted";
        case usage_status::refused:
            return "refused";
        case usage_status::not_done:
            return "not_done";
        case usage_status::no_answer:
            return "no_answer";
    }
    return "?";
}

const char* to_string(holder_step step) {
    switch (step) {
        case holder_step::reading:
            return "reading";
        case holder_step::collecting:
            return "collecting";
        case holder_step::writing:
            return "writing";
        case holder_step::confirming:
            return "confirming";
        case holder_step::sending:
            return "sending";
    }
    return "?";
}

void set_holder(usage_holder& holder, bool holds, instant now) {
    if (holds == holder.holds) {
        return;
    }
    holder.holds = holds;
    holder.pending_call.reset();
    holder.not_before = now;
    holder.retry = millis{0};
    enter_step(holder, holder_step::reading, now);
}

void take_report(usage_holder& holder, const usage_settings& settings, const host_id& from, const usage_report& report) {
    if (report.agreed_ms != 0) {
        auto& heard = holder.heard[from];
        heard = std::max(heard, window_at(settings, report.agreed_ms));
    }
    for (const auto& [window, counts] : report.windows) {
        if (window <= holder.settled) {
            continue;
        }
        auto& known = holder.reported[window][report.nonce];
        for (const auto& [workspace, count] : counts) {
            known[workspace] = std::max(known[workspace], count);
        }
    }
    while (holder.reported.size() > max_usage_windows) {
        holder.reported.erase(holder.reported.begin());
    }
}

void close_due_window(usage_holder& holder, const usage_settings& settings, const std::set<host_id>& hosts, std::int64_t unix_ms,
                      instant now) {
    skip_lost_windows(holder, window_at(settings, unix_ms));
    const auto next = holder.settled + 1;
    const auto ended_for = unix_ms - end_of(settings, next);
    const auto heard = count_heard(holder, hosts, next);
    const bool is_late = ended_for >= settings.due.count * settings.longest_wait_percent / percent;
    if (ended_for < settings.shortest_wait.count || (heard < hosts.size() && !is_late)) {
        return;
    }
    holder.record = {next, add_up(holder, next)};
    holder.hosts_counted = heard;
    enter_step(holder, holder_step::writing, now);
}

void receive_stored_record(usage_holder& holder, const usage_settings& settings, const catalog_answer& answer,
                           std::optional<std::int64_t> unix_ms, instant now) {
    const auto step = holder.step;
    const bool has_object = !answer.items.empty();
    if (answer.status == catalog_status::done && has_object) {
        holder.retry = millis{0};
        adopt_record(holder, answer.items.front(), now);
    } else if (step == holder_step::reading && answer.status == catalog_status::missing && unix_ms) {
        // The fleet's first window is the earliest one of which a host has counts, or else the present one.
        const auto current = window_at(settings, *unix_ms);
        const auto first = holder.reported.empty() ? current : std::min(current, holder.reported.begin()->first);
        holder.revision = 0;
        settle(holder, first - 1);
        enter_step(holder, holder_step::collecting, now);
    } else {
        // A write without an answer may have been carried out, and another holder may have written: what the store holds counts.
        retry_later(holder, settings, holder_step::reading, now);
    }
}

bool receive_usage_status(usage_holder& holder, const usage_settings& settings, usage_status status, std::int64_t unix_ms,
                          instant now) {
    if (status == usage_status::not_done || status == usage_status::no_answer) {
        retry_later(holder, settings, holder_step::confirming, now);
        return false;
    }
    if (status == usage_status::accepted) {
        ++holder.sent;
        holder.late += unix_ms > end_of(settings, holder.record.window) + settings.due.count ? 1 : 0;
    } else {
        ++holder.refused;
    }
    holder.retry = millis{0};
    holder.not_before = now;
    enter_step(holder, holder_step::collecting, now);
    return true;
}

void retry_later(usage_holder& holder, const usage_settings& settings, holder_step step, instant now) {
    const auto doubled = std::max(settings.retry_interval, holder.retry * 2);
    holder.retry = std::min(doubled, settings.longest_retry);
    holder.not_before = now + holder.retry;
    enter_step(holder, step, now);
}

}  // namespace camphorstack
