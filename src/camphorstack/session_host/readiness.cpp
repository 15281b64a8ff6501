#include "camphorstack/session_host/readiness.hpp"

#include <algorithm>
#include <set>

#include "camphorstack/coordination/coordinator.hpp"
#include "camphorstack/session_host/session_host.hpp"
#include "camphorstack/support/log_value.hpp"

namespace camphorstack {

namespace {

constexpr millis first_report_delay{1000};
constexpr millis max_report_interval{60000};
/// Missing records are looked for at this interval, as it takes a pass over all endpoints.
constexpr millis record_check_interval{1000};

std::string join(const std::vector<std::string>& reasons) {
    std::string text;
    for (const auto& reason : reasons) {
        text += (text.empty() ? "" : "; ") + reason;
    }
    return text;
}

std::string describe_last_call(const collection_watch& watch) {
    return watch.failure.empty() ? "not answered yet" : watch.failure + " (" + std::to_string(watch.failures) + " in a row)";
}

/// Returns why the newest state of the document object could not be read; empty if it could, or if there is none.
std::string document_problem(const session_host_state& state) {
    const auto prefix = std::string(to_string(collection::document)) + "/";
    const auto found = state.logged_problems.lower_bound(prefix);
    return found != state.logged_problems.end() && found->first.starts_with(prefix) ? found->second : std::string();
}

std::string describe_missing_document(const session_host_state& state) {
    const auto problem = document_problem(state);
    return problem.empty() ? "document: the store holds none" : "document: " + problem;
}

std::string describe_old_document(const session_host_state& state, instant now) {
    const auto age = evidence_age(state, collection::document, now);
    return "document: last confirmed by the store " + std::to_string(age.value_or(millis{0}).count) +
           " ms ago, last call: " + describe_last_call(watch_of(state, collection::document));
}

/// Returns true if a report is due, and schedules the next one.
bool is_report_due(wait_report& report, instant now) {
    if (!report.since) {
        report = {now, now + first_report_delay, first_report_delay};
    }
    if (now < report.next) {
        return false;
    }
    report.next = now + report.interval;
    report.interval = std::min(report.interval * 2, max_report_interval);
    return true;
}

void report_wait(session_host_state& state, wait_report& report, const char* kind, const std::vector<std::string>& reasons,
                 instant now) {
    if (reasons.empty()) {
        report.since.reset();
    } else if (is_report_due(report, now)) {
        log_decision(state, kind,
                     "waited_ms=" + std::to_string((now - *report.since).count) + " reasons=" + log_quoted(join(reasons)), true);
    }
}

}  // namespace

std::vector<std::string> unready_reasons(const session_host_state& state, instant now) {
    if (state.stopping) {
        return {"this host is shutting down"};
    }
    std::vector<std::string> reasons;
    for (const auto id : {collection::document, collection::endpoints, collection::fleet}) {
        const auto& watch = watch_of(state, id);
        if (!watch.listed && (id != collection::document || !may_serve(state, now))) {
            reasons.push_back(std::string("list of ") + to_string(id) + " from the store: " + describe_last_call(watch));
        }
    }
    if (watch_of(state, collection::document).listed && !may_serve(state, now)) {
        reasons.push_back(state.catalog.content->version == 0 ? describe_missing_document(state)
                                                              : describe_old_document(state, now));
    }
    return reasons;
}

std::vector<std::string> missing_fleet_records(const session_host_state& state) {
    std::vector<std::string> missing;
    if (!state.catalog.coordinator) {
        const auto& watch = watch_of(state, collection::fleet);
        missing.push_back("no coordinator is known" +
                          (watch.reachable ? std::string() : ", list of fleet from the store: " + describe_last_call(watch)));
        return missing;
    }
    if (std::ranges::find(listed_members(state), state.settings.self.id, &member::id) == listed_members(state).end()) {
        missing.push_back("this host is not in the member list of coordinator " + state.catalog.coordinator->record.host.id);
    }
    std::set<database_id> leaderless;
    for (const auto& [id, entry] : state.catalog.endpoints) {
        if (!state.catalog.leaders.contains(entry.database)) {
            leaderless.insert(entry.database);
        }
    }
    for (const auto& database : leaderless) {
        missing.push_back("database " + database + " has no leader");
    }
    return missing;
}

bool is_ready(const session_host_state& state, instant now) {
    return unready_reasons(state, now).empty();
}

std::string describe_unready(const session_host_state& state, instant now) {
    std::string text;
    for (const auto& reason : unready_reasons(state, now)) {
        text += reason + "\n";
    }
    return text;
}

void readiness_tick(session_host_state& state, instant now) {
    if (state.stopping) {
        return;
    }
    const auto reasons = unready_reasons(state, now);
    const auto waited = state.readiness_wait.since;
    report_wait(state, state.readiness_wait, "not_ready", reasons, now);
    if (waited && reasons.empty()) {
        log_decision(state, "ready", "waited_ms=" + std::to_string((now - *waited).count));
    }
    if (now >= state.next_record_check) {
        state.next_record_check = now + record_check_interval;
        report_wait(state, state.coordination_wait, "coordinator_wait", missing_fleet_records(state), now);
    }
}

}  // namespace camphorstack
