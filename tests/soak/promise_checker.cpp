#include "soak/promise_checker.hpp"

namespace camphorstack::soak {

namespace {

/// Codes that promise that nothing of the statement is kept.
bool is_promise(result_code code) {
    return code == result_code::busy || code == result_code::aborted || code == result_code::lagging ||
           code == result_code::read_only || code == result_code::misrouted || code == result_code::too_many;
}

}  // namespace

void promise_checker::note_write_answer(const std::string& id, result_code code) {
    this->observe();
    auto& write = this->writes.at(id);
    write.told = code;
    if (is_promise(code) && write.runs > 0) {
        this->blame(id, "refused, but it had run");
    }
    if (code != result_code::none) {
        return;
    }
    ++this->acknowledged_writes;
    if (write.runs == 0) {
        this->blame(id, "acknowledged, but no instance had run it");
    } else if (write.at_former_primary) {
        this->blame(id, "acknowledged, but it ran at a former primary");
    }
}

void promise_checker::note_read_answer(const std::string& id, int value, int floor, int highest) {
    if (value < floor) {
        this->blame(id, "read " + std::to_string(value) + ", though " + std::to_string(floor) + " was acknowledged before");
    }
    if (value > highest) {
        this->blame(id, "read " + std::to_string(value) + ", which nobody had written");
    }
}

void promise_checker::observe() {
    const auto newest = this->model.primary().term;
    for (; this->seen_runs < this->model.runs.size(); ++this->seen_runs) {
        const auto& run = this->model.runs[this->seen_runs];
        const auto known = this->writes.find(run.statement_id);
        if (known == this->writes.end()) {
            if (!this->reads.contains(run.statement_id)) {
                this->blame(run.statement_id, "ran, but nobody had sent it");
            }
            continue;
        }
        auto& write = known->second;
        write.at_former_primary = write.at_former_primary || this->model.instances.at(run.endpoint).term < newest;
        if (++write.runs > 1) {
            this->blame(run.statement_id, "ran twice");
        }
        if (write.told && is_promise(*write.told)) {
            this->blame(run.statement_id, "ran after it had been refused");
        }
    }
}

}  // namespace camphorstack::soak
