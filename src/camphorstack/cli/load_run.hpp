#pragma once

#include "camphorstack/cli/load_measures.hpp"
#include "camphorstack/cli/load_plan.hpp"
#include "camphorstack/cli/load_request.hpp"

namespace camphorstack {

/// Offers the plan's load through the transport, on the default main loop, until its duration or its number of requests is
/// reached, then reads every counter once more. Returns the measurements.
[[nodiscard]] load_measures offer_load(const load_plan& plan, load_transport& transport);

}  // namespace camphorstack
