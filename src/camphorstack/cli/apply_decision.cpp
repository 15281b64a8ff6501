#include "camphorstack/cli/apply_decision.hpp"

#include "camphorstack/document/document_file.hpp"

namespace camphorstack {

namespace {

apply_result make_failure(const apply_state& state) {
    if (state.unconfirmed_write) {
        return {apply_outcome::unknown, 0,
                "the platform's answer to the write was lost and the platform does not answer; change id " +
                    state.change.change_id + ", expected version " + std::to_string(*state.unconfirmed_write)};
    }
    return {apply_outcome::unreachable, 0,
            "gave up after " + std::to_string(state.calls) + " calls: the platform did not answer or other changes came first"};
}

apply_action make_call(apply_state& state, platform_call call) {
    if (state.calls >= max_apply_calls) {
        return make_failure(state);
    }
    call.id = static_cast<call_id>(++state.calls);
    call.object = "document";
    state.last_operation = call.operation;
    return call;
}

apply_action read_document(apply_state& state) {
    return make_call(state, {0, platform_operation::read, "", 0, ""});
}

/// Returns the result of a conflict. An unconfirmed write that took effect made version `unconfirmed_write + 1`: it took no
/// effect if the document shows that another change made that version. If the document no longer shows which change made that
/// version, the write may have taken effect and been replaced since, so the outcome is unknown.
apply_result conflict_result(const apply_state& state, const std::string& current, const section_conflict& conflict) {
    if (state.unconfirmed_write && !has_change_at(current, *state.unconfirmed_write + 1)) {
        return {apply_outcome::unknown, 0,
                "the platform's answer to the write of version " + std::to_string(*state.unconfirmed_write + 1) +
                    " was lost, and " + conflict.what() + ": this change was either replaced or never made"};
    }
    return {apply_outcome::conflict, 0, conflict.what()};
}

apply_action merge_and_write(apply_state& state, document_version version, const std::string& current) {
    // Checked even if no answer was lost: an HTTP client may repeat a PUT by itself when a connection breaks, and the
    // repetition then conflicts with the first PUT.
    const auto section = find_section(current, state.change.section);
    if (section && is_last_change(current, state.change.section, state.change.change_id)) {
        return apply_result{apply_outcome::accepted, section->version, ""};
    }
    if (!state.read_version) {
        state.read_version = section ? section->version : 0;
    }
    state.change.read_version = *state.read_version;
    try {
        auto merged = merge_section(current, version, state.change);
        // The section is unchanged, and a write that expects an older version of the document can no longer take effect.
        if (state.unconfirmed_write && version > *state.unconfirmed_write) {
            state.unconfirmed_write.reset();
        }
        state.expected_version = version;
        return make_call(state, {0, platform_operation::write, "", version, std::move(merged)});
    } catch (const section_conflict& conflict) {
        return conflict_result(state, current, conflict);
    } catch (const document_error& failure) {
        return apply_result{apply_outcome::invalid, 0, failure.what()};
    }
}

}  // namespace

apply_action start_apply(apply_state& state) {
    return read_document(state);
}

apply_action continue_apply(apply_state& state, const platform_answer& answer) {
    const bool was_write = state.last_operation == platform_operation::write;
    const bool shows_document =
        answer.status == platform_status::conflict || (answer.status == platform_status::ok && !was_write);
    if (shows_document && answer.value.empty()) {
        // An answer without a value must not be treated as an empty document: the merge would drop the other sections.
        return read_document(state);
    }
    switch (answer.status) {
        case platform_status::ok:
            return was_write ? apply_action{apply_result{apply_outcome::accepted, answer.version, ""}}
                             : merge_and_write(state, answer.version, answer.value);
        case platform_status::conflict:
            return merge_and_write(state, answer.version, answer.value);
        case platform_status::not_found:
            return was_write ? read_document(state) : merge_and_write(state, 0, "");
        case platform_status::unavailable:
            break;
    }
    if (was_write) {
        state.unconfirmed_write = state.expected_version;
    }
    return read_document(state);
}

}  // namespace camphorstack
