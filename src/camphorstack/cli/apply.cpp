#include "camphorstack/cli/apply.hpp"

#include <absl/flags/flag.h>
#include <glib.h>

#include <algorithm>
#include <iostream>

#include "camphorstack/cli/apply_decision.hpp"
#include "camphorstack/cli/exit_codes.hpp"
#include "camphorstack/cli/files.hpp"
#include "camphorstack/cli/fleet_status.hpp"
#include "camphorstack/cli/host_flag.hpp"
#include "camphorstack/cli/platform_client.hpp"
#include "camphorstack/document/checks.hpp"
#include "camphorstack/document/document_file.hpp"
#include "camphorstack/support/clock.hpp"
#include "camphorstack/support/errors.hpp"

ABSL_FLAG(std::string, platform, "", "HTTP address of the platform, ip:port");
ABSL_FLAG(std::int64_t, read_version, -1, "version of the section that the change is based on; -1: the present one");
ABSL_FLAG(double, wait, 0, "wait this many seconds until all hosts have the change in force; needs --host");
ABSL_FLAG(bool, show, false, "print the section's content and version instead of changing it");

namespace camphorstack {

namespace {

constexpr const char* usage_line =
    "usage: camphorstack apply --platform=ip:port SECTION FILE [--read_version=N] [--wait[=SECONDS] --host=ip:port]\n"
    "       camphorstack apply --platform=ip:port --show SECTION\n";

/// Time between two calls to the platform after a lost answer or a conflict, and between two status requests to the hosts.
constexpr millis retry_interval{200};
constexpr std::int64_t microseconds_per_millisecond = 1000;
constexpr std::int64_t milliseconds_per_second = 1000;

void wait_for_retry() {
    g_usleep(static_cast<gulong>(retry_interval.count * microseconds_per_millisecond));
}

std::string platform_from_flag() {
    auto address = absl::GetFlag(FLAGS_platform);
    if (!is_ip_and_port(address)) {
        throw error("--platform must be an IP number and a port, such as 127.0.0.1:7000");
    }
    return address;
}

std::string new_change_id() {
    char* text = g_uuid_string_random();
    std::string id{text};
    g_free(text);
    return id;
}

int show_section(const std::string& platform, const std::string& section) {
    const auto answer = call_platform(platform, {1, platform_operation::read, "document", 0, ""});
    if (answer.status == platform_status::unavailable) {
        std::cerr << "the platform does not answer\n";
        return exit_unreachable;
    }
    const auto entry = find_section(answer.value, section);
    // The version goes to standard error, so that standard output can be saved as a file and applied again.
    std::cerr << "read_version=" << (entry ? entry->version : 0) << '\n';
    std::cout << (entry ? entry->content : "{}") << '\n';
    return exit_ok;
}

apply_result run_update(const std::string& platform, apply_state& state) {
    auto action = start_apply(state);
    while (const auto* call = std::get_if<platform_call>(&action)) {
        const auto answer = call_platform(platform, *call);
        if (answer.status == platform_status::unavailable || answer.status == platform_status::conflict) {
            wait_for_retry();
        }
        action = continue_apply(state, answer);
    }
    return std::get<apply_result>(action);
}

int exit_code_of(apply_outcome outcome) {
    switch (outcome) {
        case apply_outcome::accepted:
            return exit_ok;
        case apply_outcome::conflict:
            return exit_conflict;
        case apply_outcome::invalid:
            return exit_invalid;
        case apply_outcome::unreachable:
            return exit_unreachable;
        case apply_outcome::unknown:
            break;
    }
    return exit_unknown;
}

/// Result of asking all hosts once which version they have in force.
struct version_check {
    std::vector<std::string> lagging;  ///< Result of `lagging_hosts`; only the error if the host from --host does not answer.
    std::vector<host_id> dead;         ///< Hosts that are listed as dead and do not answer.
};

version_check check_hosts(const std::string& host, document_version version, millis waited) {
    try {
        const auto hosts = fetch_fleet(host);
        return {lagging_hosts(hosts, version, waited), dead_hosts(hosts)};
    } catch (const io_error& failure) {
        return {{failure.what()}, {}};
    }
}

int wait_until_in_force(const std::string& host, document_version version, millis limit) {
    const monotonic_clock clock;
    const instant start = clock.now();
    auto check = check_hosts(host, version, millis{0});
    while (!check.lagging.empty() && clock.now() - start < limit) {
        wait_for_retry();
        check = check_hosts(host, version, clock.now() - start);
    }
    if (check.lagging.empty()) {
        std::ranges::for_each(check.dead,
                              [](const auto& id) { std::cerr << "host is dead and can serve no callers: " << id << '\n'; });
        std::cout << "in force on all hosts version=" << version << '\n';
        return exit_ok;
    }
    std::cerr << "not in force after " << (clock.now() - start).count << "ms:\n";
    std::ranges::for_each(check.lagging, [](const auto& line) { std::cerr << "  " << line << '\n'; });
    return exit_not_in_force;
}

}  // namespace

int run_apply(const std::vector<std::string>& arguments) {
    const bool show = absl::GetFlag(FLAGS_show);
    if (arguments.size() != (show ? 1 : 2)) {
        std::cerr << usage_line;
        return exit_usage;
    }
    const auto platform = platform_from_flag();
    if (std::ranges::find(section_names(), arguments[0]) == section_names().end()) {
        throw error("unknown section \"" + arguments[0] + "\"");
    }
    if (show) {
        return show_section(platform, arguments[0]);
    }
    const millis limit{static_cast<std::int64_t>(absl::GetFlag(FLAGS_wait) * milliseconds_per_second)};
    const std::string host = limit > millis{0} ? host_from_flag() : "";
    apply_state state;
    state.change = {arguments[0], read_file(arguments[1]), 0, new_change_id()};
    if (const auto given = absl::GetFlag(FLAGS_read_version); given >= 0) {
        state.read_version = static_cast<document_version>(given);
    }
    const auto result = run_update(platform, state);
    if (result.outcome != apply_outcome::accepted) {
        std::cerr << result.text << '\n';
        return exit_code_of(result.outcome);
    }
    std::cout << "accepted version=" << result.version << std::endl;
    return limit > millis{0} ? wait_until_in_force(host, result.version, limit) : exit_ok;
}

command apply_command() {
    return {"apply",
            "change one section of the document, or show it",
            std::string{usage_line} +
                "\nSections: tenancy, capacity, data_centres, databases. The change is made only if the section is still at\n"
                "--read_version; changes to other sections do not matter. 'accepted' means that the platform stored the\n"
                "change, 'in force on all hosts' that every host applies it. --wait without a value waits 9 s.\n\n"
                "examples:\n"
                "  camphorstack apply --platform=127.0.0.1:7000 --show capacity > capacity.json\n"
                "  camphorstack apply --platform=127.0.0.1:7000 capacity capacity.json --read_version=12 \\\n"
                "      --wait --host=127.0.0.1:7201\n\n"
                "exit codes: 0 accepted (with --wait: in force); 1 wrong usage or unreadable file; 2 the document would have\n"
                "errors; 3 the section changed since it was read; 4 the platform does not answer, nothing changed;\n"
                "5 accepted, but not in force on the named hosts in time; 6 an answer was lost and the outcome is unknown\n",
            {"platform", "read_version", "wait", "show", "host"},
            {{"wait", "9"}},
            &run_apply};
}

}  // namespace camphorstack
