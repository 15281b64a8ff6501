#include <glib.h>

#include <catch2/catch.hpp>

#include "camphorstack/settings/daemon_settings.hpp"
#include "camphorstack/settings/session_settings.hpp"

using namespace camphorstack;

namespace {

const std::string complete_settings = R"(id: front-1
data_centre: amman-a
peer_address: "10.1.0.1:7560"
callers_address: "10.1.0.1:8465"
readiness_address: "10.1.0.1:8460"
metrics_address: "10.1.0.1:7561"
store_address: "10.200.1.7:8466"
promotion_address: "10.200.0.2:8466"
fleet_secret: "sixteen characters"
stop_grace: 6s
key_withdrawal: 5000ms
document_in_force: 3000ms
data_centres:
  "amman-a": "amman"
  "irbid-a": "irbid"
)";

std::string errors_of(const std::string& text) {
    try {
        static_cast<void>(parse_session_settings(text, "f.yaml"));
    } catch (const settings_error& failure) {
        return failure.what();
    }
    return "";
}

/// Returns `complete_settings` without the line of `key`.
std::string without(const std::string& key) {
    const auto start = complete_settings.find(key + ":");
    return complete_settings.substr(0, start) + complete_settings.substr(complete_settings.find('\n', start) + 1);
}

}  // namespace

TEST_CASE("a session host's settings are read whole", "[settings][session-settings]") {
    const auto settings = parse_session_settings(complete_settings, "f.yaml");
    CHECK(settings.host.self == member{"front-1", "10.1.0.1:7560", "10.1.0.1:8465", "amman-a"});
    CHECK(settings.host.regions == std::map<data_centre_id, std::string>{{"amman-a", "amman"}, {"irbid-a", "irbid"}});
    CHECK(settings.host.stop_grace == millis{6000});
    CHECK(settings.host.usage == usage_settings{});
    CHECK(settings.host.entry.document_lifetime == millis{4900});
    CHECK(settings.host.entry.refusal_lifetime == millis{2940});
    CHECK(settings.store_address == "10.200.1.7:8466");
    CHECK(is_session_settings(complete_settings));
    CHECK_FALSE(is_session_settings("id: a\nhttp_address: b\n"));
    CHECK_FALSE(is_session_settings("{{"));
}

// Guards against a platform, or a stand-in for it, that cannot render a settings file that names fields it does not know.
TEST_CASE("the environment gives settings that go before those of the file", "[settings][session-settings]") {
    const settings_overrides given{{"memory_limit", "260MB"}, {"descriptor_limit", "4300"}};
    const auto settings = parse_session_settings(complete_settings + "memory_limit: 100MB\n", "f.yaml", given);
    CHECK(settings.callers.memory_limit == std::size_t{260} * 1024 * 1024);
    CHECK(settings.callers.descriptor_limit == 4300);
    CHECK_THROWS_WITH(parse_session_settings(complete_settings, "f.yaml", {{"memory_limit", "much"}}),
                      Catch::StartsWith("f.yaml with CAMPHORSTACK_MEMORY_LIMIT=much:1: memory_limit: "));
    g_setenv("CAMPHORSTACK_USAGE_WINDOW", "5s", TRUE);
    g_setenv("CAMPHORSTACK_USAGE_DUE", "", TRUE);
    CHECK(read_environment_settings() == settings_overrides{{"usage_window", "5s"}});
    g_unsetenv("CAMPHORSTACK_USAGE_WINDOW");
    g_unsetenv("CAMPHORSTACK_USAGE_DUE");
}

TEST_CASE("limits on callers are read, and have defaults", "[settings][session-settings]") {
    constexpr std::size_t mebibyte = std::size_t{1024} * 1024;
    const auto defaults = parse_session_settings(complete_settings, "f.yaml");
    CHECK(defaults.callers == caller_limits{});
    CHECK(defaults.host.entry.all_session_state_limit == 120 * mebibyte);
    const auto lowered =
        parse_session_settings(complete_settings +
                                   "memory_limit: 160MB\ndescriptor_limit: 300\nconnections_per_address: 20\nstart_time: 1s\n"
                                   "message_time: 2s\nanswer_time: 3s\nsession_state_limit: 512KB\n",
                               "f.yaml");
    CHECK(lowered.callers == caller_limits{160 * mebibyte, 300, 20, millis{1000}, millis{2000}, millis{3000}});
    CHECK(lowered.host.entry.session_state_limit == mebibyte / 2);
    CHECK(lowered.host.entry.all_session_state_limit == 32 * mebibyte);
    for (const auto* line : {"memory_limit: 47MB", "memory_limit: 160", "memory_limit: MB", "memory_limit: -1MB",
                             "session_state_limit: 0KB", "descriptor_limit: 0", "answer_time: 3"}) {
        CAPTURE(line);
        CHECK(errors_of(complete_settings + line + "\n").find("f.yaml:") != std::string::npos);
    }
}

TEST_CASE("a usage window needs the time at which it is due", "[settings][session-settings][usage]") {
    const auto usage = parse_session_settings("usage_window: 5s\nusage_due: 10s\n" + complete_settings, "f.yaml").host.usage;
    CHECK(usage.window == millis{5000});
    CHECK(usage.due == millis{10000});
    CHECK(errors_of("usage_window: 5s\n" + complete_settings).find("usage_due") != std::string::npos);
    CHECK(errors_of("usage_due: 5\n" + complete_settings).find("usage_due") != std::string::npos);
}

TEST_CASE("every error of a session host's settings is reported with its line", "[settings][session-settings]") {
    for (const auto* key : {"id", "data_centre", "peer_address", "callers_address", "readiness_address", "metrics_address",
                            "store_address", "promotion_address", "fleet_secret"}) {
        CAPTURE(key);
        CHECK(errors_of(without(key)).find(key) != std::string::npos);
    }
    const auto several = errors_of("id: \"\"\nunknown: 1\nstop_grace: 6\nfleet_secret: short\n");
    for (const auto* part : {"f.yaml:1: id", "f.yaml:2:", "f.yaml:3:", "f.yaml:4:", "callers_address", "data_centres"}) {
        CAPTURE(part, several);
        CHECK(several.find(part) != std::string::npos);
    }
    CHECK(several.find("short\n") == std::string::npos);
    CHECK_FALSE(errors_of("[1, 2").empty());
    CHECK_FALSE(errors_of("- a\n").empty());
    CHECK(errors_of(complete_settings + "id: twice\n").find("id") != std::string::npos);
}

// Guards against a host name that starts another header of the promotion calls, which carry it.
TEST_CASE("a host name with a line end or a NUL is refused", "[settings][session-settings][odd-names]") {
    for (const auto* id : {R"("front-1\r\nFencing-Token: 9")", R"("front-1\n")", R"("front-1\0")", R"("front 1")"}) {
        CAPTURE(id);
        CHECK(errors_of("id: " + std::string(id) + "\n" + without("id")).starts_with("f.yaml:1: id"));
    }
}
