#include "camphorstack/cli/request_story.hpp"

#include <algorithm>
#include <charconv>
#include <optional>
#include <set>
#include <sstream>

namespace camphorstack {

namespace {

/// Beliefs from this long before a request's line may have decided it; evidence of the store lives for 3.9 s.
constexpr std::int64_t shown_before_ms = 6000;
/// The operation may have begun this long before its line, which is written at its end, and what it met may be noticed later.
constexpr std::int64_t shown_after_ms = 1500;

/// Events that change what a host believes of all requests.
const std::set<std::string> general_events{
    "store_lost",       "store_reached",  "serving_stopped",   "serving_started",     "peer_lost",       "peer_regained",
    "host_started",     "stop_requested", "stopped",           "host_ended",          "members_adopted", "coordinator_adopted",
    "document_adopted", "settings_taken", "settings_reloaded", "evacuations_changed", "duty_taken",      "duty_lost"};

struct log_line {
    std::string text;
    std::string event;
    std::optional<std::int64_t> at;  ///< On the host's clock.
};

/// Value of a field "name=value"; the value ends at a blank, or at the closing quote.
std::string field(const std::string& text, const std::string& name) {
    const auto key = name + "=";
    auto place = text.find(key);
    while (place != std::string::npos && place > 0 && text[place - 1] != ' ') {
        place = text.find(key, place + 1);
    }
    if (place == std::string::npos) {
        return {};
    }
    const auto begin = place + key.size();
    const bool quoted = begin < text.size() && text[begin] == '"';
    const auto end = quoted ? text.find('"', begin + 1) : text.find(' ', begin);
    return text.substr(begin, end == std::string::npos ? end : end - begin + (quoted ? 1 : 0));
}

std::vector<log_line> read_lines(const std::string& text) {
    std::vector<log_line> lines;
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);) {
        log_line read{line, field(line, "event"), std::nullopt};
        const auto at = field(line, "t");
        std::int64_t value = 0;
        if (std::from_chars(at.data(), at.data() + at.size(), value).ec == std::errc()) {
            read.at = value;
        }
        if (!read.event.empty()) {
            lines.push_back(std::move(read));
        }
    }
    return lines;
}

/// What a request's lines name.
struct story_subject {
    std::set<std::string> services;
    std::set<std::string> endpoints;

    void add(const std::string& text) {
        this->services.insert(field(text, "service"));
        this->endpoints.insert(field(text, "endpoint"));
    }
    /// True for a line about the request's database or endpoint.
    [[nodiscard]] bool concerns(const log_line& line) const {
        const auto database = field(line.text, "database");
        const auto endpoint = field(line.text, "endpoint");
        const bool is_request = line.event.starts_with("request_");
        return !is_request && ((!database.empty() && this->services.contains(database)) ||
                               (!endpoint.empty() && this->endpoints.contains(endpoint)));
    }
};

}  // namespace

std::vector<story_line> tell_request(const std::vector<process_log>& logs, const std::string& request) {
    std::vector<story_line> story;
    std::vector<std::vector<log_line>> parsed;
    story_subject subject;
    parsed.reserve(logs.size());
    const auto names_request = [&request](const log_line& line) { return field(line.text, "request") == request; };
    for (const auto& log : logs) {
        parsed.push_back(read_lines(log.text));
        for (const auto& line : parsed.back()) {
            if (names_request(line)) {
                subject.add(line.text);
            }
        }
    }
    for (std::size_t i = 0; i < logs.size(); ++i) {
        const auto first = std::ranges::find_if(parsed[i], names_request);
        if (first == parsed[i].end()) {
            continue;
        }
        for (const auto& line : parsed[i]) {
            const bool own = names_request(line);
            const bool near =
                first->at && line.at && *line.at >= *first->at - shown_before_ms && *line.at <= *first->at + shown_after_ms;
            if (own || (near && (general_events.contains(line.event) || subject.concerns(line)))) {
                story.push_back({logs[i].name, own, line.text});
            }
        }
    }
    return story;
}

std::string format_story(const std::vector<story_line>& story) {
    std::string text;
    std::string shown;
    for (const auto& line : story) {
        if (line.log != shown) {
            text += line.log + ":\n";
            shown = line.log;
        }
        text += (line.is_request ? "> " : "  ") + line.text + "\n";
    }
    return text;
}

}  // namespace camphorstack
