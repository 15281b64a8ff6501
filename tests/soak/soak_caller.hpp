#pragma once

#include <memory>
#include <string>

#include "camphorstack/links/line_socket.hpp"
#include "soak/guarantee_checker.hpp"

namespace camphorstack::soak {

/// A caller with one session and at most one open statement at a time. It writes rising numbers to an item of its own and reads
/// them back. Its connection stays open until the host closes it or does not answer in time.
class soak_caller {
public:
    soak_caller(fd_watcher& sockets, guarantee_checker& guarantees, std::string name, std::string route);

    /// Sends the next statement if none is open, and closes the session if a statement is not answered in time. A new session is
    /// opened at `address`.
    void tick(const std::string& address, instant now);
    /// Called after a promotion: reads need not return a value above `value_in_log`, the item's last value in the new primary's
    /// log.
    void lower_expected_value(int value_in_log);
    [[nodiscard]] const std::string& item() const { return this->own_item; }
    [[nodiscard]] std::size_t successes() const { return this->success_count; }

private:
    static constexpr millis answer_timeout{6000};
    static constexpr millis pause_after_failure{40};
    static constexpr millis statement_interval{15};

    void connect(const std::string& address, instant now);
    void send_next(instant now);
    void on_line(std::string_view line);
    void finish(result_code code);
    void drop_session();

    fd_watcher& watcher;
    guarantee_checker& checker;
    std::string own_item;
    std::string route_name;
    std::unique_ptr<line_socket> socket;
    /// Socket of the previous session. Destroyed in the next tick, because a socket must not be destroyed in its own callbacks.
    std::unique_ptr<line_socket> closed_socket;
    bool is_ready = false;
    bool is_connection_lost = false;
    int next_statement = 0;
    int last_sent = 0;     ///< Last value sent.
    int min_expected = 0;  ///< Highest value acknowledged or read; less after a promotion, see `lower_expected_value`.
    std::string open_id;
    bool open_writes = false;
    int open_min_expected = 0;
    /// True if a promotion during the open statement may have rolled back the value that its answer reports.
    bool had_promotion = false;
    std::string row;
    std::optional<result_code> outcome;
    instant waiting_since;
    instant next_action_time;
    std::size_t success_count = 0;
};

}  // namespace camphorstack::soak
