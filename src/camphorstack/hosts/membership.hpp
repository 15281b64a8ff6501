#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "camphorstack/hosts/decision_record.hpp"
#include "camphorstack/hosts/member.hpp"
#include "camphorstack/hosts/peer_message.hpp"
#include "camphorstack/support/clock.hpp"
#include "camphorstack/support/random.hpp"

namespace camphorstack {

/// Settings of the failure detector, which follows SWIM.
struct membership_settings {
    millis probe_interval{200};           ///< Interval between probes; each probes the next host of a shuffled round.
    millis probe_timeout{150};            ///< Wait for an answer before other hosts are asked to relay the probe.
    millis relay_timeout{250};            ///< Wait for an answer after the relays were asked; then the host is suspected.
    millis suspicion_time{400};           ///< A suspected host that does not refute the suspicion in this time is declared dead.
    std::size_t relays = 2;               ///< Number of hosts asked to relay one probe.
    std::size_t max_updates = 8;          ///< Most updates piggybacked on one message.
    millis dead_probe_interval{3000};     ///< Interval between probes of dead hosts, by which a healed partition is detected.
    millis dead_host_retention{7200000};  ///< Time until a dead host is removed; longer than a partition between regions.

    friend bool operator==(const membership_settings&, const membership_settings&) = default;
};

/// This host's view of one other host.
struct member_view {
    member_update newest;
    instant changed;        ///< When the state last changed, or when the suspicion time was last restarted.
    int transmissions = 0;  ///< Number of times the newest update was piggybacked.
    /// True if peers sent an update about the host; false if it is known only from the settings or the platform's list.
    bool is_confirmed_by_peers = false;
    bool has_left = false;     ///< The host announced that it leaves and has not come back since.
    int suspicion_probes = 0;  ///< Probes sent to the host during the current suspicion.
    millis round_trip{};       ///< Decaying maximum over recent answers; prolongs the suspicion time of a slow host.

    friend bool operator==(const member_view&, const member_view&) = default;
};

/// A probe that has not been answered yet.
struct open_probe {
    host_id target;
    instant sent;
    bool relayed = false;       ///< Relays were asked to probe the target.
    instant relay_asked{};      ///< When the relays were asked.
    bool of_dead_host = false;  ///< The target was dead when the probe was sent; a missing answer has no effect.
    bool expired = false;  ///< Its timeout has no further effect; a late answer still counts as a sign that the host is alive.

    friend bool operator==(const open_probe&, const open_probe&) = default;
};

/// A probe that this host sent because `origin` asked it to.
struct relayed_probe {
    host_id origin;
    std::uint64_t origin_sequence = 0;
    host_id target;
    instant sent;

    friend bool operator==(const relayed_probe&, const relayed_probe&) = default;
};

/// A message for one peer.
struct addressed_message {
    host_id to;
    peer_body body;

    friend bool operator==(const addressed_message&, const addressed_message&) = default;
};
using addressed_messages = std::vector<addressed_message>;

/// State of the failure detector of one host.
struct membership_state {
    member self;
    std::uint64_t incarnation = 0;
    bool leaving = false;
    membership_settings settings;
    std::map<host_id, member_view> others;
    std::set<host_id> suspects;                       ///< Other hosts in state `suspect`.
    std::set<host_id> pending_updates;                ///< Other hosts whose newest update may still be piggybacked.
    std::map<std::uint64_t, open_probe> open_probes;  ///< By sequence number.
    std::uint64_t next_sequence = 1;
    instant next_probe;
    std::vector<host_id> probe_order;  ///< Hosts still to probe in this round, shuffled; each host is probed once a round.
    std::map<std::uint64_t, relayed_probe> relayed_probes;  ///< By the sequence number of this host's probe.
    addressed_messages outbox;                              ///< Relay answers, sent by the next tick.
    int own_transmissions = 0;  ///< Number of times the newest update about this host was piggybacked.
    /// Rises with unanswered probes and falls with answered ones. Timeouts are multiplied by 1 + this value, as in Lifeguard.
    int local_health_multiplier = 0;
    instant last_tick;
    instant next_dead_probe;
    std::vector<decision_record> records;  ///< Changes of state since the last `take_records`.
};

/// Versions of document and member list that a host knows; every probe and answer carries the sender's.
struct known_versions {
    document_version document = 0;
    std::uint64_t members_epoch = 0;

    friend bool operator==(const known_versions&, const known_versions&) = default;
};

/// Returns how often one update is piggybacked: grows with the logarithm of the fleet's size.
[[nodiscard]] int transmission_limit(std::size_t known_hosts);

/// Returns the time that a suspected host has to refute the suspicion. It grows with the logarithm of the fleet's size above 16
/// hosts, as does the time that a refutation takes to reach all hosts.
[[nodiscard]] millis suspicion_time(const membership_settings& settings, std::size_t known_hosts);

/// Applies the updates that came with a message.
void apply_updates(membership_state& state, const std::vector<member_update>& updates, instant now);

/// Returns the updates to piggyback on the next message to `to`, and counts them as transmitted.
std::vector<member_update> choose_updates(membership_state& state, const host_id& to);

/// Changes the state of a known host because of this host's own observation, and records the decision. Does nothing if the
/// current state overrides the new one.
void set_state(membership_state& state, const host_id& id, member_state changed, const std::string& observations, instant now);

/// Restarts the suspicion time of a suspected host from which a message was just received: its refutation may be in transit.
void restart_suspicion(membership_state& state, const host_id& id, instant now);

/// Adds hosts from the settings or the platform's list as alive, unless they are already known.
void add_members(membership_state& state, const std::vector<member>& hosts, instant now);

/// Returns the due probes and relay requests, and changes hosts that do not answer to suspect and then dead. Must be called at
/// least every 50 ms: a gap longer than `probe_timeout` counts as a pause of this host, and probes that were open during a pause
/// raise no suspicion.
addressed_messages membership_tick(membership_state& state, known_versions versions, instant now, random_source& random);

/// Applies the updates of a probe and returns the answer to it.
probe_answer answer_probe(membership_state& state, const host_id& from, const probe& received, known_versions versions,
                          std::vector<evidence_entry> evidence, instant now);

/// Processes the answer to a probe. Returns when the probe was sent, or nothing if the probe is no longer open.
std::optional<instant> receive_probe_answer(membership_state& state, const host_id& from, const probe_answer& answer,
                                            instant now);

/// Probes the target of `request` for the host `from`; if the target is this host itself, returns the answer at once.
addressed_messages start_relayed_probe(membership_state& state, const host_id& from, const relay_probe& request,
                                       known_versions versions, instant now);
/// Closes the probe that a relay got an answer to.
void receive_relay_answer(membership_state& state, const relay_answer& answer, instant now);

/// Called when the connection to a peer was lost. Probes the peer at once, directly and through relays.
addressed_messages on_link_lost(membership_state& state, const host_id& peer, known_versions versions, instant now);

/// Marks this host as leaving and announces it with the next messages.
void announce_leaving(membership_state& state, instant now);

/// Returns the hosts that may own databases: those in state `alive`, and this host unless it leaves. Sorted by id.
[[nodiscard]] std::vector<member> owner_candidates(const membership_state& state);

/// Returns the agreed member list that this host proposes as successor of `current`, or nothing if it is the same. Hosts that
/// peers report as alive are added; hosts that announced their leaving or were dead for `dead_time` are removed.
[[nodiscard]] std::optional<std::vector<member>> proposed_members(const membership_state& state, const member_list& current,
                                                                  millis dead_time, instant now);

/// Returns the state of a host in this host's view; `dead` if the host is unknown.
[[nodiscard]] member_state state_of(const membership_state& state, const host_id& id);

/// Returns and clears the changes of state recorded since the last call.
std::vector<decision_record> take_records(membership_state& state);

}  // namespace camphorstack
