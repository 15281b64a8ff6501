#include "camphorstack/links/caller_json.hpp"

#include <algorithm>
#include <string_view>
#include <vector>

#include "camphorstack/support/errors.hpp"
#include "camphorstack/support/json.hpp"

namespace camphorstack {

namespace {

/// Checks what json-glib does not: nesting (its parser recurses, so a deep text would overflow the stack), U+0000 (statements
/// are passed on as C strings, which would cut them off there) and valid UTF-8.
void check_body_text(const std::string& body) {
    if (g_utf8_validate(body.data(), static_cast<gssize>(body.size()), nullptr) == FALSE) {
        throw format_error("the body is not UTF-8 text");
    }
    bool in_string = false;
    int depth = 0;
    for (std::size_t i = 0; i < body.size(); ++i) {
        const char character = body[i];
        if (in_string && character == '\\') {
            if (body.compare(i, 6, "\\u0000") == 0) {
                throw format_error("a string holds the character U+0000");
            }
            ++i;
        } else if (character == '"') {
            in_string = !in_string;
        } else if (!in_string && (character == '{' || character == '[')) {
            if (++depth > 1) {
                throw format_error("the body must be one JSON object of simple values");
            }
        } else if (!in_string && (character == '}' || character == ']')) {
            --depth;
        }
    }
}

/// Takes fields out of a request's JSON object and rejects those that nobody asked for.
class field_reader {
public:
    explicit field_reader(const std::string& body) : parser(g_adopt(json_parser_new())) {
        check_body_text(body);
        const auto on_member = +[](JsonParser*, JsonObject*, const char*, gpointer count) { ++*static_cast<guint*>(count); };
        guint members = 0;
        g_signal_connect(this->parser.get(), "object-member", G_CALLBACK(on_member), &members);
        if (json_parser_load_from_data(this->parser.get(), body.data(), static_cast<gssize>(body.size()), nullptr) == FALSE) {
            throw format_error("the body is not valid JSON");
        }
        JsonNode* root = json_parser_get_root(this->parser.get());
        if (root == nullptr || !JSON_NODE_HOLDS_OBJECT(root)) {
            throw format_error("the body must be a JSON object");
        }
        this->object = json_node_get_object(root);
        // json-glib keeps the last of several fields of one name, where another reader may keep the first.
        if (members != json_object_get_size(this->object)) {
            throw format_error("a field is given more than once");
        }
    }

    bool has(const char* name) {
        this->requested_fields.emplace_back(name);
        return json_object_has_member(this->object, name) != FALSE;
    }

    std::string text(const char* name) {
        return this->has(name) ? json_node_get_string(this->typed_member(name, G_TYPE_STRING, "a string")) : "";
    }

    std::string required_text(const char* name) {
        std::string value = this->text(name);
        if (value.empty()) {
            throw format_error("field \"" + std::string(name) + "\" is missing or empty");
        }
        return value;
    }

    bool flag(const char* name) {
        return this->has(name) && json_node_get_boolean(this->typed_member(name, G_TYPE_BOOLEAN, "true or false")) != FALSE;
    }

    std::optional<millis> duration(const char* name, millis min_value, millis max_value) {
        if (!this->has(name)) {
            return std::nullopt;
        }
        const millis value{json_node_get_int(this->typed_member(name, G_TYPE_INT64, "a whole number"))};
        if (value < min_value || value > max_value) {
            throw format_error("field \"" + std::string(name) + "\" must be from " + std::to_string(min_value.count) + " to " +
                               std::to_string(max_value.count));
        }
        return value;
    }

    /// Throws if the object has a field that was not read.
    void reject_unknown_fields() const {
        GList* names = json_object_get_members(this->object);
        std::string unknown;
        for (const GList* item = names; item != nullptr; item = item->next) {
            const std::string_view name = static_cast<const char*>(item->data);
            if (std::ranges::find(this->requested_fields, name) == this->requested_fields.end()) {
                unknown = name;
            }
        }
        g_list_free(names);
        if (!unknown.empty()) {
            throw format_error("unknown field \"" + unknown + "\"");
        }
    }

private:
    JsonNode* typed_member(const char* name, GType type, const char* expected) {
        JsonNode* node = json_object_get_member(this->object, name);
        if (!JSON_NODE_HOLDS_VALUE(node) || json_node_get_value_type(node) != type) {
            throw format_error("field \"" + std::string(name) + "\" must be " + expected);
        }
        return node;
    }

    g_pointer<JsonParser> parser;
    JsonObject* object = nullptr;
    std::vector<std::string_view> requested_fields;
};

/// A year; larger bounds are surely a mistake of units.
constexpr millis max_age_limit{std::int64_t{365} * 24 * 3600 * 1000};

request_kind read_statement_kind(field_reader& fields, const std::string& transaction) {
    const std::string kind = fields.text("kind");
    if (!kind.empty() && kind != "read" && kind != "write") {
        throw format_error("field \"kind\" must be \"read\" or \"write\"");
    }
    if (!transaction.empty()) {
        return request_kind::statement;
    }
    if (kind.empty()) {
        throw format_error("field \"kind\" is missing or empty");
    }
    return kind == "read" ? request_kind::read : request_kind::write;
}

}  // namespace

caller_request parse_statement_body(const std::string& body) {
    field_reader fields(body);
    caller_request request;
    request.route = fields.required_text("route");
    request.database = fields.required_text("database");
    request.statement = fields.required_text("statement");
    request.transaction_token = fields.text("transaction");
    request.kind = read_statement_kind(fields, request.transaction_token);
    request.idempotent = fields.flag("idempotent");
    request.idempotency_key = fields.text("idempotency_key");
    request.max_age = fields.duration("max_age_ms", millis{0}, max_age_limit);
    request.session_token = fields.text("session");
    request.timeout = fields.duration("timeout_ms", millis{1}, max_caller_timeout).value_or(request.timeout);
    fields.reject_unknown_fields();
    return request;
}

caller_request parse_transaction_body(const std::string& body, request_kind kind) {
    field_reader fields(body);
    caller_request request;
    request.kind = kind;
    request.route = fields.required_text("route");
    request.database = fields.required_text("database");
    request.session_token = fields.text("session");
    if (kind != request_kind::begin) {
        request.transaction_token = fields.required_text("transaction");
    } else if (fields.has("transaction")) {
        throw format_error("field \"transaction\" does not belong to begin");
    }
    fields.reject_unknown_fields();
    return request;
}

std::string format_caller_reply(const caller_reply& reply) {
    json_writer out;
    out.begin_object();
    out.field("outcome", to_string(reply.outcome)).field("reason", to_string(reply.reason));
    out.field(reply.outcome == request_outcome::done ? "result" : "error", reply.body);
    out.field("session", reply.session_token).field("transaction", reply.transaction_token);
    out.field("served_by", reply.served_by).end_object();
    return out.text();
}

std::string format_caller_error(refusal reason, const std::string& text) {
    json_writer out;
    out.begin_object().field("outcome", to_string(request_outcome::not_run)).field("reason", to_string(reason));
    out.field("error", text).end_object();
    return out.text();
}

unsigned http_status(request_outcome outcome, refusal reason) {
    constexpr unsigned ok = 200;
    constexpr unsigned bad_request = 400;
    constexpr unsigned unauthorized = 401;
    constexpr unsigned forbidden = 403;
    constexpr unsigned conflict = 409;
    constexpr unsigned too_many_requests = 429;
    constexpr unsigned service_unavailable = 503;
    constexpr unsigned gateway_timeout = 504;
    if (outcome == request_outcome::done) {
        return ok;
    }
    if (outcome == request_outcome::unknown) {
        return gateway_timeout;
    }
    switch (reason) {
        case refusal::bad_request:
        case refusal::bad_token:
        case refusal::statement_refused:
            return bad_request;
        case refusal::bad_key:
            return unauthorized;
        case refusal::not_routed:
            return forbidden;
        case refusal::transaction_lost:
            return conflict;
        case refusal::over_rate:
        case refusal::queue_full:
            return too_many_requests;
        case refusal::none:
        case refusal::no_recent_document:
        case refusal::host_leaving:
        case refusal::owner_unreachable:
        case refusal::no_primary:
        case refusal::deadline:
        case refusal::connection_lost:
            return service_unavailable;
    }
    return service_unavailable;
}

}  // namespace camphorstack
