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
struct seen_write {
    int value = 0;
    int runs = 0;
    bool at_former_primary = false;  ///< It ran at an instance that another one had replaced.
    std::optional<result_code> told;

    friend bool operator==(const seen_write&, const seen_write&) = default;
};

/// Judges the promises by what callers and instances saw; it never asks a host.
class promise_checker {
public:
    explicit promise_checker(session_tests::database_model& observed) : model(observed) {}

    void note_sent_write(const std::string& id, int value) { this->writes[id].value = value; }
    void note_sent_read(const std::string& id) { this->reads.insert(id); }
    /// The caller was told the outcome of a write.
    void note_write_answer(const std::string& id, result_code code);
    /// A read of `item` returned `value`; `floor` is the least value that it had to see, `highest` the last one that was sent.
    void note_read_answer(const std::string& id, int value, int floor, int highest);
    /// Takes what the instances ran since the last call. Before each promotion and in each turn.
    void observe();

    [[nodiscard]] const std::vector<std::string>& violations() const { return this->found; }
    [[nodiscard]] std::size_t acknowledged() const { return this->acknowledged_writes; }

private:
    void blame(const std::string& id, const std::string& what) { this->found.push_back(id + ": " + what); }

    session_tests::database_model& model;
    std::map<std::string, seen_write> writes;
    std::set<std::string> reads;
    std::size_t seen_runs = 0;
    std::size_t acknowledged_writes = 0;
    std::vector<std::string> found;
};

}  // namespace camphorstack::soak
