#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "camphorstack/sessions/result_code.hpp"
#include "session_fleet/database_model.hpp"

namespace camphorstack::soak {

/// What the caller and the instances observed of a write.
struct write_record {
    int value = 0;
    int runs = 0;
    bool at_former_primary = false;               ///< The write ran at an instance that was no longer the primary.
    std::optional<result_code> reported_outcome;  ///< Outcome that the caller received.

    friend bool operator==(const write_record&, const write_record&) = default;
};

/// Checks the guarantees to callers by what the callers and the instances observed, without any data from the hosts.
class guarantee_checker {
public:
    explicit guarantee_checker(session_tests::database_model& observed) : model(observed) {}

    void record_sent_write(const std::string& id, int value) { this->writes[id].value = value; }
    void record_sent_read(const std::string& id) { this->reads.insert(id); }
    /// Records the outcome of a write that its caller received.
    void record_write_answer(const std::string& id, result_code code);
    /// Records the value that a read returned. `min_expected` is the least value that the read had to return, `last_sent` the
    /// last value that was sent to the item.
    void record_read_answer(const std::string& id, int value, int min_expected, int last_sent);
    /// Checks the statements that the instances ran since the last call. Must be called before each promotion and in each tick.
    void observe();

    [[nodiscard]] const std::vector<std::string>& violations() const { return this->found_violations; }
    [[nodiscard]] std::size_t acknowledged() const { return this->acknowledged_writes; }

private:
    void add_violation(const std::string& id, const std::string& what) { this->found_violations.push_back(id + ": " + what); }

    session_tests::database_model& model;
    std::map<std::string, write_record> writes;
    std::set<std::string> reads;
    std::size_t processed_runs = 0;
    std::size_t acknowledged_writes = 0;
    std::vector<std::string> found_violations;
};

}  // namespace camphorstack::soak
