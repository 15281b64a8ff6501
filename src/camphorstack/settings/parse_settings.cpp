#include <glib.h>

#include <set>
#include <string>

#include "camphorstack/hosts/evidence.hpp"
#include "camphorstack/settings/daemon_settings.hpp"
#include "camphorstack/settings/settings_reader.hpp"

namespace camphorstack {

namespace {

constexpr std::size_t min_secret_length = 16;
constexpr millis max_loan_duration{1000};
constexpr millis one_millisecond{1};
constexpr millis zero_duration{0};

member read_member(settings_reader& reader) {
    member result{reader.required_id("id"), reader.required_address("peer_address"), reader.required_address("http_address"),
                  reader.required_id("data_centre")};
    if (!result.address.empty() && result.address == result.http_address) {
        reader.add_error("http_address", "must differ from peer_address");
    }
    return result;
}

void read_membership(settings_reader& reader, membership_settings& target) {
    reader.optional_duration("probe_interval", one_millisecond, target.probe_interval);
    reader.optional_duration("probe_timeout", one_millisecond, target.probe_timeout);
    reader.optional_duration("relay_timeout", one_millisecond, target.relay_timeout);
    reader.optional_duration("suspicion_time", one_millisecond, target.suspicion_time);
    reader.optional_count("relays", target.relays);
    reader.optional_count("max_updates", target.max_updates);
}

void read_shares(settings_reader& reader, share_settings& target) {
    reader.optional_duration("loan_duration", one_millisecond, target.loan_duration);
    reader.optional_duration("changeover", one_millisecond, target.changeover);
    reader.optional_count("max_holders", target.max_holders);
    reader.optional_count("all_hold_up_to", target.all_hold_up_to);
    if (target.loan_duration > max_loan_duration) {
        reader.add_error("loan_duration", "must be at most " + std::to_string(max_loan_duration.count) + "ms");
    }
    // A host may use the old member list until its evidence is stale. A loan granted just before may still be valid after that.
    const millis max_old_epoch_lifetime = evidence_lifetime + target.loan_duration;
    target.share_delay = target.changeover;
    if (target.changeover <= max_old_epoch_lifetime) {
        reader.add_error("changeover", "must be more than " + std::to_string(max_old_epoch_lifetime.count) +
                                           "ms, the time for which" + " evidence and a loan can outlive a member list");
    }
}

void read_group(settings_reader& reader, group_settings& target) {
    reader.optional_duration("probe_interval", one_millisecond, target.probe_interval);
    reader.optional_duration("suspect_after", one_millisecond, target.suspect_after);
    reader.optional_duration("statement_timeout", one_millisecond, target.statement_timeout);
    reader.optional_duration("connect_timeout", one_millisecond, target.connect_timeout);
    reader.optional_duration("replica_wait", zero_duration, target.replica_wait);
    reader.optional_duration("idle_proof_after", one_millisecond, target.idle_proof_after);
    reader.optional_duration("transaction_lifetime", one_millisecond, target.transaction_lifetime);
    reader.optional_duration("fence_timeout", one_millisecond, target.fence_timeout);
    reader.optional_count("queue_limit", target.queue_limit);
    if (target.suspect_after <= target.probe_interval) {
        reader.add_error("suspect_after", "must be more than probe_interval, or every primary would be suspected");
    }
}

void read_host(settings_reader& reader, host_settings& target) {
    reader.optional_duration("confirm_interval", one_millisecond, target.confirm_interval);
    reader.optional_duration("platform_timeout", one_millisecond, target.platform_timeout);
    reader.optional_duration("dead_time", one_millisecond, target.dead_time);
    reader.optional_duration("loan_patience", zero_duration, target.loan_timeout);
    reader.optional_duration("forward_patience", one_millisecond, target.forward_timeout);
    reader.optional_duration("stop_grace", zero_duration, target.stop_grace);
    reader.optional_count("push_fanout", target.push_fanout);
    if (target.confirm_interval + target.platform_timeout >= evidence_lifetime) {
        reader.add_error("confirm_interval", "with platform_timeout must be less than " +
                                                 std::to_string(evidence_lifetime.count) +
                                                 "ms, or evidence would become stale before it is renewed");
    }
}

/// Reads an optional mapping by calling `read(reader, target)`.
template <typename Target, typename Read>
void read_section(settings_reader& parent, settings_errors& errors, const char* name, Target& target, Read read) {
    const YAML::Node node = parent.child(name);
    if (!node.IsDefined() || node.IsNull()) {
        return;
    }
    if (!node.IsMap()) {
        parent.add_error(name, "must be a mapping");
        return;
    }
    settings_reader reader{errors, node, name};
    read(reader, target);
    reader.reject_unknown_keys();
}

void read_seeds(settings_reader& parent, settings_errors& errors, host_settings& target) {
    const YAML::Node list = parent.child("seeds");
    if (!list.IsDefined() || list.IsNull()) {
        return;
    }
    if (!list.IsSequence()) {
        parent.add_error("seeds", "must be a list");
        return;
    }
    std::set<std::string> ids;
    std::set<std::string> addresses;
    for (std::size_t i = 0; i < list.size(); ++i) {
        const YAML::Node node = list[i];
        const std::string path = "seeds[" + std::to_string(i) + "]";
        if (!node.IsMap()) {
            errors.add(node.Mark().line + 1, path + ": must be a mapping");
            continue;
        }
        settings_reader reader{errors, node, path};
        const member seed = read_member(reader);
        reader.reject_unknown_keys();
        if (!seed.id.empty() && !ids.insert(seed.id).second) {
            reader.add_error("id", "duplicate id \"" + seed.id + "\"");
        }
        if (!seed.address.empty() && !addresses.insert(seed.address).second) {
            reader.add_error("peer_address", "duplicate address " + seed.address);
        }
        if (seed.id != target.self.id) {
            target.seeds.push_back(seed);
        } else if (seed != target.self) {
            // All hosts may use the same list of seeds, so the list may contain this host, but no other host with this host's id.
            reader.add_error("id", "duplicate id \"" + seed.id + "\": this host has the same id but other addresses");
        }
    }
}

daemon_settings read_root(const YAML::Node& root, settings_errors& errors) {
    daemon_settings result;
    settings_reader reader{errors, root, ""};
    result.host.self = read_member(reader);
    result.platform_address = reader.required_address("platform_address");
    result.fleet_secret = reader.required_secret("fleet_secret", min_secret_length);
    result.host.token_secret = reader.required_secret("token_secret", min_secret_length);
    read_seeds(reader, errors, result.host);
    read_section(reader, errors, "membership", result.host.membership, read_membership);
    read_section(reader, errors, "shares", result.host.shares, read_shares);
    read_section(reader, errors, "group", result.host.group, read_group);
    read_section(reader, errors, "host", result.host, read_host);
    reader.reject_unknown_keys();
    return result;
}

}  // namespace

daemon_settings parse_settings(const std::string& text, const std::string& file) {
    settings_errors errors{file, {}};
    daemon_settings result;
    try {
        if (g_utf8_validate(text.data(), static_cast<gssize>(text.size()), nullptr) == FALSE) {
            errors.add(1, "text is not valid UTF-8");
            errors.throw_if_any();
        }
        const YAML::Node root = YAML::Load(text);
        if (root.IsMap()) {
            result = read_root(root, errors);
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
