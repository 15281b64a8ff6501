#pragma once

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "camphorstack/balancing/endpoint_choice.hpp"
#include "camphorstack/catalog/collection_watch.hpp"
#include "camphorstack/catalog/fleet_record.hpp"
#include "camphorstack/catalog/relayed_collection.hpp"
#include "camphorstack/coordination/coordination.hpp"
#include "camphorstack/executors/executor.hpp"
#include "camphorstack/session_host/position_request.hpp"
#include "camphorstack/session_host/session_host_events.hpp"
#include "camphorstack/session_host/session_host_settings.hpp"
#include "camphorstack/sessions/caller_session.hpp"
#include "camphorstack/sessions/position_samples.hpp"
#include "camphorstack/support/random.hpp"
#include "camphorstack/usage/usage_counter.hpp"
#include "camphorstack/usage/usage_holder.hpp"

namespace camphorstack {

/// A fleet record and the revision of the object that holds it.
template <typename Record>
struct stored_record {
    Record record;
    store_revision revision = 0;
};

/// The host's view of the platform's store.
struct host_catalog {
    std::array<collection_watch, collection_count> watches;
    std::shared_ptr<const document> content = std::make_shared<const document>();
    std::map<std::string, workspace_id> workspace_by_key;  ///< By the SHA-256 of the key.
    std::map<std::string, std::size_t>
        route_by_database;  ///< Index of the route in the document, by the database name that callers connect to.
    endpoint_directory endpoints;
    std::set<data_centre_id> evacuated;
    std::optional<stored_record<coordinator_record>> coordinator;
    std::optional<stored_record<members_record>> members;
    std::map<database_id, stored_record<leader_record>> leaders;
    std::map<host_id, stored_record<unreachable_claim>> claims;
};

/// How far an endpoint is from this host.
enum class endpoint_distance : std::uint8_t { same_data_centre, other_data_centre, other_region };
[[nodiscard]] const char* to_string(endpoint_distance distance);

/// Number of a workspace's operations since the host started, by result.
struct operation_counts {
    std::uint64_t done = 0;
    std::map<result_code, std::uint64_t> failed;
};

/// Number of calls to the store and of answers since the host started, for the metrics.
struct store_call_counts {
    std::map<std::pair<collection, catalog_operation>, std::uint64_t> calls;
    std::map<catalog_status, std::uint64_t> answers;
};

/// Number of hosts to which one host passes the changes of the store on.
constexpr std::size_t catalog_relay_fanout = 8;

/// A request for a change that this host does not have yet.
struct kept_catalog_request {
    host_id from;
    catalog_request request;
    instant received;
};

/// The host's part in the usage reports.
struct usage_state {
    usage_clock clock;
    usage_counter counter;
    usage_holder holder;  ///< In use while this host is the coordinator.
    instant call_began;   ///< When the holder's call in flight was sent.
};

/// When a host last reported that it waits for something. The reports become rarer with time.
struct wait_report {
    std::optional<instant> since;  ///< Start of the wait; nothing if the host does not wait.
    instant next;                  ///< Time of the next report.
    millis interval;               ///< Between the last report and the next.

    friend bool operator==(const wait_report&, const wait_report&) = default;
};

/// The complete state from which a session host makes its decisions.
struct session_host_state {
    session_host_settings settings;
    random_source random;
    std::uint64_t next_call = 1;  ///< Next id of a call to the store or the platform, of a run or of a transaction.
    host_catalog catalog;
    std::map<endpoint_id, host_id> owners;  ///< Owner of each endpoint.
    std::map<endpoint_id, host_id>
        substitute_owners;  ///< Owner of each endpoint if only hosts that this host reaches are considered.
    share_state shares;
    executor_state executor;
    std::map<session_id, caller_session> sessions;
    std::map<run_id, session_id> runs;                     ///< Session of each run in flight.
    std::map<run_id, position_request> position_requests;  ///< Not answered yet.
    std::vector<kept_position_request> kept_position_requests;
    position_request_counts position_counts;
    std::map<database_id, position_samples> samples;  ///< Log positions of each database's primary.
    std::map<database_id, instant> sample_needed_at;  ///< When a read last needed a position sample of the database.
    std::map<endpoint_id, load_evidence> load_evidence_by_endpoint;                 ///< Only endpoints of the catalog.
    std::map<std::pair<endpoint_id, endpoint_distance>, std::uint64_t> reads_sent;  ///< For the metrics.
    std::map<host_id, instant> broken_links;  ///< Peers that cannot be reached, with the time of the last attempt.
    std::map<host_id, instant> kept_links;    ///< When a message was last sent to keep the link to a peer open.
    instant next_link_check;                  ///< The kept links are not checked earlier.
    std::set<session_id> waiting_sessions;    ///< Sessions whose operation waits for tokens or for a leader.
    coordination_state coordination;
    usage_state usage;
    std::map<workspace_id, operation_counts> counts;
    store_call_counts store_calls;
    std::map<result_code, std::uint64_t> access_refusals;  ///< Sessions and operations refused by the document, for the metrics.
    std::array<relayed_collection, collection_count> relayed;  ///< Copies from which other hosts' requests are answered.
    std::vector<kept_catalog_request> kept_requests;
    std::map<answer_match, std::uint64_t> stray_answers;    ///< Replies of endpoints that were not awaited, for the metrics.
    std::map<result_code, std::uint64_t> refused_messages;  ///< Callers' messages that were not understood, for the metrics.
    std::map<caller_close_reason, std::uint64_t> closed_callers;  ///< Callers closed to stay within limits, for the metrics.
    std::size_t session_bytes = 0;                                ///< Session values and prepared shapes of all sessions.
    std::uint64_t relayed_answers = 0;  ///< Number of requests for changes that this host answered, for the metrics.
    std::map<std::string, std::string> logged_problems;  ///< Last logged problem of each object, by collection and name.
    wait_report readiness_wait;
    wait_report coordination_wait;
    instant next_record_check;  ///< The records of the fleet are not checked for missing ones earlier.
    bool serving = false;
    bool stopping = false;
    bool stopped = false;
    instant stop_requested_at;
    session_host_actions actions;  ///< Output of the current step.
};

/// Returns the watch of a collection.
[[nodiscard]] inline collection_watch& watch_of(session_host_state& state, collection collection_id) {
    return state.catalog.watches.at(static_cast<std::size_t>(collection_id));
}
[[nodiscard]] inline const collection_watch& watch_of(const session_host_state& state, collection collection_id) {
    return state.catalog.watches.at(static_cast<std::size_t>(collection_id));
}

/// Returns the age of a collection's evidence; nothing if there is none yet.
[[nodiscard]] std::optional<millis> evidence_age(const session_host_state& state, collection collection_id, instant now);

/// Returns true if the host may serve callers: it has a document and recent evidence for it.
[[nodiscard]] bool may_serve(const session_host_state& state, instant now);

/// Returns true if the host may refuse callers for good, that is with a code after which they do not try again: the evidence for
/// its document is young enough that any later change is not in force yet, and no other host has reported a newer change.
[[nodiscard]] bool may_refuse_for_good(const session_host_state& state, instant now);

/// Returns the inputs of decisions that depend on the document's age, as log fields: the age of its evidence, and for how long
/// this host has known that it lacks a change.
[[nodiscard]] std::string describe_document_age(const session_host_state& state, instant now);

/// Returns the region of a data centre; empty if the settings do not name it.
[[nodiscard]] std::string region_of(const session_host_state& state, const data_centre_id& location);

/// Returns how far a data centre is from this host's.
[[nodiscard]] endpoint_distance distance_to(const session_host_state& state, const data_centre_id& location);

/// Returns the endpoint's entry in the store; null if it has none, or belongs to another database.
[[nodiscard]] const endpoint_entry* find_endpoint_of(const session_host_state& state, const database_id& database,
                                                     const endpoint_id& endpoint);

/// Returns true if the endpoint's entry in the store names another database.
[[nodiscard]] bool is_endpoint_of_other(const session_host_state& state, const database_id& database,
                                        const endpoint_id& endpoint);

/// Returns true if the endpoint may receive new reads: it is not draining and its data centre is not evacuated.
[[nodiscard]] bool takes_new_work(const session_host_state& state, const endpoint_entry& endpoint);

/// Sends a message to another host of the fleet. Returns false if the host's address is not known.
bool send_peer(session_host_state& state, const host_id& peer, peer_body body);

/// Adds an entry to the decision log.
void log_decision(session_host_state& state, const char* kind, std::string text, bool is_failure = false);

/// Submits a run to the executor of this host or of another host.
void start_run(session_host_state& state, const host_id& host, run_request request, instant now);

/// Returns a run that carries no statement of a caller. Returns nothing without a document that names a workspace, as connections
/// to endpoints belong to one.
[[nodiscard]] std::optional<run_request> make_administrative_run(session_host_state& state, const database_id& database,
                                                                 const endpoint_id& endpoint, run_kind kind, millis timeout);

/// Returns the endpoint's owner, or its substitute if this host cannot reach the owner.
[[nodiscard]] host_id executor_host(const session_host_state& state, const endpoint_id& endpoint);

}  // namespace camphorstack
