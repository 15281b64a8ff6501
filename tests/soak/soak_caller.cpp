#include "soak/soak_caller.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "platform/wire_words.hpp"

namespace camphorstack::soak {

soak_caller::soak_caller(fd_watcher& sockets, guarantee_checker& guarantees, std::string name, std::string route)
    : watcher(sockets), checker(guarantees), own_item(std::move(name)), route_name(std::move(route)) {}

void soak_caller::tick(const std::string& address, instant now) {
    this->closed_socket.reset();
    if (this->is_connection_lost) {
        this->drop_session();
    }
    if (!this->socket) {
        if (now >= this->next_action_time) {
            this->connect(address, now);
        }
        return;
    }
    if ((!this->is_ready || !this->open_id.empty()) && now - this->waiting_since >= answer_timeout) {
        this->drop_session();
        return;
    }
    if (this->is_ready && this->open_id.empty() && now >= this->next_action_time) {
        this->send_next(now);
    }
}

void soak_caller::lower_expected_value(int value_in_log) {
    this->min_expected = std::min(this->min_expected, value_in_log);
    this->open_min_expected = std::min(this->open_min_expected, value_in_log);
    this->had_promotion = true;
}

void soak_caller::connect(const std::string& address, instant now) {
    this->is_ready = false;
    this->waiting_since = now;
    this->next_action_time = now + pause_after_failure;
    line_socket::callbacks calls{[this] { this->socket->write("START " + this->route_name + " soak-key\r\n"); },
                                 [this](std::string_view line) { this->on_line(line); },
                                 [this](line_socket_close_reason) { this->is_connection_lost = true; }};
    this->socket = std::make_unique<line_socket>(this->watcher, address, line_socket::limits{}, std::move(calls));
}

void soak_caller::send_next(instant now) {
    this->open_id = this->own_item + "-" + std::to_string(++this->next_statement);
    this->open_writes = this->next_statement % 2 == 1;
    this->open_min_expected = this->min_expected;
    this->waiting_since = now;
    this->row.clear();
    this->outcome.reset();
    this->had_promotion = false;
    if (this->open_writes) {
        this->checker.record_sent_write(this->open_id, ++this->last_sent);
        this->socket->write("QUERY " + this->open_id + " WRITE " + this->own_item + " " + std::to_string(this->last_sent) +
                            "\r\n");
    } else {
        this->checker.record_sent_read(this->open_id);
        this->socket->write("QUERY " + this->open_id + " READ " + this->own_item + "\r\n");
    }
    this->next_action_time = now + statement_interval;
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
    } else if (word == "READY" && !this->is_ready) {
        this->is_ready = true;
    } else if (word == "READY" && this->outcome && !this->open_id.empty()) {
        this->finish(*this->outcome);
    }
}

void soak_caller::finish(result_code code) {
    const auto id = std::exchange(this->open_id, {});
    if (this->open_writes) {
        this->checker.record_write_answer(id, code);
        this->min_expected = code == result_code::none && !this->had_promotion ? this->last_sent : this->min_expected;
    } else if (code == result_code::none) {
        int value = 0;
        std::from_chars(this->row.data(), this->row.data() + this->row.size(), value);
        this->checker.record_read_answer(id, value, this->open_min_expected, this->last_sent);
        this->min_expected = this->had_promotion ? this->min_expected : std::max(this->min_expected, value);
    }
    this->success_count += code == result_code::none ? 1 : 0;
    if (code != result_code::none) {
        this->next_action_time = this->waiting_since + pause_after_failure;
    }
}

void soak_caller::drop_session() {
    this->closed_socket = std::move(this->socket);
    this->closed_socket->close();
    this->is_connection_lost = false;
    this->is_ready = false;
    this->open_id.clear();
}

}  // namespace camphorstack::soak
