#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <glib-unix.h>

#include <cstdio>
#include <exception>

#include "stand_ins/instance_server.hpp"

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "address to listen on, ip:port");
ABSL_FLAG(std::string, id, "instance", "id of the instance");
ABSL_FLAG(std::size_t, slots, 2, "maximum number of statements that run at the same time");
ABSL_FLAG(std::size_t, connections, 16, "maximum number of connections, replication not counted");
ABSL_FLAG(int, connect_ms, 12, "delay before a new connection is accepted, in milliseconds");
ABSL_FLAG(int, service_ms, 1, "duration of each statement, in milliseconds");
ABSL_FLAG(int, lag_ms, 0, "replication delay, in milliseconds");

namespace {

gboolean stop(gpointer loop) {
    g_main_loop_quit(static_cast<GMainLoop*>(loop));
    return G_SOURCE_CONTINUE;
}

}  // namespace

int main(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    using namespace camphorstack;
    try {
        stand_ins::instance_options options;
        options.id = absl::GetFlag(FLAGS_id);
        options.listen = absl::GetFlag(FLAGS_listen);
        options.slots = absl::GetFlag(FLAGS_slots);
        options.connections = absl::GetFlag(FLAGS_connections);
        options.connect_time = millis{absl::GetFlag(FLAGS_connect_ms)};
        options.service_time = millis{absl::GetFlag(FLAGS_service_ms)};
        options.lag = millis{absl::GetFlag(FLAGS_lag_ms)};
        const stand_ins::instance_server server(options);
        std::printf("instance %s listens on %s\n", options.id.c_str(), server.address().c_str());
        std::fflush(stdout);
        GMainLoop* const loop = g_main_loop_new(nullptr, FALSE);
        g_unix_signal_add(SIGTERM, &stop, loop);
        g_unix_signal_add(SIGINT, &stop, loop);
        g_main_loop_run(loop);
        g_main_loop_unref(loop);
    } catch (const std::exception& failure) {
        std::fprintf(stderr, "instance: %s\n", failure.what());
        return 1;
    }
    return 0;
}
