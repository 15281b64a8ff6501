#include "camphorstack/cli/load_http.hpp"

#include <json-glib/json-glib.h>

#include <utility>

#include "camphorstack/support/json.hpp"

namespace camphorstack {

namespace {

/// Time after its deadline at which a request without an answer is abandoned.
constexpr guint answer_grace_s = 3;
constexpr guint ms_per_s = 1000;

bool is_safe_to_repeat(const load_request& request) {
    return request.kind == request_kind::read || !request.idempotency_key.empty();
}

}  // namespace

struct load_http::open_request {
    load_http* owner = nullptr;
    load_request request;
    load_transport::callback done;
    std::size_t refused_connections = 0;
    g_pointer<SoupMessage> message;
};

void load_http::on_finished(GObject* session, GAsyncResult* result, gpointer data) {
    std::unique_ptr<open_request> finished(static_cast<open_request*>(data));
    GError* raw_failure = nullptr;
    GBytes* bytes = soup_session_send_and_read_finish(SOUP_SESSION(session), result, &raw_failure);
    const g_error_pointer failure(raw_failure);
    load_answer answer;
    if (bytes != nullptr) {
        gsize size = 0;
        const auto* text = static_cast<const char*>(g_bytes_get_data(bytes, &size));
        answer = read_load_answer(std::string(text == nullptr ? "" : text, size));
        g_bytes_unref(bytes);
    } else if (g_error_matches(failure.get(), G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED)) {
        answer.outcome = request_outcome::not_run;
        const auto targets = finished->owner->plan.targets.size();
        if (++finished->refused_connections < targets) {
            finished->request.target = (finished->request.target + 1) % targets;
            auto* const owner = finished->owner;
            owner->start(std::move(finished));
            return;
        }
    }
    finished->done(answer);
}

load_http::load_http(const load_plan& offered) : plan(offered) {
    const auto max_connections = static_cast<int>(offered.sessions * offered.workspaces.size() * offered.targets.size());
    const auto timeout_s = static_cast<guint>(offered.timeout.count) / ms_per_s + answer_grace_s;
    this->session = g_adopt(soup_session_new_with_options("max-conns", max_connections, "max-conns-per-host", max_connections,
                                                          "timeout", timeout_s, nullptr));
}

void load_http::send(const load_request& request, callback done) {
    auto open = std::make_unique<open_request>();
    open->owner = this;
    open->request = request;
    open->done = std::move(done);
    this->start(std::move(open));
}

void load_http::start(std::unique_ptr<open_request> open) {
    const auto& request = open->request;
    const auto url = "http://" + this->plan.targets[request.target] + load_path(request.kind);
    open->message = g_adopt(soup_message_new("POST", url.c_str()));
    if (!request.key.empty()) {
        soup_message_headers_append(soup_message_get_request_headers(open->message.get()), "Authorization",
                                    ("Bearer " + request.key).c_str());
    }
    const auto body = load_body(request, this->plan);
    GBytes* bytes = g_bytes_new(body.data(), body.size());
    soup_message_set_request_body_from_bytes(open->message.get(), "application/json", bytes);
    g_bytes_unref(bytes);
    if (is_safe_to_repeat(request)) {
        // With this flag libsoup reuses connections, and repeats the request if a reused connection was closed. Each other
        // request gets a new connection, so that the load never sends it twice.
        soup_message_add_flags(open->message.get(), SOUP_MESSAGE_IDEMPOTENT);
    }
    auto* const data = open.release();
    soup_session_send_and_read_async(this->session.get(), data->message.get(), G_PRIORITY_DEFAULT, nullptr,
                                     &load_http::on_finished, data);
}

std::string load_path(request_kind kind) {
    switch (kind) {
        case request_kind::begin:
            return "/v1/begin";
        case request_kind::commit:
            return "/v1/commit";
        case request_kind::rollback:
            return "/v1/rollback";
        case request_kind::read:
        case request_kind::write:
        case request_kind::statement:
            break;
    }
    return "/v1/statement";
}

std::string load_body(const load_request& request, const load_plan& plan) {
    const bool is_statement = load_path(request.kind) == "/v1/statement";
    json_writer out;
    out.begin_object().field("route", plan.route).field("database", request.database).field("session", request.session_token);
    if (!request.transaction.empty()) {
        out.field("transaction", request.transaction);
    }
    if (is_statement) {
        out.field("statement", request.statement).field("timeout_ms", plan.timeout.count);
        if (request.kind != request_kind::statement) {
            out.field("kind", to_string(request.kind));
        }
    }
    if (!request.idempotency_key.empty()) {
        out.field("idempotency_key", request.idempotency_key).field("idempotent", true);
    }
    if (request.max_age) {
        out.field("max_age_ms", request.max_age->count);
    }
    out.end_object();
    return out.text();
}

load_answer read_load_answer(const std::string& body) {
    load_answer answer;
    const auto parser = g_adopt(json_parser_new());
    if (json_parser_load_from_data(parser.get(), body.data(), static_cast<gssize>(body.size()), nullptr) == FALSE) {
        return answer;
    }
    JsonNode* root = json_parser_get_root(parser.get());
    if (root == nullptr || !JSON_NODE_HOLDS_OBJECT(root)) {
        return answer;
    }
    JsonObject* object = json_node_get_object(root);
    const auto text = [object](const char* name) {
        return std::string(json_object_get_string_member_with_default(object, name, ""));
    };
    const auto outcome = text("outcome");
    answer.answered = !outcome.empty();
    answer.outcome = outcome == "done"      ? request_outcome::done
                     : outcome == "not_run" ? request_outcome::not_run
                                            : request_outcome::unknown;
    answer.reason = text("reason");
    answer.result = text("result");
    answer.session_token = text("session");
    answer.transaction = text("transaction");
    answer.served_by = text("served_by");
    return answer;
}

}  // namespace camphorstack
