#pragma once

#include <map>
#include <memory>
#include <string>

#include "camphorstack/cli/load_plan.hpp"
#include "camphorstack/cli/load_request.hpp"
#include "camphorstack/endpoints/endpoint_call.hpp"
#include "camphorstack/links/pg_connection.hpp"

namespace camphorstack {

/// Sends the load straight to one instance through libpq, for comparison with the load through the fleet. Each session has its
/// own connection. The instance is promoted if it is not the primary; if another one holds the term, the writes are refused.
class load_direct final : public load_transport {
public:
    explicit load_direct(const load_plan& offered);

    void send(const load_request& request, callback done) override;

private:
    struct session_connection {
        std::unique_ptr<pg_connection> connection;
        endpoint_call load_call;  ///< Call for the load's request.
        endpoint_call sent_call;  ///< `load_call`, or the status or promote call that precedes it.
        callback done;
        bool in_transaction = false;
    };

    void open(std::size_t session);
    void send_call(std::size_t session, const endpoint_call& call);
    void on_answered(std::size_t session, const PGresult& rows);
    void on_closed(std::size_t session);
    void ensure_primary(std::size_t session, const endpoint_answer& answer);
    [[nodiscard]] endpoint_call make_call(const load_request& request);

    const load_plan& plan;
    fd_watcher watcher;
    std::map<std::size_t, session_connection> session_connections;
    term_number term = 0;
    call_id last_call_id = 0;
};

}  // namespace camphorstack
