#include "camphorstack/cli/fleet_explanation.hpp"

#include <algorithm>
#include <utility>

#include "camphorstack/cli/table.hpp"
#include "camphorstack/support/json.hpp"

namespace camphorstack {

fleet_explanation merge_explanations(const std::vector<host_explanation>& hosts, std::vector<std::string> unreachable_hosts,
                                     std::size_t max_decisions) {
    fleet_explanation merged;
    merged.unreachable_hosts = std::move(unreachable_hosts);
    for (const auto& host : hosts) {
        std::ranges::copy(host.decisions, std::back_inserter(merged.decisions));
        for (const auto& [reason, count] : host.refused) {
            merged.refused[reason] += count;
        }
    }
    // Stable, so that decisions of one host within the same millisecond keep their order.
    std::ranges::stable_sort(merged.decisions, std::ranges::greater{}, &explained_decision::age_ms);
    if (merged.decisions.size() > max_decisions) {
        merged.decisions.erase(merged.decisions.begin(), merged.decisions.end() - static_cast<std::ptrdiff_t>(max_decisions));
    }
    return merged;
}

std::string format_explanation(const fleet_explanation& explanation) {
    std::vector<std::vector<std::string>> rows{{"AGE", "HOST", "DECISION", "SUBJECT", "OBSERVATIONS"}};
    for (const auto& item : explanation.decisions) {
        rows.push_back({std::to_string(item.age_ms) + "ms", item.host, item.kind, item.subject, item.observations});
    }
    std::string text = format_table(rows) + "\nrefused: " + format_counts(explanation.refused) + "\n";
    for (const auto& host : explanation.unreachable_hosts) {
        text += "no answer: " + host + "\n";
    }
    return text;
}

std::string format_explanation_json(const fleet_explanation& explanation) {
    json_writer out;
    out.begin_object().name("decisions").begin_array();
    for (const auto& item : explanation.decisions) {
        out.begin_object().field("host", item.host).field("age_ms", item.age_ms).field("kind", item.kind);
        out.field("subject", item.subject).field("observations", item.observations).end_object();
    }
    out.end_array().name("refused").begin_object();
    for (const auto& [reason, count] : explanation.refused) {
        out.field(reason.c_str(), count);
    }
    out.end_object().name("no_answer").begin_array();
    std::ranges::for_each(explanation.unreachable_hosts, [&](const auto& host) { out.value(host); });
    out.end_array().end_object();
    return out.text();
}

}  // namespace camphorstack
