#include <catch2/catch.hpp>

#include "camphorstack/settings/daemon_settings.hpp"
#include "support/mutation.hpp"

using namespace camphorstack;

namespace {

const std::string required_keys = R"(id: amman-1
data_centre: amman-a
peer_address: 127.0.0.1:7101
http_address: 127.0.0.1:7201
platform_address: 127.0.0.1:7000
fleet_secret: 0123456789abcdef
token_secret: fedcba9876543210
)";

std::string errors_of(const std::string& text) {
    try {
        static_cast<void>(parse_settings(text, "a.yaml"));
    } catch (const settings_error& failure) {
        return failure.what();
    }
    return "";
}

std::string replaced(std::string text, const std::string& from, const std::string& to) {
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

}  // namespace

TEST_CASE("settings with all sections are read", "[settings]") {
    const auto read = parse_settings(required_keys + R"(seeds:
  - {id: amman-1, peer_address: "127.0.0.1:7101", http_address: "127.0.0.1:7201", data_centre: amman-a}
  - {id: irbid-1, peer_address: "127.0.0.1:7102", http_address: "127.0.0.1:7202", data_centre: irbid-a}
membership: {probe_interval: 100ms, relays: 3}
shares: {loan_duration: 1s, changeover: 3500ms}
group: {statement_timeout: 1min, replica_wait: 0ms, queue_limit: 10}
host: {confirm_interval: 250ms, push_fanout: 4}
)",
                                     "a.yaml");
    CHECK(read.host.self == member{"amman-1", "127.0.0.1:7101", "127.0.0.1:7201", "amman-a"});
    CHECK(read.host.seeds == std::vector<member>{{"irbid-1", "127.0.0.1:7102", "127.0.0.1:7202", "irbid-a"}});
    CHECK(read.platform_address == "127.0.0.1:7000");
    CHECK(read.fleet_secret == "0123456789abcdef");
    CHECK(read.host.token_secret == "fedcba9876543210");
    CHECK(read.host.membership.probe_interval == millis{100});
    CHECK(read.host.membership.relays == 3);
    CHECK(read.host.shares.loan_duration == millis{1000});
    CHECK(read.host.group.statement_timeout == millis{60000});
    CHECK(read.host.group.replica_wait == millis{0});
    CHECK(read.host.group.queue_limit == 10);
    CHECK(read.host.confirm_interval == millis{250});
    CHECK(read.host.push_fanout == 4);
    CHECK(parse_settings(required_keys, "a.yaml").host.membership == membership_settings{});
}

// Guards against a daemon that starts in spite of a mistake in its settings file.
TEST_CASE("each wrong setting is named with its file and line", "[settings]") {
    const std::string seed = "  - {id: b, peer_address: 127.0.0.1:1, http_address: 127.0.0.1:2, data_centre: x}\n";
    const std::vector<std::pair<std::string, std::string>> cases{
        {"colour: red\n", "a.yaml:8: colour: unknown key"},
        {"id: again\n", "a.yaml:8: id: is given twice"},
        {"group:\n  suspect_after: 350\n", "a.yaml:9: group.suspect_after: missing unit: write 350ms or 350s"},
        {"group: {suspect_after: 350us}\n", "a.yaml:8: group.suspect_after: wrong unit \"us\": must be ms, s or min"},
        {"group: {suspect_after: -1ms}\n", "a.yaml:8: group.suspect_after: must be a whole number with a unit, such as 200ms"},
        {"group: {suspect_after: []}\n", "a.yaml:8: group.suspect_after: must be a duration such as 200ms"},
        {"group: {suspect_after: 25000000000s}\n", "a.yaml:8: group.suspect_after: must be at most 24 hours"},
        {"group: {suspect_after: 100ms}\n",
         "a.yaml:8: group.suspect_after: must be more than probe_interval, or every primary would be suspected"},
        {"group: {fence_timeout: 0ms}\n", "a.yaml:8: group.fence_timeout: must be at least 1ms"},
        {"group: {queue_limit: 0}\n", "a.yaml:8: group.queue_limit: must be a whole number from 1 to 1000000"},
        {"group: 5\n", "a.yaml:8: group: must be a mapping"},
        {"membership: {speed: 1}\n", "a.yaml:8: membership.speed: unknown key"},
        {"shares: {loan_duration: 1001ms}\n", "a.yaml:8: shares.loan_duration: must be at most 1000ms"},
        {"shares: {changeover: 3000ms}\n",
         "a.yaml:8: shares.changeover: must be more than 3000ms, the time for which evidence and a loan can outlive a member "
         "list"},
        {"host: {confirm_interval: 1200ms}\n",
         "a.yaml:8: host.confirm_interval: with platform_timeout must be less than 2000ms, or evidence would become stale "
         "before it is renewed"},
        {"seeds: b\n", "a.yaml:8: seeds: must be a list"},
        {"seeds: [b]\n", "a.yaml:8: seeds[0]: must be a mapping"},
        {"seeds:\n" + seed + seed,
         "a.yaml:10: seeds[1].id: duplicate id \"b\"\n"
         "a.yaml:10: seeds[1].peer_address: duplicate address 127.0.0.1:1"},
        {"seeds:\n" + replaced(seed, "id: b", "id: amman-1"),
         "a.yaml:9: seeds[0].id: duplicate id \"amman-1\": this host has the same id but other addresses"},
        {"seeds:\n" + replaced(seed, "data_centre: x", "colour: x"),
         "a.yaml:9: seeds[0].data_centre: is missing\na.yaml:9: seeds[0].colour: unknown key"},
        {"a: [\n", "a.yaml:9: not valid YAML: "},
    };
    for (const auto& [text, expected] : cases) {
        INFO(text);
        const auto errors = errors_of(required_keys + text);
        if (expected.ends_with(": ")) {
            CHECK(errors.starts_with(expected));
        } else {
            CHECK(errors == expected);
        }
    }
}

TEST_CASE("missing addresses, bad addresses and short secrets are all reported at once", "[settings]") {
    CHECK(errors_of("id: a b\ndata_centre: x\npeer_address: localhost:7101\nplatform_address: 127.0.0.1:0\n"
                    "fleet_secret: short-secret\ntoken_secret: fedcba9876543210\n") ==
          "a.yaml:1: id: must be 1 to 100 letters, digits, '.', '_' or '-'\n"
          "a.yaml:3: peer_address: must be an IP number and a port, such as 127.0.0.1:7001\n"
          "a.yaml:1: http_address: is missing\n"
          "a.yaml:4: platform_address: must be an IP number and a port, such as 127.0.0.1:7001\n"
          "a.yaml:5: fleet_secret: must have at least 16 characters");
    CHECK(errors_of(replaced(required_keys, "http_address: 127.0.0.1:7201", "http_address: 127.0.0.1:7101")) ==
          "a.yaml:4: http_address: must differ from peer_address");
    CHECK(errors_of("") == "a.yaml:1: must be a mapping of settings");
    CHECK(errors_of("\xff") == "a.yaml:1: text is not valid UTF-8");
}

// Guards against a crash, a hang or an unexpected exception type for a corrupted settings file.
TEST_CASE("5,000 mutations of a settings file give settings or a settings error", "[settings][fuzz]") {
    const std::string original = required_keys + "seeds:\n  - {id: b, peer_address: 127.0.0.1:1}\ngroup: {queue_limit: 3}\n";
    const std::string alphabet = "{}[]:,&*!|>'\"%@`#-?\n\t 0a\xff\\";
    std::mt19937_64 random{20260101};
    int refused = 0;
    for (int run = 0; run < 5000; ++run) {
        const auto text = mutate(original, alphabet, random);
        try {
            static_cast<void>(parse_settings(text, "a.yaml"));
        } catch (const settings_error&) {
            ++refused;
        }
    }
    CHECK(refused > 2500);
}
