#include "camphorstack/cli/status.hpp"

#include <absl/flags/flag.h>

#include <iostream>

#include "camphorstack/cli/exit_codes.hpp"
#include "camphorstack/cli/fleet_status.hpp"
#include "camphorstack/cli/host_flag.hpp"
#include "camphorstack/support/errors.hpp"

namespace camphorstack {

int run_status(const std::vector<std::string>& arguments) {
    if (!arguments.empty()) {
        std::cerr << "usage: camphorstack status --host=ip:port [--json]\n";
        return exit_usage;
    }
    const auto address = host_from_flag();
    try {
        const auto status = merge_status(fetch_fleet(address));
        std::cout << (absl::GetFlag(FLAGS_json) ? format_status_json(status) + "\n" : format_status(status));
    } catch (const io_error& failure) {
        std::cerr << failure.what() << '\n';
        return exit_unreachable;
    }
    return exit_ok;
}

command status_command() {
    return {"status",
            "show hosts, data centres, endpoints and workspaces of the fleet",
            "usage: camphorstack status --host=ip:port [--json]\n\n"
            "Queries the host and all hosts that it lists. Hosts that do not answer are shown with the reason.\n\n"
            "examples:\n"
            "  camphorstack status --host=127.0.0.1:7201\n"
            "  camphorstack status --host=127.0.0.1:7201 --json\n\n"
            "exit codes: 0 shown; 1 wrong usage; 4 the given host does not answer\n",
            {"host", "json"},
            {},
            &run_status};
}

}  // namespace camphorstack
