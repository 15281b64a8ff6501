#include "camphorstack/cli/host_flag.hpp"

#include <absl/flags/flag.h>

#include "camphorstack/document/checks.hpp"
#include "camphorstack/support/errors.hpp"

ABSL_FLAG(std::string, host, "", "HTTP address of any host of the fleet, ip:port");
ABSL_FLAG(bool, json, false, "print one JSON object instead of text");

namespace camphorstack {

std::string host_from_flag() {
    auto address = absl::GetFlag(FLAGS_host);
    if (!is_ip_and_port(address)) {
        throw error("--host must be an IP number and a port, such as 127.0.0.1:7201");
    }
    return address;
}

}  // namespace camphorstack
