#include "camphorstack/endpoints/dispatch.hpp"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "camphorstack/endpoints/replica_choice.hpp"
#include "camphorstack/endpoints/reports.hpp"
#include "camphorstack/endpoints/switchover.hpp"
#include "camphorstack/endpoints/transactions.hpp"

namespace camphorstack {

namespace {

std::vector<loaded_instance> list_candidates(group_state& state, instant now) {
    std::vector<loaded_instance> result;
    for (auto& [id, instance] : state.instances) {
        result.push_back({&instance, connection_load(state, id, now)});
    }
    return result;
}

bool any_has_capacity(const std::vector<loaded_instance>& candidates, capacity needed, instant now) {
    return std::any_of(candidates.begin(), candidates.end(),
                       [&](const auto& candidate) { return has_capacity(candidate, needed, now); });
}

const loaded_instance* choose_for_write(group_state& state, const std::vector<loaded_instance>& candidates,
                                        const waiting_request& item, capacity needed, instant now) {
    const auto* primary = serving_primary(state);
    const bool begins = item.request.kind == request_kind::begin;
    if (primary == nullptr || primary->term < item.request.session.term || is_write_held(state, begins)) {
        return nullptr;
    }
    // Without a majority the change could not be acknowledged; while it waits here it has certainly not run.
    if (instances_up(state) < majority(state)) {
        return nullptr;
    }
    for (const auto& candidate : candidates) {
        if (candidate.instance != primary || !has_capacity(candidate, needed, now)) {
            continue;
        }
        return begins && count_transactions(state, primary->config.id) >= transaction_limit(*primary) ? nullptr : &candidate;
    }
    return nullptr;
}

const loaded_instance* choose_target(group_state& state, const std::vector<loaded_instance>& candidates,
                                     const waiting_request& item, capacity needed, instant now) {
    if (item.request.kind == request_kind::read) {
        return choose_reader(state, candidates, item, needed, now);
    }
    return choose_for_write(state, candidates, item, needed, now);
}

void start_request(group_step& step, const loaded_instance& target, waiting_request item) {
    auto& connection = step.state.connections.at(target.load.idle);
    endpoint_call call;
    call.request = item.request.id;
    call.statement = item.request.statement;
    call.write = item.request.kind != request_kind::read;
    call.term = call.write ? step.state.primary.term : 0;
    call.idempotency_key = item.request.kind == request_kind::write ? item.request.idempotency_key : std::string();
    call.operation = item.request.kind == request_kind::begin ? endpoint_operation::begin : endpoint_operation::execute;
    send_request(step, connection, std::move(call), std::move(item));
}

/// A bounded part of the queue is enough to see which instances need another connection.
constexpr std::size_t demand_scan_limit = 32;

std::map<endpoint_id, std::size_t> connection_demand(group_state& state, const std::vector<loaded_instance>& candidates,
                                                     instant now) {
    std::map<endpoint_id, std::size_t> demand;
    std::size_t seen = 0;
    for (const auto& [workspace, items] : state.queue.waiting) {
        for (const auto& item : items) {
            const auto* target =
                seen++ < demand_scan_limit ? choose_target(state, candidates, item, capacity::soon, now) : nullptr;
            if (target != nullptr) {
                ++demand[target->instance->config.id];
            }
        }
    }
    return demand;
}

void prepare_connections(group_step& step, const std::vector<loaded_instance>& candidates) {
    const auto demand = connection_demand(step.state, candidates, step.now);
    for (const auto& candidate : candidates) {
        const auto found = demand.find(candidate.instance->config.id);
        if (found == demand.end()) {
            continue;
        }
        validate_idle_connections(step, found->first, found->second);
        const auto& load = candidate.load;
        const auto useful = std::min(found->second, statement_limit(*candidate.instance) - load.running);
        auto coming = load.opening + load.unvalidated;
        for (auto open = load.statements; coming < useful && may_open(*candidate.instance, open, step.now); ++open, ++coming) {
            open_connection_to(step, *candidate.instance, false);
        }
    }
}

}  // namespace

void dispatch_requests(group_step& step) {
    send_transaction_statements(step);
    if (step.state.queue.waiting.empty()) {
        return;
    }
    auto candidates = list_candidates(step.state, step.now);
    while (any_has_capacity(candidates, capacity::now, step.now)) {
        const loaded_instance* target = nullptr;
        auto item = pop_request(step.state.queue, [&](const waiting_request& waiting) {
            target = choose_target(step.state, candidates, waiting, capacity::now, step.now);
            return target != nullptr;
        });
        if (!item) {
            break;
        }
        start_request(step, *target, std::move(*item));
        ++step.state.read_rotation;
        candidates = list_candidates(step.state, step.now);
    }
    if (!step.state.queue.waiting.empty() && any_has_capacity(candidates, capacity::soon, step.now)) {
        prepare_connections(step, candidates);
    }
}

}  // namespace camphorstack
