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
    leaving,  ///< Finishes what it has and owns nothing.
    gone,     ///< The process ends now.
};

/// Sent by each host to the coordinator at a fixed interval, and at once when something in it changes.
struct membership_report {
    member host;
    std::string nonce;  ///< Of the host's process.
    host_stage stage = host_stage::serving;
    std::vector<endpoint_id> suspected;  ///< Endpoints that do not answer this host.
    std::uint64_t sequence = 0;          ///< Numbers the reports of one process.

    friend bool operator==(const membership_report&, const membership_report&) = default;
};

/// What a host knows of a collection of the store.
struct collection_evidence {
    collection collection_id = collection::document;
    store_revision last_change = 0;  ///< Of the collection, known to the sender.
    millis age;                      ///< Since the sender asked the store that told it of no later change.

    friend bool operator==(const collection_evidence&, const collection_evidence&) = default;
};

/// Answer to a report, also by a host that is not the coordinator.
struct membership_answer {
    bool coordinates = false;    ///< The sender holds the duty and reaches the store.
    std::uint64_t sequence = 0;  ///< Of the report; 0 if this answers none.
    std::vector<collection_evidence> evidence;

    friend bool operator==(const membership_answer&, const membership_answer&) = default;
};

/// A leader record as the coordinator wrote it, for hosts that the store does not answer now.
struct leader_news {
    leader_record record;
    store_revision revision = 0;  ///< Of the record.

    friend bool operator==(const leader_news&, const leader_news&) = default;
};

/// The sender has no work left that rests on a leader record before `round`, and starts none.
struct leader_closed {
    database_id database;
    leader_round round = 0;

    friend bool operator==(const leader_closed&, const leader_closed&) = default;
};

/// The caller's session has left its transaction.
struct transaction_left {
    std::uint64_t transaction = 0;

    friend bool operator==(const transaction_left&, const transaction_left&) = default;
};

}  // namespace camphorstack
