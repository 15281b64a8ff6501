#include "fleet/open_loop_load.hpp"

#include <algorithm>
#include <cmath>

namespace camphorstack::fleet_tests {

double workspace_result::served_share() const {
    return this->offered == 0 ? 1.0 : static_cast<double>(this->served) / static_cast<double>(this->offered);
}

millis workspace_result::percentile(double share) const {
    return this->latencies.empty() ? millis{0} : percentile_of(this->latencies, share);
}

millis percentile_of(std::vector<millis> values, double share) {
    std::ranges::sort(values);
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
    return values[std::max<std::size_t>(rank, 1) - 1];
}

open_loop_load::open_loop_load(fleet& watched, std::vector<int> rates_per_s, int share_of_writes, std::uint64_t seed)
    : subject(watched), rates(std::move(rates_per_s)), write_percent(share_of_writes), random(seed) {}

void open_loop_load::start(instant end) {
    for (int workspace = 0; workspace < static_cast<int>(this->rates.size()); ++workspace) {
        if (this->rates[static_cast<std::size_t>(workspace)] > 0) {
            this->schedule_sends(workspace, end);
        }
    }
}

void open_loop_load::schedule_sends(int workspace, instant end) {
    // A 5 ms step with a random count around the mean keeps the load bursty.
    constexpr std::int64_t steps_per_s = 200;
    this->subject.schedule(millis{1000 / steps_per_s}, [this, workspace, end] {
        std::poisson_distribution<int> count(static_cast<double>(this->rates[static_cast<std::size_t>(workspace)]) / steps_per_s);
        for (int i = count(this->random); i > 0; --i) {
            this->send(workspace);
        }
        if (this->subject.now() < end) {
            this->schedule_sends(workspace, end);
        }
    });
}

void open_loop_load::send(int workspace) {
    const bool write = static_cast<int>(this->random() % 100) < this->write_percent;
    const int database = static_cast<int>(this->random() % 3);
    const auto key = "m" + std::to_string(write ? this->next_key++ : this->random() % (this->next_key + 1));
    auto request = this->subject.request(workspace, database, write ? request_kind::write : request_kind::read,
                                         write ? "PUT " + key + " 1" : "GET " + key);
    request.session_token = this->tokens[workspace];
    request.timeout = millis{3000};
    const auto& chosen = this->hosts_of[workspace];
    const auto hosts = chosen.empty() ? this->subject.live_hosts() : chosen;
    const auto sent = this->subject.now();
    ++this->results[workspace].offered;
    this->subject.call(hosts[this->random() % hosts.size()], request, [this, workspace, write, sent](const caller_reply& reply) {
        auto& result = this->results[workspace];
        if (reply.outcome == request_outcome::done) {
            ++result.served;
            result.latencies.push_back(this->subject.now() - sent);
            this->tokens[workspace] = reply.session_token;
            if (!write) {
                ++this->reads;
                this->replica_reads += this->subject.instance(reply.served_by).role == endpoint_role::replica ? 1 : 0;
            }
        } else if (reply.outcome == request_outcome::unknown) {
            ++result.unknown;
        } else if (reply.reason == refusal::over_rate) {
            ++result.over_rate;
        } else {
            ++result.refused;
        }
    });
}

}  // namespace camphorstack::fleet_tests
