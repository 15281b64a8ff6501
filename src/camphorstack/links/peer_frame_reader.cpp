#include "camphorstack/links/peer_frame_reader.hpp"

#include "camphorstack/links/peer_codec.hpp"
#include "camphorstack/support/errors.hpp"

namespace camphorstack {

namespace {

template <typename Enum>
Enum checked_enum(std::uint8_t value, Enum last) {
    if (value > static_cast<std::uint8_t>(last)) {
        throw format_error("peer frame: value " + std::to_string(value) + " is out of range of its enumeration");
    }
    return static_cast<Enum>(value);
}

std::int64_t check_not_negative(std::int64_t value) {
    if (value < 0) {
        throw format_error("peer frame: an age, amount or duration is negative");
    }
    return value;
}

template <typename Table>
const Table& require_table(const Table* table) {
    if (table == nullptr) {
        throw format_error("peer frame: a required table is missing");
    }
    return *table;
}

}  // namespace

peer_frame_reader::peer_frame_reader(std::span<const std::uint8_t> frame) : text_budget(frame.size()) {
    constexpr std::size_t smallest_frame = 8;
    constexpr flatbuffers::uoffset_t max_depth = 8;
    constexpr std::size_t smallest_table = 8;
    if (frame.size() < smallest_frame || frame.size() > peer_frame_limit) {
        throw format_error("peer frame: length of " + std::to_string(frame.size()) + " bytes is out of range");
    }
    const auto max_tables = static_cast<flatbuffers::uoffset_t>(frame.size() / smallest_table);
    flatbuffers::Verifier verifier(frame.data(), frame.size(), max_depth, max_tables);
    if (!wire::VerifyFrameBuffer(verifier)) {
        throw format_error("peer frame: does not verify against the schema");
    }
    this->root = wire::GetFrame(frame.data());
    if (this->root->version() != peer_protocol_version) {
        throw format_error("peer frame: unsupported protocol version " + std::to_string(this->root->version()));
    }
}

peer_message peer_frame_reader::read() {
    if (this->root->body() == nullptr) {
        throw format_error("peer frame: the body is missing");
    }
    std::string from = this->text(this->root->from());
    return {std::move(from), this->read_body()};
}

std::string peer_frame_reader::text(const flatbuffers::String* value) {
    if (value == nullptr) {
        return {};
    }
    if (value->size() > this->text_budget) {
        throw format_error("peer frame: several strings share storage");
    }
    this->text_budget -= value->size();
    return value->str();
}

member peer_frame_reader::read_member(const wire::Member* table) {
    const auto& source = require_table(table);
    member result;
    result.id = this->text(source.id());
    result.address = this->text(source.address());
    result.http_address = this->text(source.http_address());
    result.location = this->text(source.location());
    return result;
}

std::vector<member_update> peer_frame_reader::read_updates(
    const flatbuffers::Vector<flatbuffers::Offset<wire::MemberUpdate>>* tables) {
    std::vector<member_update> result;
    if (tables == nullptr) {
        return result;
    }
    for (const wire::MemberUpdate* table : *tables) {
        member subject = this->read_member(require_table(table).subject());
        result.push_back({std::move(subject), checked_enum(table->state(), member_state::dead), table->incarnation()});
    }
    return result;
}

peer_body peer_frame_reader::read(const wire::Probe& table) {
    return probe{table.sequence(), table.version(), table.members_epoch(), this->read_updates(table.updates())};
}

peer_body peer_frame_reader::read(const wire::ProbeAnswer& table) {
    probe_answer result{table.sequence(), table.version(), table.members_epoch(), this->read_updates(table.updates()), {}};
    if (table.evidence() != nullptr) {
        for (const wire::Evidence* entry : *table.evidence()) {
            result.evidence.push_back({this->text(require_table(entry).watcher()), entry->version(), entry->members_epoch(),
                                       entry->platform_confirmed(), millis{check_not_negative(entry->age_ms())}});
        }
    }
    return result;
}

peer_body peer_frame_reader::read(const wire::MembersReply& table) {
    members_reply result;
    result.members.epoch = table.epoch();
    if (table.hosts() != nullptr) {
        for (const wire::Member* host : *table.hosts()) {
            result.members.hosts.push_back(this->read_member(host));
        }
    }
    return result;
}

peer_body peer_frame_reader::read(const wire::ForwardRequest& table) {
    database_request request;
    request.id = this->text(table.id());
    request.workspace = this->text(table.workspace());
    request.database = this->text(table.database());
    request.kind = checked_enum(table.kind(), request_kind::rollback);
    request.idempotent = table.idempotent();
    request.idempotency_key = this->text(table.idempotency_key());
    request.statement = this->text(table.statement());
    request.session = {table.session_term(), table.session_index()};
    if (table.max_age_ms()) {
        request.max_age = millis{check_not_negative(*table.max_age_ms())};
    }
    request.transaction = this->text(table.transaction());
    request.time_left = millis{table.time_left_ms()};
    return forward_request{std::move(request)};
}

peer_body peer_frame_reader::read(const wire::ForwardReply& table) {
    database_reply reply;
    reply.id = this->text(table.id());
    reply.outcome = checked_enum(table.outcome(), request_outcome::unknown);
    reply.reason = checked_enum(table.reason(), refusal::transaction_lost);
    reply.body = this->text(table.body());
    reply.session = {table.session_term(), table.session_index()};
    reply.transaction = this->text(table.transaction());
    reply.served_by = this->text(table.served_by());
    return forward_reply{std::move(reply)};
}

std::vector<std::string> peer_frame_reader::texts(const flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>* values) {
    std::vector<std::string> result;
    if (values != nullptr) {
        for (const auto* value : *values) {
            result.push_back(this->text(value));
        }
    }
    return result;
}

peer_body peer_frame_reader::read(const wire::RunRequest& table) {
    run_request request;
    request.id = table.id();
    request.endpoint = this->text(table.endpoint());
    request.workspace = this->text(table.workspace());
    request.kind = checked_enum(table.kind(), run_kind::status);
    request.statement_id = this->text(table.statement_id());
    request.text = this->text(table.text());
    if (table.is_prepared()) {
        request.prepared = prepared_shape{this->text(table.prepared_shape()), table.prepared_writes()};
    }
    if (table.has_after()) {
        request.after = log_position{table.after_term(), table.after_index()};
    }
    if (table.values() != nullptr) {
        for (const wire::SessionValue* item : *table.values()) {
            auto name = this->text(require_table(item).name());
            request.values.push_back({std::move(name), this->text(item->value())});
        }
    }
    request.transaction = table.transaction();
    request.start = checked_enum(table.start(), transaction_start::read_only);
    request.round = table.round();
    request.statement_timeout = millis{check_not_negative(table.statement_timeout_ms())};
    request.queue_timeout = millis{check_not_negative(table.patience_ms())};
    request.priority = table.priority();
    request.accepts_known_position = table.accepts_known_position();
    request.start_target = millis{check_not_negative(table.start_target_ms())};
    request.database = this->text(table.database());
    return request;
}

peer_body peer_frame_reader::read(const wire::RunResult& table) {
    run_result result;
    result.id = table.id();
    result.outcome = checked_enum(table.outcome(), run_outcome::lost);
    result.code = checked_enum(table.code(), result_code::malformed);
    result.text = this->text(table.text());
    result.rows = this->texts(table.rows());
    result.proof = this->text(table.proof());
    result.state = checked_enum(table.state(), session_state::failed);
    if (table.has_position()) {
        result.position = log_position{table.position_term(), table.position_index()};
    }
    result.round = table.round();
    result.wait = millis{check_not_negative(table.wait_ms())};
    result.transaction_open = table.transaction_open();
    if (table.has_status()) {
        result.status = endpoint_self_report{table.is_primary(), table.status_term(),
                                             log_position{table.received_term(), table.received_index()}, millis{table.lag_ms()}};
    }
    if (table.has_known()) {
        result.known = known_position{table.known_round(), log_position{table.known_term(), table.known_index()},
                                      millis{check_not_negative(table.known_age_ms())}};
    }
    return result;
}

peer_body peer_frame_reader::read(const wire::MembershipReport& table) {
    membership_report report;
    report.host = this->read_member(table.host());
    report.nonce = this->text(table.nonce());
    report.stage = checked_enum(table.stage(), host_stage::exiting);
    report.suspected = this->texts(table.suspected());
    report.sequence = table.sequence();
    return report;
}

peer_body peer_frame_reader::read(const wire::MembershipAnswer& table) {
    membership_answer answer{table.coordinates(), table.sequence(), {}};
    if (table.evidence() != nullptr) {
        for (const wire::CollectionEvidence* item : *table.evidence()) {
            answer.evidence.push_back({checked_enum(require_table(item).collection(), collection::fleet), item->last_change(),
                                       millis{check_not_negative(item->age_ms())}});
        }
    }
    return answer;
}

peer_body peer_frame_reader::read(const wire::CatalogReply& table) {
    catalog_reply reply;
    reply.sequence = table.sequence();
    reply.collection_id = checked_enum(table.collection(), collection::fleet);
    reply.changes.complete = table.complete();
    if (table.items() != nullptr) {
        for (const wire::EncodedItem* item : *table.items()) {
            reply.changes.items.push_back({this->text(require_table(item).name()), item->revision(), this->text(item->text())});
        }
    }
    reply.changes.removed = this->texts(table.removed());
    reply.revision = table.revision();
    reply.last_change = table.last_change();
    reply.age = millis{check_not_negative(table.age_ms())};
    return reply;
}

peer_body peer_frame_reader::read(const wire::UsageReport& table) {
    usage_report report;
    report.nonce = this->text(table.nonce());
    report.sent = instant{table.sent()};
    report.clock_ms = check_not_negative(table.clock_ms());
    report.agreed_ms = check_not_negative(table.agreed_ms());
    if (table.windows() != nullptr) {
        for (const wire::WindowCounts* window : *table.windows()) {
            auto& read = report.windows.emplace_back(window_counts{check_not_negative(require_table(window).window()), {}});
            if (window->counts() == nullptr) {
                continue;
            }
            for (const wire::WorkspaceCount* count : *window->counts()) {
                read.counts[this->text(require_table(count).workspace())] = count->count();
            }
        }
    }
    return report;
}

peer_body peer_frame_reader::read_body() {
    const wire::Frame& frame = *this->root;
    switch (frame.body_type()) {
        case wire::Body::Probe:
            return this->read(*frame.body_as_Probe());
        case wire::Body::ProbeAnswer:
            return this->read(*frame.body_as_ProbeAnswer());
        case wire::Body::RelayProbe:
            return relay_probe{this->text(frame.body_as_RelayProbe()->target()), frame.body_as_RelayProbe()->sequence()};
        case wire::Body::RelayAnswer:
            return relay_answer{this->text(frame.body_as_RelayAnswer()->target()), frame.body_as_RelayAnswer()->sequence()};
        case wire::Body::DocumentRequest:
            return document_request{};
        case wire::Body::DocumentReply:
            return document_reply{frame.body_as_DocumentReply()->version(), this->text(frame.body_as_DocumentReply()->text())};
        case wire::Body::MembersRequest:
            return members_request{};
        case wire::Body::MembersReply:
            return this->read(*frame.body_as_MembersReply());
        case wire::Body::ForwardRequest:
            return this->read(*frame.body_as_ForwardRequest());
        case wire::Body::ForwardReply:
            return this->read(*frame.body_as_ForwardReply());
        case wire::Body::LoanRequest: {
            const auto& table = *frame.body_as_LoanRequest();
            return loan_request{table.sequence(),
                                this->text(table.workspace()),
                                table.epoch(),
                                check_not_negative(table.tokens()),
                                check_not_negative(table.rate_per_s()),
                                millis{check_not_negative(table.duration_ms())}};
        }
        case wire::Body::LoanGrant: {
            const auto& table = *frame.body_as_LoanGrant();
            return loan_grant{table.sequence(),
                              this->text(table.workspace()),
                              table.epoch(),
                              check_not_negative(table.tokens()),
                              check_not_negative(table.rate_per_s()),
                              millis{check_not_negative(table.duration_ms())}};
        }
        case wire::Body::TokenRequest: {
            const auto& table = *frame.body_as_TokenRequest();
            return token_request{table.sequence(), this->text(table.workspace()), check_not_negative(table.operations())};
        }
        case wire::Body::TokenGrant: {
            const auto& table = *frame.body_as_TokenGrant();
            return token_grant{table.sequence(), this->text(table.workspace()), check_not_negative(table.operations()),
                               millis{check_not_negative(table.next_token_ms())}};
        }
        case wire::Body::RunRequest:
            return this->read(*frame.body_as_RunRequest());
        case wire::Body::RunResult:
            return this->read(*frame.body_as_RunResult());
        case wire::Body::TransactionLeft:
            return transaction_left{frame.body_as_TransactionLeft()->transaction()};
        case wire::Body::MembershipReport:
            return this->read(*frame.body_as_MembershipReport());
        case wire::Body::MembershipAnswer:
            return this->read(*frame.body_as_MembershipAnswer());
        case wire::Body::LeaderClosed:
            return leader_closed{this->text(frame.body_as_LeaderClosed()->database()), frame.body_as_LeaderClosed()->round()};
        case wire::Body::LeaderNews: {
            const auto& table = *frame.body_as_LeaderNews();
            leader_update update;
            update.record.database = this->text(table.database());
            update.record.endpoint = this->text(table.endpoint());
            update.record.phase = checked_enum(table.phase(), leader_phase::changing);
            update.record.planned = table.planned();
            update.record.round = table.round();
            update.revision = table.revision();
            return update;
        }
        case wire::Body::CatalogRequest: {
            const auto& table = *frame.body_as_CatalogRequest();
            return catalog_request{table.sequence(), checked_enum(table.collection(), collection::fleet), table.known(),
                                   table.wanted()};
        }
        case wire::Body::CatalogReply:
            return this->read(*frame.body_as_CatalogReply());
        case wire::Body::CoordinatorUpdate: {
            const auto& table = *frame.body_as_CoordinatorUpdate();
            return coordinator_update{{this->read_member(table.host()), this->text(table.nonce()), table.fence()},
                                      table.revision()};
        }
        case wire::Body::UsageReport:
            return this->read(*frame.body_as_UsageReport());
        case wire::Body::UsageReceipt: {
            const auto& table = *frame.body_as_UsageReceipt();
            return usage_receipt{table.fence(), instant{table.sent()}, check_not_negative(table.settled()),
                                 check_not_negative(table.agreed_ms())};
        }
        case wire::Body::NONE:
            break;
    }
    throw format_error("peer frame: unknown body type");
}

}  // namespace camphorstack
