#pragma once

#include <string>

#include "camphorstack/hosts/host_report.hpp"

namespace camphorstack {

/// JSON body of GET /v1/status: versions, hosts, data centres, databases and workspaces in the view of one host.
[[nodiscard]] std::string format_status(const host_report& report);

/// JSON body of GET /v1/explain: the host's decisions, newest last, and its refusals by workspace and reason.
[[nodiscard]] std::string format_explanation(const host_report& report);

}  // namespace camphorstack
