#include <sstream>

#include "camphorstack/session_host/session_host.hpp"
#include "camphorstack/session_host/session_host_state.hpp"
#include "camphorstack/session_host/usage_duty.hpp"
#include "camphorstack/support/metric_label.hpp"

namespace camphorstack {

namespace {

/// Writes what waits for the endpoint, and what became of earlier runs.
void write_queue_metrics(std::ostream& out, const endpoint_executor& endpoint, instant now) {
    const auto label = "{endpoint=\"" + metric_label(endpoint.entry.id) + "\"";
    for (const auto rank : run_ranks) {
        out << "camphorstack_endpoint_queue_runs" << label << ",rank=\"" << to_string(rank) << "\"} "
            << count_runs(endpoint.queue, rank) << '\n';
    }
    const auto& totals = endpoint.totals;
    out << "camphorstack_endpoint_refused_runs_total" << label << ",when=\"arrival\"} " << totals.refused_at_arrival << '\n'
        << "camphorstack_endpoint_refused_runs_total" << label << ",when=\"after_wait\"} " << totals.refused_after_wait << '\n'
        << "camphorstack_endpoint_late_runs_total" << label << "} " << totals.late << '\n'
        << "camphorstack_endpoint_longest_wait_ms" << label << "} " << (now - oldest_arrival(endpoint.queue).value_or(now)).count
        << '\n';
}

}  // namespace

std::string render_metrics(const session_host_state& state, instant now) {
    std::ostringstream out;
    out << "# HELP camphorstack_operations_total Statements answered, by workspace and outcome.\n"
        << "# TYPE camphorstack_operations_total counter\n";
    for (const auto& [workspace, counts] : state.counts) {
        out << "camphorstack_operations_total{workspace=\"" << metric_label(workspace) << "\",outcome=\"done\"} " << counts.done
            << '\n';
        for (const auto& [code, count] : counts.failed) {
            out << "camphorstack_operations_total{workspace=\"" << metric_label(workspace) << "\",outcome=\"" << to_string(code)
                << "\"} " << count << '\n';
        }
    }
    out << "# HELP camphorstack_store_calls_total Calls to the store, by collection and operation.\n"
        << "# TYPE camphorstack_store_calls_total counter\n";
    for (const auto& [call, count] : state.store_calls.calls) {
        out << "camphorstack_store_calls_total{collection=\"" << to_string(call.first) << "\",operation=\""
            << to_string(call.second) << "\"} " << count << '\n';
    }
    out << "# HELP camphorstack_store_answers_total Answers of the store, by status; calls without one count as no_answer.\n"
        << "# TYPE camphorstack_store_answers_total counter\n";
    for (const auto& [status, count] : state.store_calls.answers) {
        out << "camphorstack_store_answers_total{status=\"" << to_string(status) << "\"} " << count << '\n';
    }
    out << "# HELP camphorstack_relayed_changes_total Requests of other hosts for changes of the store that were answered.\n"
        << "# TYPE camphorstack_relayed_changes_total counter\ncamphorstack_relayed_changes_total " << state.relayed_answers
        << '\n';
    out << "# HELP camphorstack_access_refusals_total Sessions and operations refused by the document, by code.\n"
        << "# TYPE camphorstack_access_refusals_total counter\n";
    for (const auto& [code, count] : state.access_refusals) {
        out << "camphorstack_access_refusals_total{code=\"" << to_string(code) << "\"} " << count << '\n';
    }
    out << "# HELP camphorstack_stray_answers_total Replies of endpoints that were not the awaited answers, by kind.\n"
        << "# TYPE camphorstack_stray_answers_total counter\n";
    for (const auto& [match, count] : state.stray_answers) {
        out << "camphorstack_stray_answers_total{match=\"" << to_string(match) << "\"} " << count << '\n';
    }
    out << "# HELP camphorstack_refused_messages_total Messages of callers that were not understood, by code.\n"
        << "# TYPE camphorstack_refused_messages_total counter\n";
    for (const auto& [code, count] : state.refused_messages) {
        out << "camphorstack_refused_messages_total{code=\"" << to_string(code) << "\"} " << count << '\n';
    }
    out << "# HELP camphorstack_closed_callers_total Callers closed or refused to keep the process within its limits.\n"
        << "# TYPE camphorstack_closed_callers_total counter\n";
    for (const auto& [reason, count] : state.closed_callers) {
        out << "camphorstack_closed_callers_total{reason=\"" << to_string(reason) << "\"} " << count << '\n';
    }
    out << "# HELP camphorstack_session_bytes Session values and prepared shapes of all sessions.\n"
        << "# TYPE camphorstack_session_bytes gauge\ncamphorstack_session_bytes " << state.session_bytes << '\n';
    out << "# HELP camphorstack_reads_sent_total Reads sent, by endpoint and its distance from this host.\n"
        << "# TYPE camphorstack_reads_sent_total counter\n";
    for (const auto& [key, count] : state.reads_sent) {
        out << "camphorstack_reads_sent_total{endpoint=\"" << metric_label(key.first) << "\",distance=\"" << to_string(key.second)
            << "\"} " << count << '\n';
    }
    const auto& positions = state.position_counts;
    out << "# HELP camphorstack_position_requests_total Requests for primaries' positions, by what became of them.\n"
        << "# TYPE camphorstack_position_requests_total counter\n"
        << "camphorstack_position_requests_total{event=\"sent_to_endpoint\"} " << positions.sent_to_endpoints << '\n'
        << "camphorstack_position_requests_total{event=\"sent_to_host\"} " << positions.sent_to_hosts << '\n'
        << "camphorstack_position_requests_total{event=\"answered\"} " << positions.answered << '\n'
        << "camphorstack_position_requests_total{event=\"expired\"} " << positions.expired << '\n'
        << "# HELP camphorstack_positions_learned_total Primaries' positions that came with other answers.\n"
        << "# TYPE camphorstack_positions_learned_total counter\ncamphorstack_positions_learned_total " << positions.learned
        << '\n';
    render_usage_metrics(state, out);
    out << "# TYPE camphorstack_sessions gauge\ncamphorstack_sessions " << state.sessions.size() << '\n'
        << "# TYPE camphorstack_endpoint_queue gauge\n";
    for (const auto& [id, endpoint] : state.executor.endpoints) {
        out << "camphorstack_endpoint_queue{endpoint=\"" << metric_label(id) << "\"} " << count_runs(endpoint.queue) << '\n'
            << "camphorstack_endpoint_connections{endpoint=\"" << metric_label(id) << "\"} " << endpoint.connections.size()
            << '\n';
        write_queue_metrics(out, endpoint, now);
    }
    for (const auto& watch : state.catalog.watches) {
        const auto age = evidence_age(state, watch.collection_id, now);
        out << "camphorstack_evidence_age_ms{collection=\"" << to_string(watch.collection_id) << "\"} " << (age ? age->count : -1)
            << '\n'
            << "camphorstack_behind_ms{collection=\"" << to_string(watch.collection_id) << "\"} "
            << (watch.lacking ? (now - watch.lacking->heard).count : 0) << '\n';
    }
    return out.str();
}

}  // namespace camphorstack
