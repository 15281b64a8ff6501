#pragma once

#include <gio/gio.h>

#include <optional>
#include <string>

#include "camphorstack/support/clock.hpp"
#include "camphorstack/support/g_pointer.hpp"

namespace camphorstack::soak {

/// Settings of a host, and the locations of its program and files.
struct soak_host_config {
    std::string id;
    std::string data_centre;
    std::string program;
    std::string folder;
    std::string store_address;
    int first_port = 0;         ///< First of four consecutive ports: peers, callers, readiness, metrics.
    std::string more_settings;  ///< Further lines of the settings file, each with its line end.

    friend bool operator==(const soak_host_config&, const soak_host_config&) = default;
};

/// One `camphorstack serve-sessions` process, which is killed, terminated or paused by signals. Signals are sent only to the
/// process that this object started, by its process id.
class soak_host {
public:
    explicit soak_host(soak_host_config host_config);
    soak_host(const soak_host&) = delete;
    soak_host& operator=(const soak_host&) = delete;
    soak_host(soak_host&&) = delete;
    soak_host& operator=(soak_host&&) = delete;
    /// Kills the process.
    ~soak_host();

    void start();
    void kill();
    void terminate();
    /// Stops the process by SIGSTOP until `until`.
    void pause(instant until);
    /// Resumes a paused process when its pause is over, and restarts an ended process after `restart_pause`.
    void tick(instant now);

    [[nodiscard]] const std::string& id() const { return this->config.id; }
    [[nodiscard]] std::string callers_address() const;
    [[nodiscard]] bool is_paused() const { return this->paused_until.has_value(); }
    /// Returns the folder of the running process below /proc; empty if it is not running.
    [[nodiscard]] std::string process_folder() const;
    [[nodiscard]] int unexpected_ends() const { return this->unexpected_end_count; }

private:
    static constexpr millis restart_pause{300};

    [[nodiscard]] bool is_running() const;
    void resume();

    soak_host_config config;
    g_pointer<GSubprocess> process;
    std::optional<instant> paused_until;
    std::optional<instant> ended_at;
    bool is_end_requested = false;
    int unexpected_end_count = 0;  ///< Number of times the process ended without a signal of this object.
};

}  // namespace camphorstack::soak
