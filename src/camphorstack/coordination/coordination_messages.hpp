#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "camphorstack/catalog/catalog.hpp"
#include "camphorstack/catalog/fleet_record.hpp"
#include "camphorstack/hosts/member.hpp"
#include "camphorstack/support/clock.hpp"

namespace camphorstack {

enum class host_stage : std::uint8_t {
    serving,
    leaving,  ///< The host finishes its work and owns no endpoint.
    exiting,  ///< The process is about to exit.
};

/// Sent by each host to the coordinator at a fixed interval, and at once when its content changes.
struct membership_report {
    member host;
    std::string nonce;  ///< Identifies the host's process.
    host_stage stage = host_stage::serving;
    std::vector<endpoint_id> suspected;  ///< Endpoints that do not answer this host.
    std::uint64_t sequence = 0;          ///< Counts the reports of one process.

    friend bool operator==(const membership_report&, const membership_report&) = default;
};

/// How recent a host's knowledge of a collection of the store is.
struct collection_evidence {
    collection collection_id = collection::document;
    store_revision last_change = 0;  ///< Revision of the collection's last change that the sender knows.
    millis age;                      ///< Time since the sender sent the store request whose answer showed no later change.

    friend bool operator==(const collection_evidence&, const collection_evidence&) = default;
};

/// Answer to a membership report. Hosts that are not the coordinator answer too.
struct membership_answer {
    bool coordinates = false;    ///< The sender is the coordinator and reaches the store.
    std::uint64_t sequence = 0;  ///< Sequence number of the report; 0 if this answers none.
    std::vector<collection_evidence> evidence;

    friend bool operator==(const membership_answer&, const membership_answer&) = default;
};

/// The coordinator record as its host wrote it. Sent to all members by a host that has taken the role over.
struct coordinator_update {
    coordinator_record record;
    store_revision revision = 0;  ///< Store revision of the record.

    friend bool operator==(const coordinator_update&, const coordinator_update&) = default;
};

/// A leader record as the coordinator wrote it. Sent to all members for the case that the store does not answer them.
struct leader_update {
    leader_record record;
    store_revision revision = 0;  ///< Store revision of the record.

    friend bool operator==(const leader_update&, const leader_update&) = default;
};

/// Sent to the coordinator by each host when it has ended its work on a leader that is being changed: it has no work left that
/// relies on a leader record before `round`, and starts none.
struct leader_closed {
    database_id database;
    leader_round round = 0;

    friend bool operator==(const leader_closed&, const leader_closed&) = default;
};

/// Sent by the host of a caller's session to the host that runs the session's transaction when the session has left the
/// transaction. The receiver rolls the transaction back if it is open.
struct transaction_left {
    std::uint64_t transaction = 0;

    friend bool operator==(const transaction_left&, const transaction_left&) = default;
};

}  // namespace camphorstack
