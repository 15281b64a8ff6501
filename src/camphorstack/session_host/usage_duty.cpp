#include "camphorstack/session_host/usage_duty.hpp"

#include <ostream>
#include <utility>

#include "camphorstack/coordination/coordinator.hpp"
#include "camphorstack/support/errors.hpp"
#include "camphorstack/support/log_value.hpp"
#include "camphorstack/usage/usage_record.hpp"

namespace camphorstack {

namespace {

/// A call of the holder that has no answer after this time counts as unanswered; longer than the links' own time limit.
constexpr millis call_timeout{2000};

bool is_on(const session_host_state& state) {
    return state.settings.usage.window > millis{0};
}

std::uint64_t total_of(const usage_counts& counts) {
    std::uint64_t total = 0;
    for (const auto& [workspace, count] : counts) {
        total += count;
    }
    return total;
}

std::string describe_window(const session_host_state& state, const window_counts& usage) {
    return "window=" + std::to_string(usage.window) + " fence=" + std::to_string(state.catalog.coordinator->record.fence) +
           " total=" + std::to_string(total_of(usage.counts));
}

/// Returns the time since the window was due, in milliseconds; negative before.
std::int64_t lateness(const session_host_state& state, usage_window window, instant now) {
    const auto& settings = state.settings.usage;
    return fleet_time(state.usage.clock, now).value_or(0) - end_of(settings, window) - settings.due.count;
}

void send_report(session_host_state& state, bool at_once, instant now) {
    if (!state.catalog.coordinator) {
        return;
    }
    const auto& coordinator = state.catalog.coordinator->record;
    note_coordinator(state.usage.counter, coordinator.fence);
    auto report = due_report(state.usage.counter, state.settings.usage, state.usage.clock, at_once, now);
    if (!report) {
        return;
    }
    report->nonce = state.settings.nonce;
    if (coordinator.host.id == state.settings.self.id) {
        receive_usage_report(state, coordinator.host.id, *report, now);
    } else {
        send_peer(state, coordinator.host.id, std::move(*report));
    }
}

std::uint64_t begin_call(session_host_state& state, instant now) {
    auto& usage = state.usage;
    usage.holder.pending_call = state.next_call++;
    usage.call_began = now;
    return *usage.holder.pending_call;
}

void read_record(session_host_state& state, instant now) {
    catalog_call call;
    call.id = begin_call(state, now);
    call.collection_id = collection::usage;
    call.operation = catalog_operation::get;
    call.name = usage_record_name;
    state.actions.emplace_back(std::move(call));
}

void write_usage_record(session_host_state& state, instant now) {
    const auto& holder = state.usage.holder;
    catalog_call call;
    call.id = begin_call(state, now);
    call.collection_id = collection::usage;
    call.operation = holder.revision == 0 ? catalog_operation::create : catalog_operation::replace;
    call.name = usage_record_name;
    call.revision = holder.revision;
    call.text = to_text(holder.record);
    state.actions.emplace_back(std::move(call));
}

std::set<host_id> reporting_hosts(const session_host_state& state) {
    std::set<host_id> hosts;
    for (const auto& host : listed_members(state)) {
        if (find_unreachable(state.catalog.members->record, host.id) == nullptr) {
            hosts.insert(host.id);
        }
    }
    return hosts;
}

void close_window(session_host_state& state, instant now) {
    auto& holder = state.usage.holder;
    const auto time = fleet_time(state.usage.clock, now);
    if (!time) {
        return;
    }
    const auto hosts = reporting_hosts(state);
    close_due_window(holder, state.settings.usage, hosts, *time, now);
    if (holder.step == holder_step::writing) {
        log_decision(state, "usage_window_closed",
                     describe_window(state, holder.record) + " heard=" + std::to_string(holder.hosts_counted) +
                         " hosts=" + std::to_string(hosts.size()));
    }
}

void send_record(session_host_state& state, instant now) {
    auto& holder = state.usage.holder;
    if (!confirms_role(state, holder.step_began, now)) {
        return;
    }
    state.actions.emplace_back(
        usage_call{begin_call(state, now), holder.record, state.settings.self.id, state.catalog.coordinator->record.fence});
    holder.step = holder_step::sending;
}

void give_up_call(session_host_state& state, instant now) {
    auto& holder = state.usage.holder;
    if (!holder.pending_call || now - state.usage.call_began < call_timeout) {
        return;
    }
    const auto id = *holder.pending_call;
    if (holder.step == holder_step::sending) {
        receive_usage_answer(state, {id, usage_status::no_answer}, now);
    } else {
        catalog_answer unanswered;
        unanswered.id = id;
        receive_usage_record_answer(state, unanswered, now);
    }
}

void take_next_step(session_host_state& state, instant now) {
    auto& holder = state.usage.holder;
    if (holder.pending_call || now < holder.not_before) {
        return;
    }
    if (holder.step == holder_step::collecting) {
        close_window(state, now);
    }
    switch (holder.step) {
        case holder_step::reading:
            read_record(state, now);
            break;
        case holder_step::writing:
            write_usage_record(state, now);
            break;
        case holder_step::confirming:
            send_record(state, now);
            break;
        case holder_step::collecting:
        case holder_step::sending:
            break;
    }
}

}  // namespace

void usage_tick(session_host_state& state, instant now) {
    if (!is_on(state)) {
        return;
    }
    auto& usage = state.usage;
    set_holder(usage.holder, state.coordination.is_coordinator && holds_coordinator_role(state), now);
    if (usage.holder.holds) {
        settle_clock(usage.clock, now);
    }
    send_report(state, false, now);
    if (usage.holder.holds) {
        give_up_call(state, now);
        take_next_step(state, now);
    }
}

void count_started_operations(session_host_state& state) {
    const auto started = std::exchange(state.executor.started, {});
    if (!is_on(state)) {
        return;
    }
    for (const auto& operation : started) {
        count_operation(state.usage.counter, state.settings.usage, state.usage.clock, operation);
    }
}

void send_last_usage(session_host_state& state, instant now) {
    if (is_on(state)) {
        send_report(state, true, now);
    }
}

void receive_wall_clock(session_host_state& state, const wall_clock_read& event, instant now) {
    read_wall_clock(state.usage.clock, event.unix_ms, now);
}

void receive_usage_report(session_host_state& state, const host_id& from, const usage_report& report, instant now) {
    auto& usage = state.usage;
    if (!is_on(state) || !usage.holder.holds) {
        return;
    }
    const bool is_own = from == state.settings.self.id;
    if (!is_own) {
        hear_clock(usage.clock, from, report.clock_ms, report.agreed_ms, now);
    }
    take_report(usage.holder, state.settings.usage, from, report);
    const usage_receipt receipt{state.catalog.coordinator->record.fence, report.sent, usage.holder.settled,
                                fleet_time(usage.clock, now).value_or(0)};
    if (is_own) {
        receive_usage_receipt(state, from, receipt, now);
    } else {
        send_peer(state, from, receipt);
    }
}

void receive_usage_receipt(session_host_state& state, const host_id& from, const usage_receipt& receipt, instant now) {
    if (is_on(state) && state.catalog.coordinator && state.catalog.coordinator->record.host.id == from) {
        receive_receipt(state.usage.counter, state.usage.clock, receipt, now);
    }
}

void receive_usage_answer(session_host_state& state, const usage_answer& answer, instant now) {
    auto& holder = state.usage.holder;
    if (holder.pending_call != answer.id) {
        return;
    }
    holder.pending_call.reset();
    const bool accepted = answer.status == usage_status::accepted;
    log_decision(state, accepted ? "usage_report_sent" : "usage_report_failed",
                 describe_window(state, holder.record) + " status=" + to_string(answer.status) +
                     " late_ms=" + std::to_string(lateness(state, holder.record.window, now)),
                 !accepted);
    const auto time = fleet_time(state.usage.clock, now);
    if (receive_usage_status(holder, state.settings.usage, answer.status, time.value_or(0), now)) {
        take_next_step(state, now);
    }
}

bool receive_usage_record_answer(session_host_state& state, const catalog_answer& answer, instant now) {
    auto& holder = state.usage.holder;
    if (holder.pending_call != answer.id) {
        return false;
    }
    holder.pending_call.reset();
    const auto step = holder.step;
    try {
        receive_stored_record(holder, state.settings.usage, answer, fleet_time(state.usage.clock, now), now);
    } catch (const format_error& failure) {
        retry_later(holder, state.settings.usage, holder_step::reading, now);
        log_decision(state, "usage_record_unreadable", "reason=" + log_quoted(failure.what()), true);
        return true;
    }
    log_decision(state, "usage_record_answered",
                 std::string("step=") + to_string(step) + " status=" + to_string(answer.status) +
                     " window=" + std::to_string(holder.settled),
                 holder.step == holder_step::reading);
    if (holder.step == holder_step::confirming) {
        request_role_confirmation(state, now);
    }
    return true;
}

void render_usage_metrics(const session_host_state& state, std::ostream& out) {
    if (!is_on(state)) {
        return;
    }
    const auto& counter = state.usage.counter;
    const auto& holder = state.usage.holder;
    out << "# HELP camphorstack_usage_operations_total Operations counted for the usage reports; uncounted ones came too late.\n"
        << "# TYPE camphorstack_usage_operations_total counter\n"
        << "camphorstack_usage_operations_total{outcome=\"counted\"} " << counter.all_counted << '\n'
        << "camphorstack_usage_operations_total{outcome=\"uncounted\"} " << counter.uncounted << '\n'
        << "# HELP camphorstack_usage_windows_total Usage windows that this host reported, by outcome; late ones are also sent.\n"
        << "# TYPE camphorstack_usage_windows_total counter\n"
        << "camphorstack_usage_windows_total{outcome=\"sent\"} " << holder.sent << '\n'
        << "camphorstack_usage_windows_total{outcome=\"late\"} " << holder.late << '\n'
        << "camphorstack_usage_windows_total{outcome=\"refused\"} " << holder.refused << '\n'
        << "camphorstack_usage_windows_total{outcome=\"skipped\"} " << holder.skipped << '\n';
}

}  // namespace camphorstack
