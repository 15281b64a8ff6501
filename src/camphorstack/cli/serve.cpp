#include "camphorstack/cli/serve.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <glib-unix.h>
#include <glog/logging.h>

#include <csignal>
#include <fstream>
#include <random>
#include <sstream>

#include "camphorstack/hosts/host_task.hpp"
#include "camphorstack/links/socket_links.hpp"
#include "camphorstack/settings/daemon_settings.hpp"

ABSL_FLAG(std::string, settings, "", "YAML settings file of this host");

namespace camphorstack {

namespace {

std::string read_file(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        throw io_error("cannot read the settings file \"" + path + "\"");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void parse_flags(const std::vector<std::string>& arguments) {
    std::vector<std::string> words{"camphorstack serve"};
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char*> pointers;
    pointers.reserve(words.size());
    for (auto& word : words) {
        pointers.push_back(word.data());
    }
    absl::ParseCommandLine(static_cast<int>(pointers.size()), pointers.data());
}

random_source seeded_random() {
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return random_source(seed);
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
    host_task task(host_decisions(make_host(settings.host, seeded_random(), time.now())), make_links, time,
                   [&loop]() { g_main_loop_quit(loop.get()); });
    const g_source_handle terminate(g_unix_signal_add(SIGTERM, &on_signal, &task));
    const g_source_handle interrupt(g_unix_signal_add(SIGINT, &on_signal, &task));
    LOG(INFO) << "event=host_started subject=" << settings.host.self.id << " peers=" << settings.host.self.address
              << " callers=" << settings.host.self.http_address;
    g_main_loop_run(loop.get());
}

}  // namespace

int run_serve(const std::vector<std::string>& arguments) {
    parse_flags(arguments);
    FLAGS_logtostderr = true;
    if (!google::IsGoogleLoggingInitialized()) {
        google::InitGoogleLogging("camphorstack");
    }
    // A connection that its other side has closed is reported by the write itself.
    std::signal(SIGPIPE, SIG_IGN);
    try {
        const std::string file = absl::GetFlag(FLAGS_settings);
        serve(parse_settings(read_file(file), file));
        return 0;
    } catch (const error& failure) {
        LOG(ERROR) << "event=serve_failed cause=\"" << failure.what() << '"';
        return 1;
    }
}

}  // namespace camphorstack
