#include "camphorstack/support/decision_log.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>

using namespace camphorstack;

namespace {

class manual_clock final : public clock {
public:
    [[nodiscard]] instant now() const override { return this->time; }

    instant time{5000};
};

struct test_pipe {
    test_pipe() { REQUIRE(pipe2(this->ends.data(), O_NONBLOCK) == 0); }
    test_pipe(const test_pipe&) = delete;
    test_pipe& operator=(const test_pipe&) = delete;
    test_pipe(test_pipe&&) = delete;
    test_pipe& operator=(test_pipe&&) = delete;
    ~test_pipe() {
        close(this->ends[0]);
        close(this->ends[1]);
    }

    std::string read_all() {
        std::string text;
        std::array<char, 4096> chunk{};
        ssize_t count = 0;
        while ((count = read(this->ends[0], chunk.data(), chunk.size())) > 0) {
            text.append(chunk.data(), static_cast<std::size_t>(count));
        }
        return text;
    }

    std::array<int, 2> ends{};
};

}  // namespace

TEST_CASE("lines of one kind are rate-limited, and the next line reports how many were suppressed", "[decision-log]") {
    manual_clock time;
    test_pipe output;
    decision_log log(time, output.ends[1], {2, 5});
    for (int i = 0; i < 100; ++i) {
        log.write("request_failed", "request=" + std::to_string(i), true);
        log.write("request_done", "request=" + std::to_string(i), false);
    }
    log.write("peer_lost", "host=a", true);
    auto text = output.read_all();
    CHECK(std::ranges::count(text, '\n') == 5 + 2 + 1);
    CHECK(text.starts_with("t=5000 event=request_failed request=0\n"));
    time.time = instant{6000};
    log.write("request_failed", "request=x", true);
    CHECK(output.read_all() == "t=6000 event=request_failed request=x left_out=95\n");
}

TEST_CASE("a stalled reader never blocks the writer", "[decision-log]") {
    // Guards against requests that block when the reader of the log pipe stalls.
    manual_clock time;
    test_pipe output;
    decision_log log(time, output.ends[1], {2, 100000});
    const std::string text(200, 'x');
    for (int i = 0; i < 2000; ++i) {
        log.write("request_failed", text, true);
    }
    CHECK(output.read_all().size() <= 65536);
    log.write("request_failed", "request=after", true);
    const auto after = output.read_all();
    CHECK(after.find("request=after") != std::string::npos);
    CHECK(after.find("not_taken=") != std::string::npos);
}

// Guards against text of other writers that forges log entries or fills the log.
TEST_CASE("a text with line breaks or of great length stays one short line", "[decision-log]") {
    test_pipe pipe;
    manual_clock time;
    decision_log log(time, pipe.ends[1], {});
    log.write("object_unreadable", "reason=\"a\nt=1 event=host_ended\x01\"" + std::string(100000, 'x'), true);
    const auto text = pipe.read_all();
    CHECK(std::ranges::count(text, '\n') == 1);
    CHECK(text.find("reason=\"a?t=1 event=host_ended?\"") != std::string::npos);
    CHECK(text.size() < 4096);
}
