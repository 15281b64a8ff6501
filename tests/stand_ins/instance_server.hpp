#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "camphorstack/support/clock.hpp"
#include "stand_ins/instance_model.hpp"
#include "stand_ins/instance_options.hpp"
#include "stand_ins/log_puller.hpp"
#include "stand_ins/pg_server.hpp"
#include "stand_ins/timers.hpp"

namespace camphorstack::stand_ins {

/// Encodes an answer as a table with a single row, in the format of docs/endpoints.md.
[[nodiscard]] pg_table to_table(const endpoint_answer& answer);

/// Serves an `instance_model` over the PostgreSQL protocol, as described in docs/endpoints.md.
class instance_server {
public:
    /// Throws io_error if the address cannot be bound.
    explicit instance_server(instance_options requested);

    [[nodiscard]] std::string address() const { return this->server.address(); }
    [[nodiscard]] const instance_model& model() const { return this->instance; }

private:
    struct waiting_statement {
        pg_session session = 0;
        endpoint_call call;
    };

    void on_login_requested(pg_session session, const std::string& user);
    void on_query_received(pg_session session, const std::string& query);
    void on_closed(pg_session session);
    void start_statements();
    void run(pg_session session, const endpoint_call& call);
    void answer_log(pg_session session, const function_call& call);

    instance_options options;
    monotonic_clock time;
    instance_model instance;
    std::set<pg_session> sessions;          ///< Connections that are logged in or logging in, except those of replicas.
    std::set<pg_session> replicas;          ///< Connections of replicas that read the log.
    std::deque<waiting_statement> waiting;  ///< Statements that wait for a free slot, in order of arrival.
    std::size_t busy_slots = 0;
    pg_server server;
    log_puller puller;
    timers timer;
};

}  // namespace camphorstack::stand_ins
