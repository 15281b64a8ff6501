#include "camphorstack/cli/serve_sessions.hpp"

#include <absl/flags/declare.h>
#include <absl/flags/flag.h>
#include <glib-unix.h>
#include <glog/logging.h>
#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <csignal>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>

#include "camphorstack/cli/exit_codes.hpp"
#include "camphorstack/cli/files.hpp"
#include "camphorstack/session_host/session_host_task.hpp"
#include "camphorstack/support/decision_log.hpp"
#include "camphorstack/support/errors.hpp"
#include "camphorstack/support/log_value.hpp"

ABSL_DECLARE_FLAG(std::string, settings);

namespace camphorstack {

namespace {

/// Blocks of this size are mapped one by one, and so much free memory at the end of the heap is given back.
constexpr int mapped_block_bytes = 128 * 1024;

random_source seeded_random() {
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return random_source(seed);
}

std::string make_nonce() {
    std::random_device device;
    std::ostringstream text;
    text << std::hex << device() << device();
    return text.str();
}

/// Throws io_error if the system allows too few open files and sockets for a host to serve at all.
void require_descriptors() {
    /// Listening sockets, the main loop, links to the store and to a few peers, endpoints and callers.
    constexpr rlim_t least_descriptors = 64;
    rlimit allowed{};
    if (getrlimit(RLIMIT_NOFILE, &allowed) == 0 && allowed.rlim_cur < least_descriptors) {
        throw io_error("the limit of open files is " + std::to_string(allowed.rlim_cur) + ": at least " +
                       std::to_string(least_descriptors) + " are needed");
    }
}

/// Throws io_error if the path names something that can block the start when it is read, such as a pipe.
void require_regular_file(const std::string& path) {
    if (g_file_test(path.c_str(), G_FILE_TEST_EXISTS) != FALSE && g_file_test(path.c_str(), G_FILE_TEST_IS_REGULAR) == FALSE) {
        throw io_error("the settings file " + path + " is not a regular file");
    }
}

struct main_loop_deleter {
    void operator()(GMainLoop* loop) const { g_main_loop_unref(loop); }
};

/// Reloads changed settings while the host runs: at SIGHUP, and by polling the settings file.
class settings_watcher {
public:
    settings_watcher(std::string file, std::string text, settings_overrides given, session_host_task& target)
        : path(std::move(file)), current(std::move(text)), overrides(std::move(given)), task(target) {
        this->hangup = g_source_handle(g_unix_signal_add(SIGHUP, &settings_watcher::on_change, this));
        this->poll = g_source_handle(g_timeout_add(poll_interval_ms, &settings_watcher::on_change, this));
    }

private:
    /// Changed settings must be in force within 3 s.
    static constexpr guint poll_interval_ms = 1000;

    static gboolean on_change(gpointer self) {
        static_cast<settings_watcher*>(self)->read();
        return G_SOURCE_CONTINUE;
    }

    void read() {
        std::string text;
        try {
            text = read_file(this->path);
            if (text == this->current) {
                return;
            }
            const auto settings = parse_session_settings(text, this->path, this->overrides).host;
            this->task.on_event(settings_changed{settings.regions, settings.stop_grace, settings.entry.document_lifetime,
                                                 settings.entry.refusal_lifetime});
            std::cout << "event=settings_reloaded file=" << this->path << std::endl;
        } catch (const error& failure) {
            std::cout << "event=settings_not_reloaded file=" << this->path << " reason=" << log_quoted(failure.what())
                      << std::endl;
        }
        // Also set if the settings have errors, so that the errors are reported only once. A file that cannot be read is reported
        // at each poll.
        this->current = text;
    }

    std::string path;
    std::string current;
    settings_overrides overrides;
    session_host_task& task;
    g_source_handle hangup;
    g_source_handle poll;
};

gboolean on_stop_signal(gpointer task) {
    static_cast<session_host_task*>(task)->request_stop();
    return G_SOURCE_CONTINUE;
}

void serve(const session_settings& settings, const session_links_provider& make, const std::string& file, const std::string& text,
           const settings_overrides& overrides) {
    const suspend_aware_clock time;
    const system_wall_clock wall;
    const std::unique_ptr<GMainLoop, main_loop_deleter> loop(g_main_loop_new(nullptr, FALSE));
    const auto make_links = [&](const session_event_sink& sink, monitoring_callbacks pages) {
        return make(settings, sink, std::move(pages));
    };
    decision_log log(time, STDOUT_FILENO, {});
    session_host_task task(
        make_session_host(settings.host, seeded_random(), time.now()), make_links, time, wall,
        [&log](const decision_line& line) { log.write(line.kind, line.text, line.is_failure); },
        [&loop]() { g_main_loop_quit(loop.get()); });
    const g_source_handle terminate(g_unix_signal_add(SIGTERM, &on_stop_signal, &task));
    const g_source_handle interrupt(g_unix_signal_add(SIGINT, &on_stop_signal, &task));
    const settings_watcher watcher(file, text, overrides, task);
    std::cout << "event=host_started host=" << settings.host.self.id << " data_centre=" << settings.host.self.location
              << " callers=" << settings.host.self.http_address << " nonce=" << settings.host.nonce
              << " memory_limit=" << settings.callers.memory_limit << " descriptor_limit=" << settings.callers.descriptor_limit
              << " usage_window_ms=" << settings.host.usage.window.count << std::endl;
    g_main_loop_run(loop.get());
    std::cout << "event=host_ended host=" << settings.host.self.id << std::endl;
}

}  // namespace

int run_serve_sessions(const std::vector<std::string>& arguments, const session_links_provider& make_links) {
    const std::string file = absl::GetFlag(FLAGS_settings);
    if (!arguments.empty() || file.empty()) {
        std::cerr << "usage: camphorstack serve-sessions --settings=FILE\n";
        return exit_usage;
    }
    require_descriptors();
    require_regular_file(file);
    // Connections go to IP addresses: neither a proxy nor stored desktop settings are needed, and reading them costs start-up
    // time.
    g_setenv("GSETTINGS_BACKEND", "memory", TRUE);
    g_setenv("GIO_USE_VFS", "local", TRUE);
    g_setenv("GIO_USE_PROXY_RESOLVER", "dummy", TRUE);
    // Links to peers log through glog; all log lines of the process must go to standard output.
    FLAGS_logtostdout = true;
    if (!google::IsGoogleLoggingInitialized()) {
        google::InitGoogleLogging("camphorstack");
    }
    // Writing to a connection that the peer has closed returns an error; the signal would end the process.
    std::signal(SIGPIPE, SIG_IGN);
    // So does writing to a log file that has reached the limit on file sizes.
    std::signal(SIGXFSZ, SIG_IGN);
    // Large buffers go back to the system when they are freed; without a fixed threshold the allocator keeps ever larger ones.
    mallopt(M_MMAP_THRESHOLD, mapped_block_bytes);
    mallopt(M_TRIM_THRESHOLD, mapped_block_bytes);
    const auto text = read_file(file);
    const auto overrides = read_environment_settings();
    auto settings = parse_session_settings(text, file, overrides);
    settings.host.nonce = make_nonce();
    serve(settings, make_links, file, text, overrides);
    return exit_ok;
}

}  // namespace camphorstack
