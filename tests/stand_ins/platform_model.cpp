#include "stand_ins/platform_model.hpp"

namespace camphorstack::stand_ins {

namespace {

stored_object current(const platform_model& platform, const std::string& name) {
    const auto found = platform.objects.find(name);
    return found == platform.objects.end() ? stored_object{} : found->second;
}

platform_answer answer_with(const platform_call& call, platform_status status, const stored_object& object) {
    return {call.id, status, object.version, object.value, {}};
}

platform_answer read(const platform_model& platform, const platform_call& call) {
    const auto object = current(platform, call.object);
    return answer_with(call, object.version == 0 ? platform_status::not_found : platform_status::ok, object);
}

platform_answer write(platform_model& platform, const platform_call& call) {
    if (call.value.size() > max_value_bytes) {
        return answer_with(call, platform_status::unavailable, {});
    }
    const auto object = current(platform, call.object);
    if (object.version != call.expected_version) {
        return answer_with(call, platform_status::conflict, object);
    }
    platform.objects[call.object] = {object.version + 1, call.value};
    return {call.id, platform_status::ok, object.version + 1, "", {}};
}

platform_answer list_hosts(const platform_model& platform, const platform_call& call) {
    platform_answer answer{call.id, platform_status::ok, 0, "", {}};
    for (const auto& host : platform.hosts) {
        if (!host.leaving) {
            answer.hosts.push_back(host.subject);
        }
    }
    return answer;
}

}  // namespace

std::optional<platform_answer> run_call(platform_model& platform, std::uint64_t caller, const platform_call& call, instant now) {
    ++platform.calls[call.operation];
    switch (call.operation) {
        case platform_operation::read:
            return read(platform, call);
        case platform_operation::write:
            return write(platform, call);
        case platform_operation::hosts:
            return list_hosts(platform, call);
        case platform_operation::watch:
            break;
    }
    if (current(platform, call.object).version > call.expected_version) {
        return read(platform, call);
    }
    platform.watches.push_back({caller, call, now + platform.watch_time});
    return std::nullopt;
}

std::vector<watch_answer> due_watches(platform_model& platform, instant now) {
    std::vector<watch_answer> due;
    std::erase_if(platform.watches, [&](const pending_watch& watch) {
        const bool is_due = watch.deadline <= now || current(platform, watch.call.object).version > watch.call.expected_version;
        if (is_due) {
            due.push_back({watch.caller, read(platform, watch.call)});
        }
        return is_due;
    });
    return due;
}

void remove_watches(platform_model& platform, std::uint64_t caller) {
    std::erase_if(platform.watches, [caller](const pending_watch& watch) { return watch.caller == caller; });
}

}  // namespace camphorstack::stand_ins
