#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <glib-unix.h>

#include <cstdio>
#include <exception>
#include <fstream>
#include <iterator>
#include <stdexcept>

#include "stand_ins/platform_server.hpp"

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "address to listen on, ip:port");
ABSL_FLAG(std::string, document, "", "file with the initial value of the object `document`");
ABSL_FLAG(std::string, hosts, "", "file with the host list, in the format of PUT /hosts");

namespace {

gboolean stop(gpointer loop) {
    g_main_loop_quit(static_cast<GMainLoop*>(loop));
    return G_SOURCE_CONTINUE;
}

std::string read_file(const std::string& name) {
    std::ifstream file(name, std::ios::binary);
    if (!file) {
        throw std::runtime_error("cannot read " + name);
    }
    return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace

int main(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    using namespace camphorstack;
    try {
        stand_ins::platform_server server(absl::GetFlag(FLAGS_listen));
        if (const auto file = absl::GetFlag(FLAGS_document); !file.empty()) {
            server.model.objects["document"] = {1, read_file(file)};
        }
        if (const auto file = absl::GetFlag(FLAGS_hosts); !file.empty()) {
            server.model.hosts = stand_ins::parse_hosts(read_file(file));
        }
        std::printf("platform listens on %s\n", server.address().c_str());
        std::fflush(stdout);
        GMainLoop* const loop = g_main_loop_new(nullptr, FALSE);
        g_unix_signal_add(SIGTERM, &stop, loop);
        g_unix_signal_add(SIGINT, &stop, loop);
        g_main_loop_run(loop);
        g_main_loop_unref(loop);
    } catch (const std::exception& failure) {
        std::fprintf(stderr, "platform: %s\n", failure.what());
        return 1;
    }
    return 0;
}
