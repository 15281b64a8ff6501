#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fleet/fleet.hpp"

namespace camphorstack::fleet_tests {

/// Load of the observed sessions.
struct workload_options {
    int sessions = 16;
    millis interval{20};  ///< Between the requests of one session.
    int write_percent = 10;
    int age_bound_percent = 0;  ///< Of the reads: accept data of the stated age.
    millis age_bound{1000};
    millis timeout{5000};
    bool writes_are_non_idempotent = true;  ///< Writes carry neither a mark nor a key.
    int workspaces = 8;
    int databases = 3;
};

/// One write as its caller saw it.
struct observed_write {
    int database = 0;
    std::string key;
    instant sent;
    instant answered;
    bool is_answered = false;
    request_outcome outcome = request_outcome::unknown;
    refusal reason = refusal::none;
};

/// Callers with sessions that roam over the hosts, and the judge of what they were promised. It sees replies and, at the end, the
/// content of the databases; nothing of the hosts' own state.
class session_workload {
public:
    session_workload(fleet& subject, workload_options wanted, std::uint64_t seed);

    /// Sends requests until `end`; they are answered or timed out some seconds later.
    void start(instant end);
    /// Hosts to which callers are sent; all live hosts if empty.
    std::vector<host_id> balanced_hosts;

    /// Violations so far, and those that the databases' content shows now. Call it when the fleet is at rest.
    [[nodiscard]] std::vector<std::string> violations() const;

    /// Longest time without an acknowledged write between two instants, over all databases.
    [[nodiscard]] millis longest_gap(instant from, instant to) const;

    std::vector<observed_write> writes;
    std::uint64_t reads_done = 0;
    std::uint64_t reads_by_replicas = 0;
    std::uint64_t acknowledged = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::map<std::string, std::uint64_t> reasons;
    std::vector<std::string> reply_violations;  ///< Violations seen in replies.
    std::vector<millis> latencies;              ///< Of requests that were done.

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

/// Lets the fleet elect members and primaries; fails the test if it does not become ready in 10 s.
void wait_until_ready(fleet& subject, int databases);

}  // namespace camphorstack::fleet_tests
