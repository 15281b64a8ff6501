#include "camphorstack/support/decision_log.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>

namespace camphorstack {

namespace {

constexpr std::int64_t milliseconds_per_second = 1000;
/// Longer texts are cut, so that a line fits into one write to a pipe.
constexpr std::size_t max_text_bytes = 3000;

}  // namespace

decision_log::decision_log(const clock& time, int descriptor, limits kind_limits)
    : time_source(time), output(descriptor), line_limits(kind_limits) {
    const int flags = fcntl(this->output, F_GETFL);
    if (flags >= 0) {
        fcntl(this->output, F_SETFL, flags | O_NONBLOCK);
    }
}

void decision_log::write(const std::string& kind, const std::string& text, bool is_failure) {
    const auto now = this->time_source.now();
    auto& state = this->kinds[kind];
    const auto second = now.since_start / milliseconds_per_second;
    if (state.second != second) {
        state.second = second;
        state.lines = 0;
    }
    const bool is_success = kind == "request_done" && !is_failure;
    if (state.lines >= (is_success ? this->line_limits.successes_per_s : this->line_limits.others_per_s)) {
        ++state.suppressed_lines;
        return;
    }
    ++state.lines;
    std::string line = "t=" + std::to_string(now.since_start) + " event=" + kind + ' ' + text.substr(0, max_text_bytes);
    // Texts may quote what others wrote. A line break in it must not look like another entry.
    std::ranges::replace_if(
        line, [](unsigned char c) { return c < ' '; }, '?');
    if (state.suppressed_lines > 0) {
        line += " left_out=" + std::to_string(state.suppressed_lines);
    }
    if (this->dropped_lines > 0) {
        line += " not_taken=" + std::to_string(this->dropped_lines);
    }
    line += '\n';
    // Each line is one write, because a write of up to PIPE_BUF bytes to a pipe is atomic.
    if (::write(this->output, line.data(), line.size()) == static_cast<ssize_t>(line.size())) {
        state.suppressed_lines = 0;
        this->dropped_lines = 0;
    } else {
        ++this->dropped_lines;
    }
}

}  // namespace camphorstack
