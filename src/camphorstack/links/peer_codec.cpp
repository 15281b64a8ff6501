#include "camphorstack/links/peer_codec.hpp"

#include <string>
#include <utility>

#include "camphorstack/links/peer_frame_reader.hpp"
#include "camphorstack/schemas/peer_generated.h"
#include "camphorstack/support/errors.hpp"

namespace camphorstack {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

/// Type and offset of a message body that has been written into the builder.
struct encoded_body {
    wire::Body type = wire::Body::NONE;
    Offset<void> table;
};

template <typename Enum>
std::uint8_t number(Enum value) {
    return static_cast<std::uint8_t>(value);
}

Offset<wire::Member> write_member(FlatBufferBuilder& out, const member& subject) {
    const auto id = out.CreateString(subject.id);
    const auto address = out.CreateString(subject.address);
    const auto http_address = out.CreateString(subject.http_address);
    const auto location = out.CreateString(subject.location);
    return wire::CreateMember(out, id, address, http_address, location);
}

auto write_updates(FlatBufferBuilder& out, const std::vector<member_update>& updates) {
    std::vector<Offset<wire::MemberUpdate>> tables;
    tables.reserve(updates.size());
    for (const auto& update : updates) {
        const auto subject = write_member(out, update.subject);
        tables.push_back(wire::CreateMemberUpdate(out, subject, number(update.state), update.incarnation));
    }
    return out.CreateVector(tables);
}

/// Visitor that writes each alternative of `peer_body`.
class body_writer {
public:
    explicit body_writer(FlatBufferBuilder& builder) : out(builder) {}

    encoded_body operator()(const probe& body) const {
        const auto updates = write_updates(this->out, body.updates);
        const auto table = wire::CreateProbe(this->out, body.sequence, body.version, body.members_epoch, updates);
        return {wire::Body::Probe, table.Union()};
    }

    encoded_body operator()(const probe_answer& body) const {
        const auto updates = write_updates(this->out, body.updates);
        std::vector<Offset<wire::Evidence>> entries;
        entries.reserve(body.evidence.size());
        for (const auto& entry : body.evidence) {
            const auto watcher = this->out.CreateString(entry.watcher);
            entries.push_back(wire::CreateEvidence(this->out, watcher, entry.version, entry.members_epoch,
                                                   entry.platform_confirmed, entry.age.count));
        }
        const auto evidence = this->out.CreateVector(entries);
        const auto table = wire::CreateProbeAnswer(this->out, body.sequence, body.version, body.members_epoch, updates, evidence);
        return {wire::Body::ProbeAnswer, table.Union()};
    }

    encoded_body operator()(const relay_probe& body) const {
        const auto target = this->out.CreateString(body.target);
        return {wire::Body::RelayProbe, wire::CreateRelayProbe(this->out, target, body.sequence).Union()};
    }

    encoded_body operator()(const relay_answer& body) const {
        const auto target = this->out.CreateString(body.target);
        return {wire::Body::RelayAnswer, wire::CreateRelayAnswer(this->out, target, body.sequence).Union()};
    }

    encoded_body operator()(const document_request& /*body*/) const {
        return {wire::Body::DocumentRequest, wire::CreateDocumentRequest(this->out).Union()};
    }

    encoded_body operator()(const document_reply& body) const {
        const auto text = this->out.CreateString(body.text);
        return {wire::Body::DocumentReply, wire::CreateDocumentReply(this->out, body.version, text).Union()};
    }

    encoded_body operator()(const members_request& /*body*/) const {
        return {wire::Body::MembersRequest, wire::CreateMembersRequest(this->out).Union()};
    }

    encoded_body operator()(const members_reply& body) const {
        std::vector<Offset<wire::Member>> tables;
        tables.reserve(body.members.hosts.size());
        for (const auto& host : body.members.hosts) {
            tables.push_back(write_member(this->out, host));
        }
        const auto hosts = this->out.CreateVector(tables);
        return {wire::Body::MembersReply, wire::CreateMembersReply(this->out, body.members.epoch, hosts).Union()};
    }

    encoded_body operator()(const forward_request& body) const {
        const auto& request = body.request;
        const auto id = this->out.CreateString(request.id);
        const auto workspace = this->out.CreateString(request.workspace);
        const auto database = this->out.CreateString(request.database);
        const auto key = this->out.CreateString(request.idempotency_key);
        const auto statement = this->out.CreateString(request.statement);
        const auto transaction = this->out.CreateString(request.transaction);
        wire::ForwardRequestBuilder table(this->out);
        table.add_id(id);
        table.add_workspace(workspace);
        table.add_database(database);
        table.add_kind(number(request.kind));
        table.add_idempotent(request.idempotent);
        table.add_idempotency_key(key);
        table.add_statement(statement);
        table.add_session_term(request.session.term);
        table.add_session_index(request.session.index);
        if (request.max_age) {
            table.add_max_age_ms(request.max_age->count);
        }
        table.add_transaction(transaction);
        table.add_time_left_ms(request.time_left.count);
        return {wire::Body::ForwardRequest, table.Finish().Union()};
    }

    encoded_body operator()(const forward_reply& body) const {
        const auto& reply = body.reply;
        const auto id = this->out.CreateString(reply.id);
        const auto text = this->out.CreateString(reply.body);
        const auto transaction = this->out.CreateString(reply.transaction);
        const auto served_by = this->out.CreateString(reply.served_by);
        const auto table = wire::CreateForwardReply(this->out, id, number(reply.outcome), number(reply.reason), text,
                                                    reply.session.term, reply.session.index, transaction, served_by);
        return {wire::Body::ForwardReply, table.Union()};
    }

    encoded_body operator()(const loan_request& body) const {
        const auto workspace = this->out.CreateString(body.workspace);
        const auto table = wire::CreateLoanRequest(this->out, body.sequence, workspace, body.epoch, body.tokens, body.rate_per_s,
                                                   body.duration.count);
        return {wire::Body::LoanRequest, table.Union()};
    }

    encoded_body operator()(const loan_grant& body) const {
        const auto workspace = this->out.CreateString(body.workspace);
        const auto table = wire::CreateLoanGrant(this->out, body.sequence, workspace, body.epoch, body.tokens, body.rate_per_s,
                                                 body.duration.count);
        return {wire::Body::LoanGrant, table.Union()};
    }

    encoded_body operator()(const token_request& body) const {
        const auto workspace = this->out.CreateString(body.workspace);
        const auto table = wire::CreateTokenRequest(this->out, body.sequence, workspace, body.operations);
        return {wire::Body::TokenRequest, table.Union()};
    }

    encoded_body operator()(const token_grant& body) const {
        const auto workspace = this->out.CreateString(body.workspace);
        const auto table = wire::CreateTokenGrant(this->out, body.sequence, workspace, body.operations, body.next_token.count);
        return {wire::Body::TokenGrant, table.Union()};
    }

    encoded_body operator()(const run_request& body) const {
        const auto endpoint = this->out.CreateString(body.endpoint);
        const auto database = this->out.CreateString(body.database);
        const auto workspace = this->out.CreateString(body.workspace);
        const auto statement_id = this->out.CreateString(body.statement_id);
        const auto text = this->out.CreateString(body.text);
        const auto shape = this->out.CreateString(body.prepared ? body.prepared->shape : std::string());
        std::vector<Offset<wire::SessionValue>> tables;
        tables.reserve(body.values.size());
        for (const auto& item : body.values) {
            const auto name = this->out.CreateString(item.name);
            const auto value = this->out.CreateString(item.value);
            tables.push_back(wire::CreateSessionValue(this->out, name, value));
        }
        const auto values = this->out.CreateVector(tables);
        wire::RunRequestBuilder table(this->out);
        table.add_id(body.id);
        table.add_endpoint(endpoint);
        table.add_workspace(workspace);
        table.add_kind(number(body.kind));
        table.add_statement_id(statement_id);
        table.add_text(text);
        table.add_prepared_shape(shape);
        table.add_is_prepared(body.prepared.has_value());
        table.add_prepared_writes(body.prepared && body.prepared->writes);
        table.add_has_after(body.after.has_value());
        table.add_after_term(body.after ? body.after->term : 0);
        table.add_after_index(body.after ? body.after->index : 0);
        table.add_values(values);
        table.add_transaction(body.transaction);
        table.add_start(number(body.start));
        table.add_round(body.round);
        table.add_statement_timeout_ms(body.statement_timeout.count);
        table.add_patience_ms(body.queue_timeout.count);
        table.add_priority(body.priority);
        table.add_accepts_known_position(body.accepts_known_position);
        table.add_start_target_ms(body.start_target.count);
        table.add_database(database);
        return {wire::Body::RunRequest, table.Finish().Union()};
    }

    encoded_body operator()(const run_result& body) const {
        const auto text = this->out.CreateString(body.text);
        const auto rows = this->out.CreateVectorOfStrings(body.rows);
        const auto proof = this->out.CreateString(body.proof);
        wire::RunResultBuilder table(this->out);
        table.add_id(body.id);
        table.add_outcome(number(body.outcome));
        table.add_code(number(body.code));
        table.add_text(text);
        table.add_rows(rows);
        table.add_proof(proof);
        table.add_state(number(body.state));
        table.add_has_position(body.position.has_value());
        table.add_position_term(body.position ? body.position->term : 0);
        table.add_position_index(body.position ? body.position->index : 0);
        table.add_round(body.round);
        table.add_wait_ms(body.wait.count);
        table.add_transaction_open(body.transaction_open);
        if (body.status) {
            table.add_has_status(true);
            table.add_is_primary(body.status->is_primary);
            table.add_status_term(body.status->term);
            table.add_received_term(body.status->received.term);
            table.add_received_index(body.status->received.index);
            table.add_lag_ms(body.status->lag.count);
        }
        if (body.known) {
            table.add_has_known(true);
            table.add_known_round(body.known->round);
            table.add_known_term(body.known->position.term);
            table.add_known_index(body.known->position.index);
            table.add_known_age_ms(body.known->age.count);
        }
        return {wire::Body::RunResult, table.Finish().Union()};
    }

    encoded_body operator()(const transaction_left& body) const {
        return {wire::Body::TransactionLeft, wire::CreateTransactionLeft(this->out, body.transaction).Union()};
    }

    encoded_body operator()(const membership_report& body) const {
        const auto host = write_member(this->out, body.host);
        const auto nonce = this->out.CreateString(body.nonce);
        const auto suspected = this->out.CreateVectorOfStrings(body.suspected);
        const auto table = wire::CreateMembershipReport(this->out, host, nonce, number(body.stage), suspected, body.sequence);
        return {wire::Body::MembershipReport, table.Union()};
    }

    encoded_body operator()(const membership_answer& body) const {
        std::vector<Offset<wire::CollectionEvidence>> tables;
        tables.reserve(body.evidence.size());
        for (const auto& item : body.evidence) {
            tables.push_back(
                wire::CreateCollectionEvidence(this->out, number(item.collection_id), item.last_change, item.age.count));
        }
        const auto evidence = this->out.CreateVector(tables);
        const auto table = wire::CreateMembershipAnswer(this->out, body.coordinates, body.sequence, evidence);
        return {wire::Body::MembershipAnswer, table.Union()};
    }

    encoded_body operator()(const leader_closed& body) const {
        const auto database = this->out.CreateString(body.database);
        return {wire::Body::LeaderClosed, wire::CreateLeaderClosed(this->out, database, body.round).Union()};
    }

    encoded_body operator()(const leader_update& body) const {
        const auto& record = body.record;
        const auto database = this->out.CreateString(record.database);
        const auto endpoint = this->out.CreateString(record.endpoint);
        const auto table = wire::CreateLeaderNews(this->out, database, endpoint, number(record.phase), record.planned,
                                                  record.round, body.revision);
        return {wire::Body::LeaderNews, table.Union()};
    }

    encoded_body operator()(const catalog_request& body) const {
        const auto table =
            wire::CreateCatalogRequest(this->out, body.sequence, number(body.collection_id), body.known, body.wanted);
        return {wire::Body::CatalogRequest, table.Union()};
    }

    encoded_body operator()(const catalog_reply& body) const {
        std::vector<Offset<wire::EncodedItem>> tables;
        tables.reserve(body.changes.items.size());
        for (const auto& item : body.changes.items) {
            const auto name = this->out.CreateString(item.name);
            const auto text = this->out.CreateString(item.text);
            tables.push_back(wire::CreateEncodedItem(this->out, name, item.revision, text));
        }
        const auto items = this->out.CreateVector(tables);
        const auto removed = this->out.CreateVectorOfStrings(body.changes.removed);
        const auto table = wire::CreateCatalogReply(this->out, body.sequence, number(body.collection_id), body.changes.complete,
                                                    items, removed, body.revision, body.last_change, body.age.count);
        return {wire::Body::CatalogReply, table.Union()};
    }

    encoded_body operator()(const coordinator_update& body) const {
        const auto host = write_member(this->out, body.record.host);
        const auto nonce = this->out.CreateString(body.record.nonce);
        const auto table = wire::CreateCoordinatorUpdate(this->out, host, nonce, body.record.fence, body.revision);
        return {wire::Body::CoordinatorUpdate, table.Union()};
    }

    encoded_body operator()(const usage_report& body) const {
        std::vector<Offset<wire::WindowCounts>> windows;
        windows.reserve(body.windows.size());
        for (const auto& [window, counts] : body.windows) {
            std::vector<Offset<wire::WorkspaceCount>> tables;
            tables.reserve(counts.size());
            for (const auto& [workspace, count] : counts) {
                tables.push_back(wire::CreateWorkspaceCount(this->out, this->out.CreateString(workspace), count));
            }
            windows.push_back(wire::CreateWindowCounts(this->out, window, this->out.CreateVector(tables)));
        }
        const auto nonce = this->out.CreateString(body.nonce);
        const auto all = this->out.CreateVector(windows);
        const auto table = wire::CreateUsageReport(this->out, nonce, body.sent.since_start, body.clock_ms, body.agreed_ms, all);
        return {wire::Body::UsageReport, table.Union()};
    }

    encoded_body operator()(const usage_receipt& body) const {
        const auto table = wire::CreateUsageReceipt(this->out, body.fence, body.sent.since_start, body.settled, body.agreed_ms);
        return {wire::Body::UsageReceipt, table.Union()};
    }

private:
    FlatBufferBuilder& out;
};

}  // namespace

std::vector<std::uint8_t> encode(const peer_message& message) {
    FlatBufferBuilder out;
    const auto body = std::visit(body_writer(out), message.body);
    const auto from = out.CreateString(message.from);
    out.Finish(wire::CreateFrame(out, peer_protocol_version, from, body.type, body.table));
    if (out.GetSize() > peer_frame_limit) {
        throw format_error("peer message of " + std::to_string(out.GetSize()) + " bytes is above the limit of " +
                           std::to_string(peer_frame_limit));
    }
    return {out.GetBufferPointer(), out.GetBufferPointer() + out.GetSize()};
}

peer_message decode(std::span<const std::uint8_t> frame) {
    return peer_frame_reader(frame).read();
}

}  // namespace camphorstack
