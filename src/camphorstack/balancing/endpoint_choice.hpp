#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "camphorstack/support/clock.hpp"
#include "camphorstack/support/random.hpp"

namespace camphorstack {

/// What one host knows of an endpoint's queue without asking: the queue time that came with the last answer, and what the host
/// has sent there since.
struct load_evidence {
    millis wait;  ///< Queue time that the last answer reported; 0 if there was no answer yet.
    std::optional<instant> reported_at;
    std::size_t unanswered = 0;  ///< Runs sent since the last answer.
    instant second_sent_at;      ///< When the second of these was sent. The first alone may just be a long statement.
    instant last_sent_at;

    friend bool operator==(const load_evidence&, const load_evidence&) = default;
};

/// Notes a run that is sent to the endpoint.
void record_sent(load_evidence& evidence, instant now);

/// Notes the queue time that came with an answer of the endpoint.
void record_report(load_evidence& evidence, millis wait, instant now);

/// Limits of the choice of an endpoint.
struct choice_settings {
    /// Age up to which a reported queue time counts in full; an overrun endpoint's queue changes by about a path's cost in it.
    millis full_weight_age{200};
    /// Age from which a reported queue time, or the lack of an answer, counts for nothing.
    millis lifetime{2000};
    /// Time without an answer, beyond path and service, that is not yet taken for queue time: statements differ.
    millis answer_tolerance{50};
    /// Service time of a statement where the endpoint's own is not known.
    millis assumed_service{10};
    /// Upper limit of the random cost that separates similar endpoints.
    millis jitter{3};

    friend bool operator==(const choice_settings&, const choice_settings&) = default;
};

/// An endpoint that could serve a read.
struct endpoint_candidate {
    millis path;     ///< Round trip to the endpoint.
    millis penalty;  ///< Cost on top, for an endpoint that is needed for other work: the leader.
    millis wait;     ///< Queue time that was reported last.
    millis wait_age;
    std::size_t unanswered = 0;  ///< Runs sent by this host since the report.
    millis silent_for;           ///< Time since the second of these was sent; 0 if there are fewer.
    int slots = 1;
    std::optional<millis> mean_service;

    friend bool operator==(const endpoint_candidate&, const endpoint_candidate&) = default;
};

/// Adds the evidence to a candidate.
void apply_evidence(endpoint_candidate& candidate, const load_evidence& evidence, const choice_settings& settings, instant now);

/// Returns the cost of a candidate in milliseconds: path, penalty, and the longer of two queue times: the reported one, less the
/// older it is, with what the host's own unanswered runs add; and the one that the lack of an answer shows.
[[nodiscard]] double expected_cost(const endpoint_candidate& candidate, const choice_settings& settings);

/// Returns the index of the candidate with the lowest cost and jitter; nothing if there is no candidate.
[[nodiscard]] std::optional<std::size_t> choose_candidate(const std::vector<endpoint_candidate>& candidates,
                                                          const choice_settings& settings, random_source& random);

}  // namespace camphorstack
