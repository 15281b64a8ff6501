#include "soak/soak_host.hpp"

#include <csignal>
#include <fstream>
#include <stdexcept>

#include "camphorstack/support/socket_address.hpp"

namespace camphorstack::soak {

namespace {

std::string address_of(int port) {
    return "127.0.0.1:" + std::to_string(port);
}

std::string settings_text(const soak_host_config& config) {
    return "id: " + config.id + "\ndata_centre: " + config.data_centre + "\npeer_address: " + address_of(config.first_port) +
           "\ncallers_address: " + address_of(config.first_port + 1) +
           "\nreadiness_address: " + address_of(config.first_port + 2) +
           "\nmetrics_address: " + address_of(config.first_port + 3) + "\nstore_address: " + config.store_address +
           "\npromotion_address: " + config.store_address +
           "\nfleet_secret: the-secret-of-the-soak\nstop_grace: 3s\ndata_centres:\n  amman-a: amman\n  irbid-a: irbid\n" +
           config.more_settings;
}

/// Throws if the port is in use. If two soak runs used the same ports, their callers would connect to each other's hosts.
void require_free_port(int port) {
    const auto probe = g_adopt(g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr));
    const auto local = parse_socket_address(address_of(port));
    if (g_socket_bind(probe.get(), local.get(), TRUE, nullptr) == FALSE) {
        throw std::runtime_error("port " + std::to_string(port) + " is in use; set SOAK_PORT");
    }
}

}  // namespace

soak_host::soak_host(soak_host_config host_config) : config(std::move(host_config)) {
    constexpr int port_count = 4;
    for (int i = 0; i < port_count; ++i) {
        require_free_port(this->config.first_port + i);
    }
    std::ofstream(this->config.folder + "/" + this->config.id + ".yaml") << settings_text(this->config);
    this->start();
}

soak_host::~soak_host() {
    if (this->is_running()) {
        g_subprocess_force_exit(this->process.get());
        g_subprocess_wait(this->process.get(), nullptr, nullptr);
    }
}

void soak_host::start() {
    const auto launcher = g_adopt(g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_NONE));
    const auto log = this->config.folder + "/" + this->config.id + ".log";
    g_subprocess_launcher_set_stdout_file_path(launcher.get(), log.c_str());
    const auto settings = "--settings=" + this->config.folder + "/" + this->config.id + ".yaml";
    this->process = g_adopt(g_subprocess_launcher_spawn(launcher.get(), nullptr, this->config.program.c_str(), "serve-sessions",
                                                        settings.c_str(), nullptr));
    if (!this->process) {
        throw std::runtime_error("cannot start " + this->config.program);
    }
    this->ended_at.reset();
    this->is_end_requested = false;
}

void soak_host::kill() {
    this->is_end_requested = true;
    g_subprocess_force_exit(this->process.get());
    this->paused_until.reset();
}

void soak_host::terminate() {
    this->is_end_requested = true;
    this->resume();
    g_subprocess_send_signal(this->process.get(), SIGTERM);
}

void soak_host::pause(instant until) {
    this->paused_until = until;
    g_subprocess_send_signal(this->process.get(), SIGSTOP);
}

void soak_host::tick(instant now) {
    if (this->paused_until && now >= *this->paused_until) {
        this->resume();
    }
    if (this->is_running()) {
        return;
    }
    if (!this->ended_at) {
        this->ended_at = now;
        this->unexpected_end_count += this->is_end_requested ? 0 : 1;
    } else if (now - *this->ended_at >= restart_pause) {
        this->start();
    }
}

std::string soak_host::callers_address() const {
    return address_of(this->config.first_port + 1);
}

std::string soak_host::process_folder() const {
    return this->is_running() ? std::string("/proc/") + g_subprocess_get_identifier(this->process.get()) : std::string();
}

bool soak_host::is_running() const {
    return this->process && g_subprocess_get_identifier(this->process.get()) != nullptr;
}

void soak_host::resume() {
    if (this->paused_until) {
        g_subprocess_send_signal(this->process.get(), SIGCONT);
        this->paused_until.reset();
    }
}

}  // namespace camphorstack::soak
