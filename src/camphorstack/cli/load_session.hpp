#pragma once

#include <functional>
#include <map>
#include <string>

#include "camphorstack/cli/load_checker.hpp"
#include "camphorstack/cli/load_plan.hpp"
#include "camphorstack/cli/load_request.hpp"
#include "camphorstack/support/random.hpp"

namespace camphorstack {

/// One caller of the load, without network access. It has one request open at a time, and its own counter in each database.
class load_session {
public:
    /// `session_number` is unique in the run; `run_id` keeps the counters of different runs apart.
    load_session(const load_plan& offered, const load_workspace& workspace, std::size_t session_number,
                 const std::string& run_id);

    [[nodiscard]] const load_workspace& workspace() const { return this->session_workspace; }

    /// Returns the next request: a step of the open transaction, the repetition of a write with a key and an unknown outcome, or
    /// a new request.
    [[nodiscard]] load_request next(random_source& random, instant now);
    /// Returns a read of a database's counter that must see all acknowledged ADDs. Abandons an open transaction.
    [[nodiscard]] load_request read_counter(const database_id& database, random_source& random, instant now);
    /// Checks the answer to the last request. Returns the violation, if there is one.
    std::optional<std::string> receive(const load_answer& answer, instant now);

private:
    struct transaction_progress {
        std::string token;
        std::size_t target = 0;
        std::int64_t add_count = 0;
    };

    load_request request_of(request_kind kind, const database_id& database, random_source& random);
    load_request new_write(const database_id& database, random_source& random);
    load_request transaction_step(random_source& random);
    std::optional<std::string> receive_read(const load_answer& answer);
    std::optional<std::string> receive_write(const load_answer& answer, instant now);
    void receive_transaction(const load_answer& answer, instant now);
    [[nodiscard]] std::string counter_name() const;

    const load_plan& plan;
    const load_workspace& session_workspace;
    std::size_t number;
    std::string name;
    std::uint64_t keys_used = 0;
    std::map<database_id, counter_history> counters;
    std::map<database_id, std::string> tokens;  ///< Session token of each database.
    load_request last_request;
    instant sent_at;
    std::optional<transaction_progress> transaction;
    std::optional<load_request> request_to_repeat;
    int repetitions = 0;  ///< Repetitions so far of the last write.
};

}  // namespace camphorstack
