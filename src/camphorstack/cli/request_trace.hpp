#pragma once

#include <string>
#include <vector>

namespace camphorstack {

/// The log of one process. Lines may have text of a log collector before "t=" or "event=".
struct process_log {
    std::string name;  ///< Name that is printed with the log's lines, such as the file's path.
    std::string text;

    friend bool operator==(const process_log&, const process_log&) = default;
};

/// A line of a log that belongs to a request's trace.
struct trace_line {
    std::string log;          ///< Name of the log.
    bool is_request = false;  ///< True if the line names the request itself.
    std::string text;

    friend bool operator==(const trace_line&, const trace_line&) = default;
};

/// Collects the lines about one request from the logs of a fleet: the lines that name the request, and the lines of the same
/// hosts shortly before and after about the store, their peers, the document and the request's database. The lines of one host
/// stay together and in their order, because the clocks of different hosts are not comparable.
[[nodiscard]] std::vector<trace_line> trace_request(const std::vector<process_log>& logs, const std::string& request);

[[nodiscard]] std::string format_trace(const std::vector<trace_line>& trace);

}  // namespace camphorstack
