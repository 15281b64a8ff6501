#include "camphorstack/cli/request_trace.hpp"

#include <algorithm>
#include <charconv>
#include <optional>
#include <set>
#include <sstream>
#include <string_view>

#include "camphorstack/support/log_value.hpp"

namespace camphorstack {

namespace {

/// Lines from this long before a request's first line are included, since the host's state at that time may have decided the
/// outcome; evidence of the document expires after 4.9 s.
constexpr std::int64_t window_before_ms = 6000;
/// Lines up to this long after a request's first line are included. The first line is written when the operation ends, which can
/// be this long after the operation began, and the host may notice only later which fault the operation met.
constexpr std::int64_t window_after_ms = 1500;

/// Events that change a host's state for all requests.
const std::set<std::string> host_events{"store_lost",       "store_reached",  "serving_stopped",   "serving_started",
                                        "peer_lost",        "peer_regained",  "host_started",      "stop_requested",
                                        "stopped",          "host_ended",     "members_adopted",   "coordinator_adopted",
                                        "document_adopted", "settings_taken", "settings_reloaded", "evacuations_changed",
                                        "duty_taken",       "duty_lost",      "change_reported",   "change_not_relayed"};

struct log_line {
    std::string text;
    std::string event;
    std::optional<std::int64_t> time_ms;  ///< Time of the line on the host's clock.
};

/// Returns the end of the field that begins at `begin`: the next blank outside of quotes. A value is in quotes if it begins with
/// one; a backslash in it hides the next character.
std::size_t field_end(std::string_view text, std::size_t begin) {
    auto position = std::min(text.find_first_of(" =", begin), text.size());
    if (text.substr(position).starts_with("=\"")) {
        position += 2;
        while (position < text.size() && text[position] != '"') {
            position += text[position] == '\\' ? 2 : 1;
        }
    }
    return std::min(text.find(' ', position), text.size());
}

/// Returns the value of the first field "name=value", as the log has it; empty if there is none.
std::string field(std::string_view text, std::string_view name) {
    for (std::size_t begin = 0; begin < text.size();) {
        const auto end = field_end(text, begin);
        const auto candidate = text.substr(begin, end - begin);
        if (candidate.starts_with(name) && candidate.substr(name.size()).starts_with('=')) {
            return std::string(candidate.substr(name.size() + 1));
        }
        begin = end + 1;
    }
    return {};
}

std::vector<log_line> read_lines(const std::string& text) {
    std::vector<log_line> lines;
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);) {
        log_line read{line, field(line, "event"), std::nullopt};
        const auto time_text = field(line, "t");
        std::int64_t value = 0;
        if (std::from_chars(time_text.data(), time_text.data() + time_text.size(), value).ec == std::errc()) {
            read.time_ms = value;
        }
        if (!read.event.empty()) {
            lines.push_back(std::move(read));
        }
    }
    return lines;
}

/// Services and endpoints that a request's lines name. Other lines name a service in the field `database`.
struct traced_objects {
    std::set<std::string> services;
    std::set<std::string> endpoints;

    void add(const std::string& text) {
        this->services.insert(field(text, "service"));
        this->endpoints.insert(field(text, "endpoint"));
    }
    /// Returns true for a line about the request's database or endpoint that is not a line of a request.
    [[nodiscard]] bool concerns(const log_line& line) const {
        const auto database = field(line.text, "database");
        const auto endpoint = field(line.text, "endpoint");
        const bool is_request = line.event.starts_with("request_");
        return !is_request && ((!database.empty() && this->services.contains(database)) ||
                               (!endpoint.empty() && this->endpoints.contains(endpoint)));
    }
};

}  // namespace

std::vector<trace_line> trace_request(const std::vector<process_log>& logs, const std::string& request) {
    std::vector<trace_line> trace;
    std::vector<std::vector<log_line>> parsed;
    traced_objects subject;
    parsed.reserve(logs.size());
    const auto names_request = [&request, logged = log_value(request)](const log_line& line) {
        const auto named = field(line.text, "request");
        return !named.empty() && (named == logged || named == request);
    };
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
            const bool is_request_line = names_request(line);
            const bool is_in_window = first->time_ms && line.time_ms && *line.time_ms >= *first->time_ms - window_before_ms &&
                                      *line.time_ms <= *first->time_ms + window_after_ms;
            if (is_request_line || (is_in_window && (host_events.contains(line.event) || subject.concerns(line)))) {
                trace.push_back({logs[i].name, is_request_line, line.text});
            }
        }
    }
    return trace;
}

std::string format_trace(const std::vector<trace_line>& trace) {
    std::string text;
    std::string current_log;
    for (const auto& line : trace) {
        if (line.log != current_log) {
            text += line.log + ":\n";
            current_log = line.log;
        }
        text += (line.is_request ? "> " : "  ") + line.text + "\n";
    }
    return text;
}

}  // namespace camphorstack
