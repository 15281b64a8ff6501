#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "camphorstack/catalog/catalog_messages.hpp"
#include "camphorstack/contracts/loan.hpp"
#include "camphorstack/contracts/token_request.hpp"
#include "camphorstack/coordination/coordination_messages.hpp"
#include "camphorstack/document/document.hpp"
#include "camphorstack/executors/run.hpp"
#include "camphorstack/hosts/member.hpp"
#include "camphorstack/hosts/request.hpp"
#include "camphorstack/usage/usage_messages.hpp"

namespace camphorstack {

/// Evidence of one watcher about the platform, passed on by a peer.
struct evidence_entry {
    host_id watcher;
    document_version version = 0;     ///< Newest document version that the watcher knew.
    std::uint64_t members_epoch = 0;  ///< Newest member list that the watcher knew.
    bool platform_confirmed = false;  ///< True if the platform answered the watcher; false if it did not.
    millis age;                       ///< Upper bound of the evidence's age when the message was sent.

    friend bool operator==(const evidence_entry&, const evidence_entry&) = default;
};

/// Checks whether the receiver is alive; also carries the sender's versions and updates.
struct probe {
    std::uint64_t sequence = 0;
    document_version version = 0;
    std::uint64_t members_epoch = 0;
    std::vector<member_update> updates;

    friend bool operator==(const probe&, const probe&) = default;
};

/// Answer to the probe with the same sequence number.
struct probe_answer {
    std::uint64_t sequence = 0;
    document_version version = 0;
    std::uint64_t members_epoch = 0;
    std::vector<member_update> updates;
    std::vector<evidence_entry> evidence;

    friend bool operator==(const probe_answer&, const probe_answer&) = default;
};

/// Asks a peer to probe `target`, because the sender got no answer from `target`.
struct relay_probe {
    host_id target;
    std::uint64_t sequence = 0;

    friend bool operator==(const relay_probe&, const relay_probe&) = default;
};

/// Reports that `target` answered a relayed probe.
struct relay_answer {
    host_id target;
    std::uint64_t sequence = 0;

    friend bool operator==(const relay_answer&, const relay_answer&) = default;
};

/// Asks for the receiver's document.
struct document_request {
    friend bool operator==(const document_request&, const document_request&) = default;
};

/// The sender's document: the reply to a `document_request`, or a new version pushed by a watcher.
struct document_reply {
    document_version version = 0;
    std::string text;  ///< The platform object's JSON value.

    friend bool operator==(const document_reply&, const document_reply&) = default;
};

/// Asks for the receiver's agreed member list.
struct members_request {
    friend bool operator==(const members_request&, const members_request&) = default;
};

/// The sender's agreed member list.
struct members_reply {
    member_list members;

    friend bool operator==(const members_reply&, const members_reply&) = default;
};

/// A request sent by its entry host to a host of the database's group.
struct forward_request {
    database_request request;

    friend bool operator==(const forward_request&, const forward_request&) = default;
};

/// Reply to a `forward_request`.
struct forward_reply {
    database_reply reply;

    friend bool operator==(const forward_reply&, const forward_reply&) = default;
};

using peer_body =
    std::variant<probe, probe_answer, relay_probe, relay_answer, document_request, document_reply, members_request, members_reply,
                 forward_request, forward_reply, loan_request, loan_grant, run_request, run_result, transaction_left,
                 membership_report, membership_answer, leader_closed, leader_update, token_request, token_grant, catalog_request,
                 catalog_reply, coordinator_update, usage_report, usage_receipt>;

struct peer_message {
    host_id from;
    peer_body body;

    friend bool operator==(const peer_message&, const peer_message&) = default;
};

}  // namespace camphorstack
