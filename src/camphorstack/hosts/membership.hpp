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

struct membership_settings {
    millis probe_interval{200};           ///< One random host is probed in each interval.
    millis probe_timeout{150};            ///< Then other hosts are asked to relay the probe.
    millis relay_timeout{250};            ///< After the relay was asked for; then the host is suspected.
    millis suspicion_time{400};           ///< A suspected host that does not refute in this time is dead.
    std::size_t relays = 2;               ///< Hosts asked to relay one probe.
    std::size_t max_updates = 8;          ///< Updates piggybacked on one message.
    millis dead_probe_interval{3000};     ///< Between probes of dead hosts, so that a healed partition is noticed.
    millis dead_host_retention{7200000};  ///< A host dead for longer is forgotten; longer than a partition of regions.

    friend bool operator==(const membership_settings&, const membership_settings&) = default;
};

/// This host's view of one other host.
struct member_view {
    member_update newest;
    instant changed;                     ///< When this view's state last changed.
    int transmissions = 0;               ///< How often the newest update was piggybacked.
    bool is_confirmed_by_peers = false;  ///< It was heard of from the fleet, not only from settings or the platform's list.
    bool has_left = false;               ///< It announced its leaving and has not come back since.
    int suspicion_probes = 0;            ///< Probes sent to confirm the suspicion.
    millis round_trip{};                 ///< Of recent answers, the longest weighs most; prolongs a suspicion of a slow host.

    friend bool operator==(const member_view&, const member_view&) = default;
};

/// A probe that has not been answered yet.
struct open_probe {
    host_id target;
    instant sent;
    bool relayed = false;
    instant relay_asked{};
    bool of_dead_host = false;
    bool expired = false;  ///< It led to a suspicion already; a late answer still tells that the host lives.

    friend bool operator==(const open_probe&, const open_probe&) = default;
};

/// A probe sent on behalf of another host.
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

struct membership_state {
    member self;
    std::uint64_t incarnation = 0;
    bool leaving = false;
    membership_settings settings;
    std::map<host_id, member_view> others;
    std::set<host_id> suspects;                       ///< Others in state suspect.
    std::set<host_id> pending_updates;                ///< Others whose newest update may still be piggybacked.
    std::map<std::uint64_t, open_probe> open_probes;  ///< By sequence number.
    std::uint64_t next_sequence = 1;
    instant next_probe;
    std::vector<host_id> probe_order;                       ///< Shuffled round, so that each host is probed once a round.
    std::map<std::uint64_t, relayed_probe> relayed_probes;  ///< By the sequence number of the own probe.
    addressed_messages outbox;                              ///< Relay answers, sent by the next tick.
    int own_transmissions = 0;                              ///< How often the newest update about this host was piggybacked.
    int local_health_multiplier = 0;  ///< Rises with unanswered probes, falls with answered ones; stretches the timeouts.
    instant last_tick;
    instant next_dead_probe;
    std::vector<decision_record> records;  ///< Changes of state since the last `take_records`.
};

/// Versions that every probe and answer carries.
struct known_versions {
    document_version document = 0;
    std::uint64_t members_epoch = 0;

    friend bool operator==(const known_versions&, const known_versions&) = default;
};

/// Piggybacked transmissions of one update: grows with the logarithm of the fleet's size.
[[nodiscard]] int transmission_limit(std::size_t known_hosts);

/// Time that a suspected host has to refute: grows with the logarithm of the fleet's size above 16 hosts, as a
/// refutation takes that long to reach all hosts.
[[nodiscard]] millis suspicion_time(const membership_settings& settings, std::size_t known_hosts);

/// Takes over updates that came with a message.
void apply_updates(membership_state& state, const std::vector<member_update>& updates, instant now);

/// Updates to piggyback on the next message to `to`; counts them as transmitted.
std::vector<member_update> choose_updates(membership_state& state, const host_id& to);

/// Changes the state of a known host by this host's own observation and records the decision.
void set_state(membership_state& state, const host_id& id, member_state changed, const std::string& observations, instant now);

/// Restarts the suspicion time of a suspected host from which a message has just come. Its refutation may still be on the way.
void restart_suspicion(membership_state& state, const host_id& id, instant now);

/// Adds hosts from the settings or the platform's list as alive, unless they are known already.
void add_members(membership_state& state, const std::vector<member>& hosts, instant now);

/// Sends due probes and relays, moves silent hosts to suspect and dead. To be called at least every 50 ms: a gap longer than
/// `probe_timeout` counts as a pause of this host, after which the silence of others is not held against them.
addressed_messages membership_tick(membership_state& state, known_versions versions, instant now, random_source& random);

/// Answers a probe and takes its updates over.
probe_answer answer_probe(membership_state& state, const host_id& from, const probe& question, known_versions versions,
                          std::vector<evidence_entry> evidence, instant now);

/// Takes an answer over; returns when its probe was sent, or nothing if the probe is not open any more.
std::optional<instant> receive_probe_answer(membership_state& state, const host_id& from, const probe_answer& answer,
                                            instant now);

addressed_messages start_relayed_probe(membership_state& state, const host_id& from, const relay_probe& request,
                                       known_versions versions, instant now);
void receive_relay_answer(membership_state& state, const relay_answer& answer, instant now);

/// Tells that a host's link broke: probes it at once.
addressed_messages on_link_lost(membership_state& state, const host_id& peer, known_versions versions, instant now);

/// Announces that this host leaves.
void announce_leaving(membership_state& state, instant now);

/// Hosts that may own something: alive, not leaving, not suspected; with this host itself. Sorted by id.
[[nodiscard]] std::vector<member> owner_candidates(const membership_state& state);

/// The agreed member list as this host would write it, given the current one: hosts seen alive join, hosts that left
/// or were dead for `dead_time` go. Nothing if it equals the current one.
[[nodiscard]] std::optional<std::vector<member>> proposed_members(const membership_state& state, const member_list& current,
                                                                  millis dead_time, instant now);

[[nodiscard]] member_state state_of(const membership_state& state, const host_id& id);

std::vector<decision_record> take_records(membership_state& state);

}  // namespace camphorstack
