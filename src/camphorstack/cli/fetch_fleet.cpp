#include <algorithm>

#include "camphorstack/cli/fleet_status.hpp"
#include "camphorstack/cli/http_client.hpp"
#include "camphorstack/support/errors.hpp"

namespace camphorstack {

namespace {

constexpr unsigned status_ok = 200;

std::string fault_of(const http_answer& answer) {
    if (answer.status == 0) {
        return "no answer: " + answer.fault;
    }
    return answer.status == status_ok ? "answer is not a status page" : "HTTP status " + std::to_string(answer.status);
}

}  // namespace

std::vector<fleet_host> fetch_fleet(const std::string& address) {
    const auto first_answer = http_get(address, "/v1/status", host_timeout_s);
    const auto first = first_answer.status == status_ok ? parse_host_status(first_answer.body) : std::nullopt;
    if (!first) {
        throw io_error("host " + address + ": " + fault_of(first_answer));
    }
    const auto listed = hosts_to_query(*first, address);
    std::vector<std::string> addresses;
    std::ranges::transform(listed, std::back_inserter(addresses),
                           [](const listed_member& entry) { return entry.subject.http_address; });
    const auto answers = http_get_all(addresses, "/v1/status");
    std::vector<fleet_host> hosts;
    for (std::size_t i = 0; i < listed.size(); ++i) {
        fleet_host host{listed[i], answers[i].status == status_ok ? parse_host_status(answers[i].body) : std::nullopt, ""};
        if (!host.status) {
            host.fault = fault_of(answers[i]);
        }
        hosts.push_back(std::move(host));
    }
    return hosts;
}

}  // namespace camphorstack
