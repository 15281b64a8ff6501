#include <glib.h>

#include <algorithm>

#include "camphorstack/links/memory_account.hpp"
#include "camphorstack/settings/daemon_settings.hpp"
#include "camphorstack/settings/session_settings.hpp"
#include "camphorstack/settings/settings_reader.hpp"

namespace camphorstack {

namespace {

constexpr std::size_t min_secret_length = 16;
constexpr millis one_millisecond{1};
/// Maximum age of the document's evidence, in percent of `key_withdrawal`, the time in which a withdrawn key must stop working.
/// Requests with a key are refused if the evidence is older. The remaining time covers clocks that differ in speed.
/// The same holds for refusals and `document_in_force`, the time in which a new version must be in force.
constexpr std::int64_t document_lifetime_percent = 98;
constexpr std::int64_t percent = 100;

void read_regions(settings_reader& reader, session_host_settings& target) {
    const YAML::Node centres = reader.child("data_centres");
    if (!centres.IsDefined() || !centres.IsMap()) {
        reader.add_error("data_centres", "must map each data centre to its region");
        return;
    }
    for (const auto& entry : centres) {
        target.regions[entry.first.as<std::string>()] = entry.second.as<std::string>();
    }
}

void read_caller_limits(settings_reader& reader, session_settings& target) {
    auto& callers = target.callers;
    reader.optional_size("memory_limit", least_memory_limit, callers.memory_limit);
    reader.optional_count("descriptor_limit", callers.descriptor_limit);
    reader.optional_count("connections_per_address", callers.connections_per_address);
    reader.optional_duration("start_time", one_millisecond, callers.start_time);
    reader.optional_duration("message_time", one_millisecond, callers.message_time);
    reader.optional_duration("answer_time", one_millisecond, callers.answer_time);
    auto& entry = target.host.entry;
    reader.optional_size("session_state_limit", 1, entry.session_state_limit);
    entry.all_session_state_limit = memory_part_limit(callers.memory_limit);
}

session_settings read_session_root(const YAML::Node& root, settings_errors& errors) {
    session_settings result;
    settings_reader reader{errors, root, ""};
    auto& host = result.host;
    host.self = {reader.required_id("id"), reader.required_address("peer_address"), reader.required_address("callers_address"),
                 reader.required_id("data_centre")};
    result.readiness_address = reader.required_address("readiness_address");
    result.metrics_address = reader.required_address("metrics_address");
    result.store_address = reader.required_address("store_address");
    result.promotion_address = reader.required_address("promotion_address");
    result.fleet_secret = reader.required_secret("fleet_secret", min_secret_length);
    read_regions(reader, host);
    millis key_withdrawal{5000};
    millis document_in_force{5000};
    reader.optional_duration("stop_grace", one_millisecond, host.stop_grace);
    reader.optional_duration("key_withdrawal", one_millisecond, key_withdrawal);
    reader.optional_duration("document_in_force", one_millisecond, document_in_force);
    reader.optional_duration("usage_window", one_millisecond, host.usage.window);
    reader.optional_duration("usage_due", one_millisecond, host.usage.due);
    host.entry.document_lifetime = key_withdrawal * document_lifetime_percent / percent;
    host.entry.refusal_lifetime = document_in_force * document_lifetime_percent / percent;
    read_caller_limits(reader, result);
    if ((host.usage.window > millis{0}) != (host.usage.due > millis{0})) {
        reader.add_error("usage_window", "and usage_due must be given together");
    }
    reader.reject_unknown_keys();
    if (host.regions.find(host.self.location) == host.regions.end() && errors.lines.empty()) {
        reader.add_error("data_centre", "is not among data_centres");
    }
    return result;
}

}  // namespace

bool is_session_settings(const std::string& text) {
    try {
        const YAML::Node root = YAML::Load(text);
        return root.IsMap() && root["callers_address"].IsDefined();
    } catch (const YAML::Exception&) {
        return false;
    }
}

session_settings parse_session_settings(const std::string& text, const std::string& file, const settings_overrides& overrides) {
    std::string source = file;
    for (const auto& [setting, value] : overrides) {
        source += " with " + environment_name(setting) + "=" + value;
    }
    settings_errors errors{source, {}};
    session_settings result;
    try {
        if (g_utf8_validate(text.data(), static_cast<gssize>(text.size()), nullptr) == FALSE) {
            errors.add(1, "text is not valid UTF-8");
            errors.throw_if_any();
        }
        YAML::Node root = YAML::Load(text);
        if (root.IsMap()) {
            for (const auto& [setting, value] : overrides) {
                root[setting] = value;
            }
            result = read_session_root(root, errors);
        } else {
            errors.add(1, "must be a mapping of settings");
        }
    } catch (const YAML::Exception& failure) {
        errors.add(failure.mark.line + 1, "not valid YAML: " + failure.msg);
    }
    errors.throw_if_any();
    return result;
}

}  // namespace camphorstack
