#pragma once

#include <string>
#include <vector>

namespace camphorstack {

/// The log of one process, as it wrote it. Lines may have text of a log collector before "t=" or "event=".
struct process_log {
    std::string name;  ///< Shown with its lines, such as the file's path.
    std::string text;

    friend bool operator==(const process_log&, const process_log&) = default;
};

/// A line of a log that belongs to a request's story.
struct trace_line {
    std::string log;
    bool is_request = false;  ///< It names the request itself.
    std::string text;

    friend bool operator==(const trace_line&, const trace_line&) = default;
};

/// What the logs of a fleet tell of one request: its own lines, and what the same hosts came to believe about the store, their
/// peers, the document and the request's database shortly before and after, in each host's order. Hosts' clocks are not compared:
/// the lines of one host stand together.
[[nodiscard]] std::vector<trace_line> trace_request(const std::vector<process_log>& logs, const std::string& request);

[[nodiscard]] std::string format_trace(const std::vector<trace_line>& trace);

}  // namespace camphorstack
