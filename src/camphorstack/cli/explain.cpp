#include "camphorstack/cli/explain.hpp"

#include <absl/flags/flag.h>

#include <iostream>

#include "camphorstack/cli/exit_codes.hpp"
#include "camphorstack/cli/files.hpp"
#include "camphorstack/cli/fleet_explanation.hpp"
#include "camphorstack/cli/fleet_status.hpp"
#include "camphorstack/cli/host_flag.hpp"
#include "camphorstack/cli/http_client.hpp"
#include "camphorstack/cli/request_trace.hpp"
#include "camphorstack/support/errors.hpp"

ABSL_FLAG(std::uint32_t, last, 50, "number of decisions to print, the newest ones");
ABSL_FLAG(std::string, request, "", "id of a request whose lines are printed from log files of session hosts");

namespace camphorstack {

namespace {

fleet_explanation fetch_explanations(const std::string& address, std::size_t last) {
    std::vector<std::string> addresses;
    std::vector<std::string> unreachable_hosts;
    for (const auto& host : fetch_fleet(address)) {
        if (host.status) {
            addresses.push_back(host.listed.subject.http_address);
        } else {
            unreachable_hosts.push_back(host.listed.subject.id + " (" + host.fault + ")");
        }
    }
    const auto answers = http_get_all(addresses, "/v1/explain");
    std::vector<host_explanation> explanations;
    for (std::size_t i = 0; i < answers.size(); ++i) {
        if (const auto parsed = parse_host_explanation(answers[i].body)) {
            explanations.push_back(*parsed);
        } else {
            unreachable_hosts.push_back(addresses[i]);
        }
    }
    return merge_explanations(explanations, std::move(unreachable_hosts), last);
}

int explain_request(const std::string& request, const std::vector<std::string>& files) {
    std::vector<process_log> logs;
    try {
        for (const auto& path : files) {
            logs.push_back({path, read_file(path)});
        }
    } catch (const io_error& failure) {
        std::cerr << failure.what() << '\n';
        return exit_usage;
    }
    const auto trace = trace_request(logs, request);
    if (trace.empty()) {
        std::cerr << "no log line names request " << request << "; successful requests are logged only twice a second\n";
        return exit_invalid;
    }
    std::cout << format_trace(trace);
    return exit_ok;
}

}  // namespace

int run_explain(const std::vector<std::string>& arguments) {
    const auto request = absl::GetFlag(FLAGS_request);
    if (!request.empty() && !arguments.empty()) {
        return explain_request(request, arguments);
    }
    if (!request.empty() || !arguments.empty()) {
        std::cerr << "usage: camphorstack explain --host=ip:port [--json] [--last=N]\n"
                     "       camphorstack explain --request=ID LOG...\n";
        return exit_usage;
    }
    const auto address = host_from_flag();
    try {
        const auto explanation = fetch_explanations(address, absl::GetFlag(FLAGS_last));
        std::cout << (absl::GetFlag(FLAGS_json) ? format_explanation_json(explanation) + "\n" : format_explanation(explanation));
    } catch (const io_error& failure) {
        std::cerr << failure.what() << '\n';
        return exit_unreachable;
    }
    return exit_ok;
}

command explain_command() {
    return {"explain",
            "show recent decisions of all hosts and why they were taken",
            "usage: camphorstack explain --host=ip:port [--json] [--last=N]\n"
            "       camphorstack explain --request=ID LOG...\n\n"
            "Prints decisions oldest first with their observations, then the refused requests by reason.\n"
            "With --request, prints from log files of session hosts the lines of one request and its hosts' state changes.\n\n"
            "examples:\n"
            "  camphorstack explain --host=127.0.0.1:7201 --last=20\n"
            "  camphorstack explain --request=4b8d8180475ca817 /var/log/camphorstack/*.log\n\n"
            "exit codes: 0 shown; 1 wrong usage; 2 no log names the request; 4 the given host does not answer\n",
            {"host", "json", "last", "request"},
            {},
            &run_explain};
}

}  // namespace camphorstack
