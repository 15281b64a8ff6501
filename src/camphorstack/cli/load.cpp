#include "camphorstack/cli/load.hpp"

#include <absl/flags/flag.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <iostream>
#include <map>
#include <memory>

#include "camphorstack/cli/exit_codes.hpp"
#include "camphorstack/cli/load_direct.hpp"
#include "camphorstack/cli/load_http.hpp"
#include "camphorstack/cli/load_run.hpp"
#include "camphorstack/support/errors.hpp"

ABSL_FLAG(std::vector<std::string>, targets, {}, "daemons as ip:port,ip:port; with --direct one instance");
ABSL_FLAG(std::vector<std::string>, keys, {}, "WORKSPACE=KEY,WORKSPACE=KEY");
ABSL_FLAG(std::vector<std::string>, rates, {},
          "WORKSPACE=REQUESTS_PER_S; without one, sessions send as fast as they get answers");
ABSL_FLAG(std::vector<std::string>, entitled, {}, "WORKSPACE=REQUESTS_PER_S of the contract, for the worst-served workspace");
ABSL_FLAG(std::string, route, "", "route of all requests");
ABSL_FLAG(std::vector<std::string>, databases, {}, "databases, one chosen at random for each request");
ABSL_FLAG(double, seconds, 10, "duration of the load in seconds");
ABSL_FLAG(std::uint64_t, requests, 0, "end after this many requests; 0: by time only");
ABSL_FLAG(std::size_t, sessions, 4, "sessions of each workspace; each has one request open at a time");
ABSL_FLAG(double, read_share, 0.9, "share of reads");
ABSL_FLAG(double, aged_share, 0, "share of the reads that accept data up to --max_age_ms old");
ABSL_FLAG(int, max_age_ms, 1000, "age bound of the reads that accept old data, in milliseconds");
ABSL_FLAG(double, transaction_share, 0, "share of the writes that are transactions of two statements");
ABSL_FLAG(bool, roam, true, "sessions send each request to a daemon chosen at random");
ABSL_FLAG(int, slow_ms, 1000, "requests answered later than this count as slowed, in milliseconds");
ABSL_FLAG(int, timeout_ms, 5000, "deadline sent with each statement, in milliseconds");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of all random choices");
ABSL_FLAG(bool, direct, false, "send the same statements straight to an instance through libpq");

namespace camphorstack {

namespace {

constexpr int exit_violation = 3;
constexpr double ms_per_s = 1000;

std::map<std::string, std::string> parse_pairs(const std::vector<std::string>& texts) {
    std::map<std::string, std::string> pairs;
    for (const auto& text : texts) {
        const std::pair<std::string, std::string> pair = absl::StrSplit(text, absl::MaxSplits('=', 1));
        pairs[pair.first] = pair.second;
    }
    return pairs;
}

double rate_of(const std::map<std::string, std::string>& pairs, const std::string& name) {
    const auto found = pairs.find(name);
    double value = 0;
    if (found != pairs.end() && (!absl::SimpleAtod(found->second, &value) || !(value > 0))) {
        throw format_error("not a rate above 0: " + name + "=" + found->second);
    }
    return value;
}

std::vector<load_workspace> workspaces_from_flags() {
    const auto rates = parse_pairs(absl::GetFlag(FLAGS_rates));
    const auto entitled = parse_pairs(absl::GetFlag(FLAGS_entitled));
    std::vector<load_workspace> workspaces;
    for (const auto& [id, key] : parse_pairs(absl::GetFlag(FLAGS_keys))) {
        workspaces.push_back({id, key, rate_of(rates, id), rate_of(entitled, id)});
    }
    return workspaces;
}

load_plan plan_from_flags() {
    load_plan plan;
    plan.targets = absl::GetFlag(FLAGS_targets);
    plan.workspaces = workspaces_from_flags();
    plan.route = absl::GetFlag(FLAGS_route);
    plan.databases = absl::GetFlag(FLAGS_databases);
    plan.duration = millis{static_cast<std::int64_t>(absl::GetFlag(FLAGS_seconds) * ms_per_s)};
    plan.max_requests = absl::GetFlag(FLAGS_requests);
    plan.sessions = absl::GetFlag(FLAGS_sessions);
    plan.read_share = absl::GetFlag(FLAGS_read_share);
    plan.aged_share = absl::GetFlag(FLAGS_aged_share);
    plan.max_age = millis{absl::GetFlag(FLAGS_max_age_ms)};
    plan.transaction_share = absl::GetFlag(FLAGS_transaction_share);
    plan.roam = absl::GetFlag(FLAGS_roam);
    plan.slow_threshold = millis{absl::GetFlag(FLAGS_slow_ms)};
    plan.timeout = millis{absl::GetFlag(FLAGS_timeout_ms)};
    plan.seed = absl::GetFlag(FLAGS_seed);
    plan.direct = absl::GetFlag(FLAGS_direct);
    if (plan.targets.empty() || plan.workspaces.empty() || plan.databases.empty() || plan.sessions == 0) {
        throw format_error("--targets, --keys and --databases are required, and at least one session");
    }
    if (plan.direct && (plan.targets.size() != 1 || plan.databases.size() != 1)) {
        throw format_error("--direct takes one target and one database");
    }
    return plan;
}

}  // namespace

int run_load(const std::vector<std::string>& arguments) {
    load_plan plan;
    try {
        plan = plan_from_flags();
    } catch (const format_error& failure) {
        std::cerr << failure.what() << '\n';
        return exit_usage;
    }
    if (!arguments.empty()) {
        std::cerr << "load takes only flags, no other arguments\n";
        return exit_usage;
    }
    std::unique_ptr<load_transport> transport;
    if (plan.direct) {
        transport = std::make_unique<load_direct>(plan);
    } else {
        transport = std::make_unique<load_http>(plan);
    }
    const auto measures = offer_load(plan, *transport);
    std::cout << format_measures(measures, plan);
    return measures.violations.empty() ? exit_ok : exit_violation;
}

command load_command() {
    return {"load",
            "offer a bounded load and check that no write is lost or doubled and no read is stale",
            "usage: camphorstack load --targets=ip:port,... --keys=WORKSPACE=KEY,... --route=ROUTE --databases=DATABASE,...\n\n"
            "Prints latencies for each workspace and the five measures. Each session adds to its own counters and checks their "
            "values.\n\n"
            "examples:\n"
            "  camphorstack load --targets=127.0.0.1:7201,127.0.0.1:7202 --keys=counters=SECRET --route=books \\\n"
            "      --databases=serial-registry-1 --seconds=10 --rates=counters=200\n"
            "  camphorstack load --direct --targets=127.0.0.1:7101 --keys=counters= --databases=serial-registry-1\n\n"
            "exit codes: 0 no violation; 1 wrong usage; 3 a write was lost or doubled, or a read was stale\n",
            {"targets", "keys", "rates", "entitled", "route", "databases", "seconds", "requests", "sessions", "read_share",
             "aged_share", "max_age_ms", "transaction_share", "roam", "slow_ms", "timeout_ms", "seed", "direct"},
            {{"direct", "true"}, {"roam", "true"}},
            &run_load};
}

}  // namespace camphorstack
