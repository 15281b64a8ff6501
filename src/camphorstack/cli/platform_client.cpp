#include "camphorstack/cli/platform_client.hpp"

#include "camphorstack/cli/http_client.hpp"
#include "camphorstack/document/json_tree.hpp"

namespace camphorstack {

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_conflict = 409;

/// Parses {"version": N, "value": {...}} into `answer`. Returns false if the body does not have this form.
bool read_body(const std::string& body, platform_answer& answer) {
    const json_tree tree{body};
    const auto version = integer_member(tree.root(), "version");
    if (!version || *version < 0) {
        return false;
    }
    answer.version = static_cast<std::uint64_t>(*version);
    if (json_object_has_member(tree.root(), "value") != FALSE) {
        answer.value = to_json_text(json_object_get_member(tree.root(), "value"));
    }
    return true;
}

}  // namespace

platform_answer call_platform(const std::string& address, const platform_call& call) {
    const std::string path = "/objects/" + call.object;
    const bool is_write = call.operation == platform_operation::write;
    const auto reply =
        is_write ? http_put(address, path + "?version=" + std::to_string(call.expected_version), call.value, platform_timeout_s)
                 : http_get(address, path, platform_timeout_s);
    platform_answer answer;
    answer.id = call.id;
    if (reply.status == status_not_found) {
        answer.status = platform_status::not_found;
    } else if ((reply.status == status_ok || reply.status == status_conflict) && read_body(reply.body, answer)) {
        answer.status = reply.status == status_ok ? platform_status::ok : platform_status::conflict;
    }
    return answer;
}

}  // namespace camphorstack
