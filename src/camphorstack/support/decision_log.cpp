#include "camphorstack/support/decision_log.hpp"

#include <fcntl.h>
#include <unistd.h>

namespace camphorstack {

namespace {

constexpr std::int64_t milliseconds_per_second = 1000;

}  // namespace

decision_log::decision_log(const clock& time, int descriptor, limits wanted)
    : source_of_time(time), output(descriptor), bounds(wanted) {
    const int flags = fcntl(this->output, F_GETFL);
    if (flags >= 0) {
        fcntl(this->output, F_SETFL, flags | O_NONBLOCK);
    }
}

void decision_log::write(const std::string& kind, const std::string& text, bool is_failure) {
    const auto now = this->source_of_time.now();
    auto& state = this->kinds[kind];
    const auto second = now.since_start / milliseconds_per_second;
    if (state.second != second) {
        state.second = second;
        state.lines = 0;
    }
    const bool is_success = kind == "request_done" && !is_failure;
    if (state.lines >= (is_success ? this->bounds.successes_per_s : this->bounds.others_per_s)) {
        ++state.left_out;
        return;
    }
    ++state.lines;
    std::string line = "t=" + std::to_string(now.since_start) + " event=" + kind + ' ' + text;
    if (state.left_out > 0) {
        line += " left_out=" + std::to_string(state.left_out);
    }
    if (this->not_taken > 0) {
        line += " not_taken=" + std::to_string(this->not_taken);
    }
    line += '\n';
    // One write for each line: a pipe takes up to PIPE_BUF bytes whole or not at all.
    if (::write(this->output, line.data(), line.size()) == static_cast<ssize_t>(line.size())) {
        state.left_out = 0;
        this->not_taken = 0;
    } else {
        ++this->not_taken;
    }
}

}  // namespace camphorstack
