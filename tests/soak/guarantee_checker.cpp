#include "soak/guarantee_checker.hpp"

namespace camphorstack::soak {

namespace {

/// Codes that promise that nothing of the statement is kept.
bool guarantees_no_effect(result_code code) {
    return code == result_code::busy || code == result_code::aborted || code == result_code::lagging ||
           code == result_code::read_only || code == result_code::misrouted || code == result_code::too_many;
}

}  // namespace

void guarantee_checker::record_write_answer(const std::string& id, result_code code) {
    this->observe();
    auto& write = this->writes.at(id);
    write.reported_outcome = code;
    if (guarantees_no_effect(code) && write.runs > 0) {
        this->add_violation(id, "refused, but it had run");
    }
    if (code != result_code::none) {
        return;
    }
    ++this->acknowledged_writes;
    if (write.runs == 0) {
        this->add_violation(id, "acknowledged, but no instance had run it");
    } else if (write.at_former_primary) {
        this->add_violation(id, "acknowledged, but it ran at a former primary");
    }
}

void guarantee_checker::record_read_answer(const std::string& id, int value, int min_expected, int last_sent) {
    if (value < min_expected) {
        this->add_violation(
            id, "read " + std::to_string(value) + ", though " + std::to_string(min_expected) + " was acknowledged before");
    }
    if (value > last_sent) {
        this->add_violation(id, "read " + std::to_string(value) + ", which nobody had written");
    }
}

void guarantee_checker::observe() {
    const auto newest = this->model.primary().term;
    for (; this->processed_runs < this->model.runs.size(); ++this->processed_runs) {
        const auto& run = this->model.runs[this->processed_runs];
        const auto known = this->writes.find(run.statement_id);
        if (known == this->writes.end()) {
            if (!this->reads.contains(run.statement_id)) {
                this->add_violation(run.statement_id, "ran, but nobody had sent it");
            }
            continue;
        }
        auto& write = known->second;
        write.at_former_primary = write.at_former_primary || this->model.instances.at(run.endpoint).term < newest;
        if (++write.runs > 1) {
            this->add_violation(run.statement_id, "ran twice");
        }
        if (write.reported_outcome && guarantees_no_effect(*write.reported_outcome)) {
            this->add_violation(run.statement_id, "ran after it had been refused");
        }
    }
}

}  // namespace camphorstack::soak
