#include "camphorstack/cli/fleet_explanation.hpp"

#include <algorithm>
#include <utility>

#include "camphorstack/cli/json_writer.hpp"
#include "camphorstack/cli/table.hpp"

namespace camphorstack {

fleet_explanation merge_explanations(const std::vector<host_explanation>& hosts, std::vector<std::string> silent,
                                     std::size_t last) {
    fleet_explanation merged;
    merged.silent = std::move(silent);
    for (const auto& host : hosts) {
        std::ranges::copy(host.decisions, std::back_inserter(merged.decisions));
        for (const auto& [reason, count] : host.refused) {
            merged.refused[reason] += count;
        }
    }
    // Stable, so that decisions of one host within the same millisecond keep their order.
    std::ranges::stable_sort(merged.decisions, std::ranges::greater{}, &explained_decision::age_ms);
    if (merged.decisions.size() > last) {
        merged.decisions.erase(merged.decisions.begin(), merged.decisions.end() - static_cast<std::ptrdiff_t>(last));
    }
    return merged;
}

std::string format_explanation(const fleet_explanation& explanation) {
    std::vector<std::vector<std::string>> rows{{"AGE", "HOST", "DECISION", "SUBJECT", "OBSERVATIONS"}};
    for (const auto& item : explanation.decisions) {
        rows.push_back({std::to_string(item.age_ms) + "ms", item.host, item.kind, item.subject, item.observations});
    }
    std::string text = format_table(rows) + "\nrefused: " + format_counts(explanation.refused) + "\n";
    for (const auto& host : explanation.silent) {
        text += "no answer: " + host + "\n";
    }
    return text;
}

std::string format_explanation_json(const fleet_explanation& explanation) {
    json_writer out;
    out.objects("decisions", explanation.decisions, [&](const auto& item) {
        out.text("host", item.host);
        out.number("age_ms", item.age_ms);
        out.text("kind", item.kind);
        out.text("subject", item.subject);
        out.text("observations", item.observations);
    });
    out.counts("refused", explanation.refused);
    out.objects("no_answer", explanation.silent, [&](const auto& host) { out.text("host", host); });
    return out.finish();
}

}  // namespace camphorstack
