#include "platform/wire_instance.hpp"

#include <unistd.h>

#include <utility>

#include <catch2/catch.hpp>

#include "camphorstack/support/socket_address.hpp"
#include "platform/wire_words.hpp"

namespace camphorstack::platform_tests {

namespace {

using platform::parse_position;
using platform::take_word;
using platform::to_word;

endpoint_statement parse_query(std::string_view rest) {
    endpoint_statement query;
    const auto id = take_word(rest);
    query.id = id == "-" ? "" : id;
    if (rest.starts_with("AFTER ")) {
        static_cast<void>(take_word(rest));
        query.after = parse_position(take_word(rest));
    }
    query.text = rest;
    const auto word = take_word(rest);
    if (word == "BEGIN") {
        query.command = rest == "READ" ? endpoint_command::begin_read_only : endpoint_command::begin;
    } else if (word == "ROLLBACK") {
        query.command = endpoint_command::rollback;
    } else if (word == "RESET") {
        query.command = endpoint_command::reset;
    } else if (word == "STATUS") {
        query.command = endpoint_command::status;
    } else if (word == "SET") {
        query.command = endpoint_command::set_value;
        query.name = take_word(rest);
        query.text = rest;
    } else if (word == "PREPARE") {
        query.command = endpoint_command::prepare;
        query.name = take_word(rest);
        query.writes = take_word(rest) == "WRITE";
        query.text = rest;
    } else if (word == "EXECUTE") {
        query.command = endpoint_command::execute;
        query.name = take_word(rest);
        query.text = rest;
    }
    return query;
}

std::string reply_lines(const endpoint_reply& reply) {
    std::string text;
    for (const auto& row : reply.rows) {
        text += "ROW " + row + "\r\n";
    }
    if (reply.status) {
        text += std::string("ROW ") + (reply.status->is_primary ? "primary " : "replica ") + std::to_string(reply.status->term) +
                " " + to_word(reply.status->received) + " 0 0 1 1\r\n";
    }
    text += reply.code == result_code::none ? "DONE " + (reply.proof.empty() ? "-" : reply.proof) + "\r\n"
                                            : std::string("ERROR ") + to_word(reply.code) + " refused\r\n";
    return text + "READY " + to_word(reply.state) + " " + to_word(reply.position) + "\r\n";
}

/// Returns the messages of an answer before its outcome.
std::string rows_of(const std::string& answer) {
    const auto outcome = answer.find("\r\nDONE ");
    return answer.starts_with("ROW ") && outcome != std::string::npos ? answer.substr(0, outcome + 2) : std::string();
}

}  // namespace

wire_instance::wire_instance(fd_watcher& sockets, session_tests::database_model& source, endpoint_id id)
    : watcher(sockets), model(source), own_id(std::move(id)) {
    const auto local = parse_socket_address("127.0.0.1:0");
    this->listener = g_adopt(g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr));
    g_socket_set_blocking(this->listener.get(), FALSE);
    REQUIRE(g_socket_bind(this->listener.get(), local.get(), TRUE, nullptr));
    REQUIRE(g_socket_listen(this->listener.get(), nullptr));
    this->watcher.add(g_socket_get_fd(this->listener.get()), [this](fd_readiness /*ready*/) { this->accept_pending(); });
}

wire_instance::~wire_instance() {
    this->watcher.remove(g_socket_get_fd(this->listener.get()));
}

std::string wire_instance::address() const {
    const auto local = g_adopt(g_socket_get_local_address(this->listener.get(), nullptr));
    return format_socket_address(local.get());
}

void wire_instance::accept_pending() {
    while (auto opened = g_adopt(g_socket_accept(this->listener.get(), nullptr, nullptr))) {
        const auto id = this->next_id++;
        // The stand-in's connection owns the descriptor from here on.
        const int connected = dup(g_socket_get_fd(opened.get()));
        this->connections[id].socket = std::make_unique<message_connection>(
            this->watcher, connected, [this, id](std::string_view message) { this->on_message(id, message); });
    }
}

void wire_instance::on_message(connection_id id, std::string_view message) {
    this->lines.emplace_back(message);
    auto& from = this->connections.at(id);
    auto rest = message;
    const auto word = take_word(rest);
    auto& instance = this->model.instances.at(this->own_id);
    if (word == "START") {
        const auto database = take_word(rest);
        const auto workspace = take_word(rest);
        if (database != this->model.id || rest != this->own_id) {
            from.socket->write("ERROR MISROUTED here is another instance\r\n");
            from.socket->finish();
            return;
        }
        instance.connections[id] = {std::string(workspace), {}, {}, std::nullopt};
        this->answer(from, "READY I -\r\n");
        return;
    }
    CHECK(word == "QUERY");
    if (word != "QUERY") {
        from.socket->write("ERROR MALFORMED not a message of the protocol\r\n");
        from.socket->finish();
        return;
    }
    const auto reply = this->model.run(instance, id, parse_query(rest), instant{});
    if (!this->drops_replies) {
        this->answer(from, reply_lines(reply));
    }
}

void wire_instance::repeat_late() {
    for (auto& [id, opened] : this->connections) {
        opened.socket->write(std::exchange(opened.late_answers, {}));
    }
}

void wire_instance::answer(connection& asked, const std::string& messages) {
    if (this->cuts_answers) {
        asked.socket->write(messages.substr(0, messages.size() / 2));
        asked.socket->finish();
        return;
    }
    if (messages.starts_with("ERROR ")) {
        asked.socket->write(std::exchange(asked.late_answers, {}));
    }
    switch (this->repetition) {
        case answer_repetition::none:
            asked.socket->write(messages);
            break;
        case answer_repetition::at_once:
            asked.socket->write(messages + messages);
            break;
        case answer_repetition::before_next:
            asked.socket->write(asked.last_answer + messages);
            break;
        case answer_repetition::after_next:
            asked.socket->write(messages + asked.last_answer);
            break;
        case answer_repetition::cut_at_once:
            asked.socket->write(messages + rows_of(messages));
            break;
        case answer_repetition::cut_before_next:
            asked.socket->write(rows_of(asked.last_answer) + messages);
            break;
        case answer_repetition::later:
            asked.socket->write(messages);
            asked.late_answers += messages;
            break;
    }
    asked.last_answer = messages;
}

}  // namespace camphorstack::platform_tests
