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

/// User name with which a replica logs in to a primary. The primary does not count such connections against its limit.
constexpr const char* replication_user = "replication";

/// Replicates the log of the followed primary by requesting entries from it every `pull_interval`.
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
    std::string connected_to;      ///< Address of the primary, "" without a connection.
    bool ready = false;            ///< Connected, with no request in flight.
    std::uint64_t next_index = 0;  ///< First index of the next request; 0 for the last entry of the replica.
    instant requested_at;
    instant last_progress;
    fd_watcher watcher;
    std::unique_ptr<pg_connection> connection;
    timers timer;
};

}  // namespace camphorstack::stand_ins
