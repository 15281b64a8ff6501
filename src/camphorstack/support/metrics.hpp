#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "camphorstack/hosts/request.hpp"
#include "camphorstack/support/ids.hpp"

namespace camphorstack {

/// Escapes a label's value as the Prometheus text format requires.
[[nodiscard]] std::string escape_label(const std::string& text);

/// One answered request with the outcome and latency that the caller observed.
struct request_sample {
    workspace_id workspace;  ///< Empty if the key is not known.
    request_kind kind = request_kind::read;
    request_outcome outcome = request_outcome::not_run;
    refusal reason = refusal::none;
    std::int64_t latency_us = 0;  ///< Time from the complete request to its answer, in microseconds.

    friend bool operator==(const request_sample&, const request_sample&) = default;
};

/// Latency histograms for each workspace and kind, and counters by kind, outcome and reason.
class request_metrics {
public:
    /// Maximum number of workspaces with their own histograms. All further workspaces share the label "other", which bounds the
    /// number of series.
    static constexpr std::size_t workspace_limit = 512;

    request_metrics();
    request_metrics(const request_metrics&) = delete;
    request_metrics& operator=(const request_metrics&) = delete;
    request_metrics(request_metrics&&) = delete;
    request_metrics& operator=(request_metrics&&) = delete;
    ~request_metrics();

    void record(const request_sample& sample);

    /// Returns all series in the Prometheus text format, version 0.0.4.
    [[nodiscard]] std::string render() const;

private:
    struct state;
    std::unique_ptr<state> impl;
};

}  // namespace camphorstack
