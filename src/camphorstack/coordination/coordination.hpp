#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "camphorstack/catalog/fleet_record.hpp"
#include "camphorstack/coordination/coordination_messages.hpp"
#include "camphorstack/coordination/promotion_call.hpp"
#include "camphorstack/executors/endpoint_connection.hpp"
#include "camphorstack/support/clock.hpp"

namespace camphorstack {

struct coordination_settings {
    /// Interval at which each host reports to the coordinator.
    millis report_interval{500};
    /// Interval of the reports of a host that closes its idle sessions: a few within `session_entry_settings::close_window`.
    millis closing_report_interval{50};
    /// Time without a report after which a host is unreachable: three missing reports. A broken link is noticed earlier.
    millis unreachable_after{1600};
    /// Time after which an unreachable host is removed from the member list; longer than network cuts that heal usually last.
    millis remove_after{12000};
    /// Time for which a new coordinator collects reports before it writes a member list.
    millis initial_report_wait{400};
    /// Shortest interval between two writes of the member list.
    millis member_list_interval{500};
    /// Time without an answer from the coordinator before a host takes over: two reports and the latency between regions.
    millis takeover_after{1200};
    /// Additional wait before a takeover each time the number of preceding hosts in the order of succession doubles.
    millis takeover_step{200};
    /// Duration of a leader lease, from when the host asked the store for the leader records.
    millis leader_lease{2500};
    /// Time between the end of the hosts' leases and the promotion; covers clocks that differ in speed.
    millis leader_lease_margin{150};
    /// For how long the coordinator acts after it asked the store whether it still is the coordinator.
    millis coordinator_lease{1000};
    /// Additional wait of a new coordinator until its predecessor's last calls are over.
    millis coordinator_lease_margin{500};
    /// Time without an entry in the store after which a leader's endpoint counts as missing and the leader is changed.
    millis endpoint_missing_timeout{300};
    /// Time for which another endpoint must be the primary by the entries in the store before the leader is changed; longer than
    /// the entries take to follow a promotion.
    millis replaced_time{3000};
    /// Wait after a store outage. Endpoint entries that expired during the outage are back after two seconds.
    millis store_settle_time{2500};
    /// Longest time for which a planned change waits for the successor's log to catch up.
    millis catch_up_limit{1500};
    /// Longest time for which a planned change waits for open transactions.
    millis close_limit{600};
    /// Interval between status requests to an endpoint during a change.
    millis status_interval{60};
    /// Time limit for a candidate's status. A candidate whose status is not known by then is left out.
    millis status_timeout{400};
    /// Time limit for a promoted endpoint to become the primary. Another promotion follows.
    millis promotion_timeout{2500};
    /// For how long a leader must be suspected before it is changed.
    millis suspicion_time{100};
    /// For how long hosts' suspicions of a new leader that date from before its promotion are ignored: longer than hosts keep a
    /// suspicion that is over, and one report.
    millis earlier_suspicion_time{1600};
    /// For how long all suspicions of a leader are ignored that was suspected and answered: as long as hosts keep a suspicion.
    millis kept_leader_time{1100};
    /// A leader that was suspected and answered is replaced if it is suspected again within this time.
    millis keep_interval{5000};
    /// Wait after a failed step.
    millis retry_interval{300};

    friend bool operator==(const coordination_settings&, const coordination_settings&) = default;
};

/// The last report that this host received from a host.
struct reporting_host {
    membership_report report;
    instant last_heard;  ///< When the report arrived; earlier if the link to the host has broken since.
};

/// Hosts whose suspicion of a leader does not count until it ends or `until` has passed, as it dates from before the leader was
/// promoted or found to answer.
struct discounted_suspicion {
    instant until;
    std::set<host_id> hosts;
    bool all_hosts = false;
};

/// A report to the coordinator that this host's work on a leader has ended.
struct closing_report {
    leader_round round = 0;
    instant sent;

    friend bool operator==(const closing_report&, const closing_report&) = default;
};

/// An unreachable interval of a member, and when this host learned of it.
struct known_unreachable_interval {
    unreachable_interval_number number = 0;
    instant seen;
};

/// A change of a leader, and when this host learned of it.
struct known_change {
    leader_round round = 0;
    instant seen;

    friend bool operator==(const known_change&, const known_change&) = default;
};

enum class change_step : std::uint8_t {
    recording,   ///< The leader record that announces the change is being written.
    closing,     ///< Waits for the hosts to end their work on the leader, or for their leases to end.
    choosing,    ///< Requests the candidates' status and chooses one of them.
    confirming,  ///< Asks the store whether this host is still the coordinator.
    promoting,   ///< The promotion call to the platform is in flight.
    awaiting,    ///< Waits for the target to become the primary.
    publishing,  ///< The record of the new leader is being written.
};

[[nodiscard]] const char* to_string(change_step step);

/// A candidate's answer to a status request.
struct candidate_status {
    endpoint_self_report status;
    instant received_at;
};

/// A status request to a candidate.
struct candidate_status_request {
    std::uint64_t run = 0;
    instant sent;
};

/// A change of one database's leader.
///
/// The leader is the endpoint that the leader record names; hosts send writes only there. A primary is an endpoint that accepts
/// writes by its own view, which may be outdated: a former leader may still be a primary. Rounds count the changes of the leader
/// record; terms count the primaries of the replication log.
struct leader_change {
    change_step step = change_step::recording;
    leader_record record;  ///< The record that was written last, or is being written.
    std::string reason;
    instant step_began;
    instant recorded_at;             ///< When the store acknowledged the record that announces the change.
    std::set<host_id> closed_hosts;  ///< Hosts that have ended their work on the leader.
    std::map<endpoint_id, candidate_status> statuses;
    std::map<endpoint_id, candidate_status_request> status_requests;  ///< In flight.
    instant next_status_request;
    endpoint_id target;  ///< The endpoint to promote; empty until one is chosen.
    /// A promoted endpoint that takes no new work and hands its log over to a successor; empty if there is none.
    endpoint_id interim;
    std::set<endpoint_id> former_primaries;  ///< Endpoints that were primaries by their own view when another one was promoted.
    /// Term in which the target was a primary by its own view before the promotion; 0 if it reported that it was none.
    term_number term_before = 0;
    /// An endpoint may have been promoted since the record was written, or before by a predecessor of this coordinator.
    bool promotion_sent = false;
    std::set<endpoint_id> refused_candidates;   ///< Candidates whose promotion the platform refused.
    std::optional<std::uint64_t> pending_call;  ///< Write of the record or promotion in flight.
    instant not_before;                         ///< No write or promotion is sent earlier.
    bool abandoned = false;                     ///< Another coordinator has changed the record.
    bool kept = false;                          ///< The change ends without another leader.
};

/// Coordination at one host: its view of the coordinator, and its work as the coordinator.
struct coordination_state {
    coordination_settings settings;
    instant next_report;
    std::vector<endpoint_id> reported_suspects;           ///< Suspected endpoints in the last report.
    instant last_answered_report;                         ///< When the last report was sent that the coordinator answered.
    instant last_heard_report;                            ///< When the last report was sent that any host answered.
    std::uint64_t next_sequence = 1;                      ///< Of the next report. A host starts at a random number.
    std::map<std::uint64_t, instant> unanswered_reports;  ///< When each report without an answer was sent, by its sequence.
    std::map<host_id, instant> peers_last_heard;          ///< When each peer other than the coordinator last answered a report.
    std::optional<std::uint64_t> takeover_call;           ///< Write of the coordinator record in flight.
    instant takeover_not_before;
    bool is_coordinator = false;
    instant role_changed_at;  ///< When `is_coordinator` last changed.
    std::map<host_id, reporting_host> hosts;
    std::optional<std::uint64_t> members_call;  ///< Write of the member list in flight.
    instant next_members;                       ///< The member list is not written earlier.
    std::map<database_id, leader_change> changes;
    std::map<host_id, known_unreachable_interval> unreachable_intervals;  ///< Of members that are listed as unreachable.
    std::optional<std::uint64_t> claim_call;                              ///< Write of this host's `unreachable_claim` in flight.
    instant claim_not_before;
    instant last_removal;  ///< When a member was last removed that had not announced its end and might still use leaders.
    std::map<database_id, known_change> closing_seen;        ///< Changes that have not ended.
    std::map<database_id, closing_report> closing_reported;  ///< Last report of a change that has not ended.
    std::map<endpoint_id, instant> missing_since;            ///< Since when leaders have no entry in the store.
    std::map<endpoint_id, instant> suspected_since;          ///< Since when leaders are suspected by a host.
    std::map<endpoint_id, instant> replaced_since;           ///< Since when another endpoint is the primary in place of leaders.
    std::map<endpoint_id, discounted_suspicion> discounted_suspicions;  ///< Of leaders.
    std::map<endpoint_id, instant> leaders_kept_at;                     ///< When a suspected leader was last kept, by endpoint.
    std::map<database_id, term_number> newest_terms;  ///< Highest term that an endpoint of the database reported.
    std::map<std::uint64_t, std::pair<database_id, endpoint_id>> status_requests;  ///< Status requests in flight, by run id.
    instant store_reachable_since;                                                 ///< When the last store outage ended.
    bool store_was_unreachable = false;                                            ///< At the last tick.
};

}  // namespace camphorstack
