#include "camphorstack/cli/explain.hpp"

#include <absl/flags/flag.h>

#include <iostream>

#include "camphorstack/cli/exit_codes.hpp"
#include "camphorstack/cli/fleet_explanation.hpp"
#include "camphorstack/cli/fleet_status.hpp"
#include "camphorstack/cli/host_flag.hpp"
#include "camphorstack/cli/http_client.hpp"
#include "camphorstack/support/errors.hpp"

ABSL_FLAG(std::uint32_t, last, 50, "number of decisions to print, the newest ones");

namespace camphorstack {

namespace {

fleet_explanation fetch_explanations(const std::string& address, std::size_t last) {
    std::vector<std::string> addresses;
    std::vector<std::string> silent;
    for (const auto& host : fetch_fleet(address)) {
        if (host.status) {
            addresses.push_back(host.listed.subject.http_address);
        } else {
            silent.push_back(host.listed.subject.id + " (" + host.fault + ")");
        }
    }
    const auto answers = http_get_all(addresses, "/v1/explain");
    std::vector<host_explanation> explanations;
    for (std::size_t i = 0; i < answers.size(); ++i) {
        if (const auto read = parse_host_explanation(answers[i].body)) {
            explanations.push_back(*read);
        } else {
            silent.push_back(addresses[i]);
        }
    }
    return merge_explanations(explanations, std::move(silent), last);
}

}  // namespace

int run_explain(const std::vector<std::string>& arguments) {
    if (!arguments.empty()) {
        std::cerr << "usage: camphorstack explain --host=ip:port [--json] [--last=N]\n";
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
            "usage: camphorstack explain --host=ip:port [--json] [--last=N]\n\n"
            "Prints decisions oldest first with their observations, then the refused requests by reason.\n\n"
            "examples:\n"
            "  camphorstack explain --host=127.0.0.1:7201 --last=20\n\n"
            "exit codes: 0 shown; 1 wrong usage; 4 the given host does not answer\n",
            {"host", "json", "last"},
            {},
            &run_explain};
}

}  // namespace camphorstack
