#include "camphorstack/cli/serve.hpp"

#include <absl/flags/flag.h>
#include <glib-unix.h>
#include <glog/logging.h>

#include <csignal>
#include <iostream>
#include <random>
#include <sstream>

#include "camphorstack/cli/exit_codes.hpp"
#include "camphorstack/cli/files.hpp"
#include "camphorstack/hosts/host_task.hpp"
#include "camphorstack/links/socket_links.hpp"
#include "camphorstack/settings/daemon_settings.hpp"

ABSL_FLAG(std::string, settings, "", "YAML settings file of this host");

namespace camphorstack {

namespace {

random_source seeded_random() {
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return random_source(seed);
}

/// Returns a nonce that differs at each start of a host, so that request ids of an earlier process are never used again.
std::string make_start_nonce() {
    std::random_device device;
    std::ostringstream text;
    text << std::hex << device() << device();
    return text.str();
}

struct main_loop_deleter {
    void operator()(GMainLoop* loop) const { g_main_loop_unref(loop); }
};

gboolean on_signal(gpointer task) {
    static_cast<host_task*>(task)->request_stop();
    return G_SOURCE_CONTINUE;
}

void serve(const daemon_settings& settings) {
    const monotonic_clock time;
    const std::unique_ptr<GMainLoop, main_loop_deleter> loop(g_main_loop_new(nullptr, FALSE));
    const auto make_links = [&settings](const event_sink& sink, std::function<host_report()> report) {
        return std::make_unique<socket_links>(settings, sink, std::move(report));
    };
    host_task task(make_host_functions(make_host(settings.host, seeded_random(), time.now())), make_links, time,
                   [&loop]() { g_main_loop_quit(loop.get()); });
    const g_source_handle terminate(g_unix_signal_add(SIGTERM, &on_signal, &task));
    const g_source_handle interrupt(g_unix_signal_add(SIGINT, &on_signal, &task));
    LOG(INFO) << "event=host_started subject=" << settings.host.self.id << " peers=" << settings.host.self.address
              << " callers=" << settings.host.self.http_address;
    g_main_loop_run(loop.get());
}

}  // namespace

int run_serve(const std::vector<std::string>& arguments) {
    const std::string file = absl::GetFlag(FLAGS_settings);
    if (!arguments.empty() || file.empty()) {
        std::cerr << "usage: camphorstack serve --settings=FILE\n";
        return exit_usage;
    }
    FLAGS_logtostderr = true;
    if (!google::IsGoogleLoggingInitialized()) {
        google::InitGoogleLogging("camphorstack");
    }
    // Writing to a connection that the peer has closed returns an error; the signal would end the process.
    std::signal(SIGPIPE, SIG_IGN);
    auto settings = parse_settings(read_file(file), file);
    settings.host.start_nonce = make_start_nonce();
    serve(settings);
    return exit_ok;
}

command serve_command() {
    return {"serve",
            "run one host of the fleet until SIGTERM or SIGINT",
            "usage: camphorstack serve --settings=FILE\n\n"
            "On SIGTERM or SIGINT the host leaves the balancer and the fleet, finishes the requests in flight, then exits.\n\n"
            "examples:\n"
            "  camphorstack serve --settings=amman-1.yaml\n\n"
            "exit codes: 0 stopped gracefully; 1 wrong usage, unreadable file or address in use; 2 the settings have errors\n",
            {"settings"},
            {},
            &run_serve};
}

}  // namespace camphorstack
