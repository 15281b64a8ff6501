#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "camphorstack/sessions/result_code.hpp"
#include "session_fleet/database_model.hpp"

namespace camphorstack::soak {

/// A write as its caller and the instances saw it.
struct write_record {
    int value = 0;
    int runs = 0;
    bool at_former_primary = false;  ///< It ran at an instance that another one had replaced.
    std::optional<result_code> reported_outcome;

    friend bool operator==(const write_record&, const write_record&) = default;
};

/// Judges the promises by what callers and instances saw; it never asks a host.
class guarantee_checker {
public:
    explicit guarantee_checker(session_tests::database_model& observed) : model(observed) {}

    void record_sent_write(const std::string& id, int value) { this->writes[id].value = value; }
    void record_sent_read(const std::string& id) { this->reads.insert(id); }
    /// The caller was told the outcome of a write.
    void record_write_answer(const std::string& id, result_code code);
    /// A read of `item` returned `value`; `min_expected` is the least value that it had to see, `last_sent` the last one that was
    /// sent.
    void record_read_answer(const std::string& id, int value, int min_expected, int last_sent);
    /// Takes what the instances ran since the last call. Before each promotion and in each turn.
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
