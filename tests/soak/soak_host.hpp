#pragma once

#include <gio/gio.h>

#include <optional>
#include <string>

#include "camphorstack/support/clock.hpp"
#include "camphorstack/support/g_pointer.hpp"

namespace camphorstack::soak {

/// What a host's settings name, and where its files lie.
struct soak_host_config {
    std::string id;
    std::string data_centre;
    std::string program;
    std::string folder;
    std::string store_address;
    int first_port = 0;  ///< Of four: peers, callers, readiness, metrics.

    friend bool operator==(const soak_host_config&, const soak_host_config&) = default;
};

/// One `camphorstack serve-sessions` process, faulted by signals. Signals go to the process that this object started, by its id.
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
    void pause(instant until);
    /// Wakes a paused process in time, and starts an ended one again after `restart_pause`.
    void tick(instant now);

    [[nodiscard]] const std::string& id() const { return this->config.id; }
    [[nodiscard]] std::string callers_address() const;
    [[nodiscard]] bool is_paused() const { return this->paused_until.has_value(); }
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
    int unexpected_end_count = 0;  ///< Ends that no signal of this object asked for.
};

}  // namespace camphorstack::soak
