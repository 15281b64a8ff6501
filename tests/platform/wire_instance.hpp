#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "platform/message_connection.hpp"
#include "session_fleet/database_model.hpp"

namespace camphorstack::platform_tests {

/// When an instance that stutters sends an answer for the second time.
enum class answer_repetition : std::uint8_t {
    none,
    at_once,      ///< Directly after the first time.
    before_next,  ///< Before the answer to the next statement on the connection, so that the repeated one is read in its place.
    after_next,   ///< After the answer to the next statement.
    later,        ///< When `repeat_late` is called, or just before the next refusal, for which it could be taken.
    cut_at_once,  ///< Directly after the first time, but only the rows.
    cut_before_next,  ///< Before the answer to the next statement, but only the rows.
};

/// Stand-in for a database instance that speaks the platform's protocol over TCP on loopback.
class wire_instance {
public:
    /// `model` must outlive the stand-in.
    wire_instance(fd_watcher& sockets, session_tests::database_model& model, endpoint_id id);
    wire_instance(const wire_instance&) = delete;
    wire_instance& operator=(const wire_instance&) = delete;
    wire_instance(wire_instance&&) = delete;
    wire_instance& operator=(wire_instance&&) = delete;
    ~wire_instance();

    [[nodiscard]] std::string address() const;
    /// Sends the answers that are to be repeated later once more.
    void repeat_late();

    std::vector<std::string> lines;  ///< All messages received, without their CR LF.
    bool drops_replies = false;      ///< Statements are executed but not answered.
    bool cuts_answers = false;       ///< A connection ends in the middle of an answer.
    answer_repetition repetition = answer_repetition::none;

private:
    struct connection {
        std::unique_ptr<message_connection> socket;
        std::string last_answer;   ///< Not yet repeated.
        std::string late_answers;  ///< To be repeated later.
    };

    void accept_pending();
    void on_message(connection_id id, std::string_view message);
    void answer(connection& asked, const std::string& messages);

    fd_watcher& watcher;
    session_tests::database_model& model;
    endpoint_id own_id;
    g_pointer<GSocket> listener;
    connection_id next_id = 1;
    std::map<connection_id, connection> connections;
};

}  // namespace camphorstack::platform_tests
