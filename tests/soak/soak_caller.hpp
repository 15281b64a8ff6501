#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "camphorstack/support/clock.hpp"
#include "camphorstack/support/random.hpp"
#include "platform/message_connection.hpp"
#include "soak/guarantee_checker.hpp"

namespace camphorstack::soak {

/// Who a caller is. Callers of one workspace share the hosts' connections to instances.
struct soak_caller_config {
    std::string name;
    std::string route;
    std::string key;
    std::string workspace;
    std::uint64_t seed = 0;

    friend bool operator==(const soak_caller_config&, const soak_caller_config&) = default;
};

/// A caller with one session and at most one open statement at a time. It writes rising numbers to an item of its own and reads
/// them back, in single statements and in transactions, with session values and prepared statements. Its fields hold odd bytes.
/// Its connection stays open until the host closes it or does not answer in time.
class soak_caller {
public:
    soak_caller(fd_watcher& sockets, guarantee_checker& guarantees, soak_caller_config who);

    /// Sends the next statement if none is open, and closes the session if a statement is not answered in time. A new session is
    /// opened at `address`.
    void tick(const std::string& address, instant now);
    /// Called after a promotion: reads need not return a value above `value_in_log`, the item's last value in the new primary's
    /// log.
    void lower_expected_value(int value_in_log);
    [[nodiscard]] const std::string& item() const { return this->own_item; }
    /// Names the caller and what it waits for or was last answered.
    [[nodiscard]] std::string describe() const;
    /// Number of statements that an instance answered with success.
    [[nodiscard]] std::size_t successes() const { return this->success_count; }

private:
    static constexpr millis answer_timeout{6000};
    static constexpr millis pause_after_failure{40};
    static constexpr millis statement_interval{15};

    enum class step { read, write, execute, begin, begin_read_only, commit, rollback, set_value, prepare, leave };

    void connect(const std::string& address, instant now);
    /// Chooses the steps of the next single statement or transaction.
    void plan_operation();
    void send_next(instant now);
    [[nodiscard]] sent_statement make_statement(step next);
    [[nodiscard]] std::string make_data();
    void on_message(std::string_view message);
    void finish(char state);
    void finish_success(const sent_statement& sent, char state);
    void drop_session();
    [[nodiscard]] std::string random_name();

    fd_watcher& watcher;
    guarantee_checker& checker;
    soak_caller_config config;
    random_source random;
    std::string own_item;
    std::unique_ptr<platform_tests::message_connection> socket;
    bool is_ready = false;
    std::deque<step> plan;
    std::map<std::string, std::string> values;                          ///< Session values that were acknowledged.
    std::map<std::string, session_tests::prepared_statement> prepared;  ///< Shapes that were acknowledged, by name.
    std::string transaction;                                            ///< Id of the open transaction's BEGIN.
    int next_statement = 0;
    int last_sent = 0;     ///< Last value sent.
    int min_expected = 0;  ///< Highest value acknowledged or read; less after a promotion, see `lower_expected_value`.
    std::optional<sent_statement> open;
    int open_min_expected = 0;
    int written_in_transaction = 0;  ///< Last value that the open transaction wrote; 0 if none.
    /// True if a promotion during the open statement or transaction may have rolled back the value that its answer reports.
    bool had_promotion = false;
    received_answer answer;
    bool has_outcome = false;
    instant waiting_since;
    instant next_action_time;
    std::size_t success_count = 0;
};

}  // namespace camphorstack::soak
