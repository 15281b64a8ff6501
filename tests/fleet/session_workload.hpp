#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fleet/fleet.hpp"

namespace camphorstack::fleet_tests {

/// Load of the sessions of a `session_workload`.
struct workload_options {
    int sessions = 16;
    millis interval{20};  ///< Interval between the requests of one session.
    int write_percent = 10;
    int age_bound_percent = 0;  ///< Share of the reads that accept data of at most the age `age_bound`.
    millis age_bound{1000};
    millis timeout{5000};
    bool writes_are_non_idempotent = true;  ///< Writes are not marked as idempotent and have no idempotency key.
    int workspaces = 8;
    int databases = 3;
};

/// One write, as observed by its caller.
struct observed_write {
    int database = 0;
    std::string key;
    instant sent;
    instant answered;
    bool is_answered = false;
    request_outcome outcome = request_outcome::unknown;
    refusal reason = refusal::none;
};

/// Callers with sessions that send requests to changing hosts, and the check of the guarantees to these callers. The check uses
/// the replies and, at the end, the content of the databases, but not the state of the hosts.
class session_workload {
public:
    session_workload(fleet& subject, workload_options wanted, std::uint64_t seed);

    /// Starts sending requests, until `end`. The last requests are answered or time out within `timeout` after `end`.
    void start(instant end);
    /// Hosts to which the load balancer sends callers; all live hosts if empty.
    std::vector<host_id> balanced_hosts;

    /// Returns the violations found in replies and in the present content of the databases. To be called when no request is in
    /// flight.
    [[nodiscard]] std::vector<std::string> violations() const;

    /// Returns the longest time between the two instants during which some database acknowledged no write.
    [[nodiscard]] millis longest_gap(instant from, instant to) const;

    std::vector<observed_write> writes;
    std::uint64_t reads_done = 0;
    std::uint64_t reads_by_replicas = 0;
    std::uint64_t acknowledged = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::map<std::string, std::uint64_t> reasons;
    std::vector<std::string> reply_violations;  ///< Violations found in replies.
    std::vector<millis> latencies;              ///< Latencies of the requests that were done.

private:
    struct session {
        int workspace = 0;
        int database = 0;
        std::string token;
        std::string last_key;  ///< Newest key whose write was acknowledged in this session.
        bool is_waiting = false;
    };

    void send_next(std::size_t index, instant end);
    void write(std::size_t index, const host_id& host);
    void read(std::size_t index, const host_id& host);
    void count(const caller_reply& reply);
    [[nodiscard]] host_id pick_host();

    fleet& subject;
    workload_options options;
    random_source random;
    std::vector<session> sessions;
};

/// Runs the fleet until it has an agreed member list and primaries, and the shares are in full effect. Throws std::logic_error if
/// list or primaries take more than 15 s.
void wait_until_ready(fleet& subject, int databases);

}  // namespace camphorstack::fleet_tests
