#pragma once

#include <functional>
#include <memory>
#include <string>

#include "camphorstack/links/pg_connection.hpp"
#include "camphorstack/support/clock.hpp"
#include "stand_ins/instance_model.hpp"
#include "stand_ins/instance_options.hpp"
#include "stand_ins/log_wire.hpp"
#include "stand_ins/timers.hpp"

namespace camphorstack::stand_ins {

/// User name under which a replica logs in to a primary; such connections are not counted against its limit.
constexpr const char* replication_user = "replication";

/// Keeps a replica's log up to date by asking its followed primary every few milliseconds.
class log_puller {
public:
    log_puller(instance_model& replica, const instance_options& limits);

private:
    void poll();
    void connect();
    void request_entries();
    void receive(const PGresult& rows);
    void apply(const log_part& part);
    void disconnect();

    instance_model& instance;
    const instance_options& options;
    monotonic_clock time;
    std::string connected_to;
    bool ready = false;            ///< Connected and nothing asked.
    std::uint64_t next_index = 0;  ///< Index of the next question; 0: the replica's last entry.
    instant requested_at;
    instant last_progress;
    fd_watcher watcher;
    std::unique_ptr<pg_connection> connection;
    timers timer;
};

}  // namespace camphorstack::stand_ins
