#include "soak/soak_caller.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "platform/wire_words.hpp"

namespace camphorstack::soak {

soak_caller::soak_caller(fd_watcher& sockets, promise_checker& judge, std::string name, std::string route)
    : watcher(sockets), checker(judge), own_item(std::move(name)), route_name(std::move(route)) {}

void soak_caller::tick(const std::string& address, instant now) {
    this->ended.reset();
    if (this->lost) {
        this->lose_session();
    }
    if (!this->socket) {
        if (now >= this->not_before) {
            this->connect(address, now);
        }
        return;
    }
    if ((!this->ready || !this->open_id.empty()) && now - this->since >= patience) {
        this->lose_session();
        return;
    }
    if (this->ready && this->open_id.empty() && now >= this->not_before) {
        this->send_next(now);
    }
}

void soak_caller::limit_expectations(int value_in_log) {
    this->floor = std::min(this->floor, value_in_log);
    this->open_floor = std::min(this->open_floor, value_in_log);
    this->promoted_meanwhile = true;
}

void soak_caller::connect(const std::string& address, instant now) {
    this->ready = false;
    this->since = now;
    this->not_before = now + pause_after_failure;
    line_socket::callbacks calls{[this] { this->socket->write("START " + this->route_name + " soak-key\r\n"); },
                                 [this](std::string_view line) { this->on_line(line); },
                                 [this](line_socket_close_reason) { this->lost = true; }};
    this->socket = std::make_unique<line_socket>(this->watcher, address, line_socket::limits{}, std::move(calls));
}

void soak_caller::send_next(instant now) {
    this->open_id = this->own_item + "-" + std::to_string(++this->next_statement);
    this->open_writes = this->next_statement % 2 == 1;
    this->open_floor = this->floor;
    this->since = now;
    this->row.clear();
    this->outcome.reset();
    this->promoted_meanwhile = false;
    if (this->open_writes) {
        this->checker.note_sent_write(this->open_id, ++this->highest);
        this->socket->write("QUERY " + this->open_id + " WRITE " + this->own_item + " " + std::to_string(this->highest) + "\r\n");
    } else {
        this->checker.note_sent_read(this->open_id);
        this->socket->write("QUERY " + this->open_id + " READ " + this->own_item + "\r\n");
    }
    this->not_before = now + pause_between;
}

void soak_caller::on_line(std::string_view line) {
    auto rest = line;
    const auto word = platform::take_word(rest);
    if (word == "ROW") {
        this->row = rest;
    } else if (word == "DONE") {
        this->outcome = result_code::none;
    } else if (word == "ERROR") {
        this->outcome = platform::parse_code(platform::take_word(rest));
    } else if (word == "READY" && !this->ready) {
        this->ready = true;
    } else if (word == "READY" && this->outcome && !this->open_id.empty()) {
        this->finish(*this->outcome);
    }
}

void soak_caller::finish(result_code code) {
    const auto id = std::exchange(this->open_id, {});
    if (this->open_writes) {
        this->checker.note_write_answer(id, code);
        this->floor = code == result_code::none && !this->promoted_meanwhile ? this->highest : this->floor;
    } else if (code == result_code::none) {
        int value = 0;
        std::from_chars(this->row.data(), this->row.data() + this->row.size(), value);
        this->checker.note_read_answer(id, value, this->open_floor, this->highest);
        this->floor = this->promoted_meanwhile ? this->floor : std::max(this->floor, value);
    }
    this->done += code == result_code::none ? 1 : 0;
    if (code != result_code::none) {
        this->not_before = this->since + pause_after_failure;
    }
}

void soak_caller::lose_session() {
    this->ended = std::move(this->socket);
    this->ended->close();
    this->lost = false;
    this->ready = false;
    this->open_id.clear();
}

}  // namespace camphorstack::soak
