#pragma once

#include <libsoup/soup.h>

#include <map>
#include <string>

#include "camphorstack/support/clock.hpp"
#include "camphorstack/support/g_pointer.hpp"
#include "stand_ins/platform_model.hpp"
#include "stand_ins/platform_wire.hpp"
#include "stand_ins/timers.hpp"

namespace camphorstack::stand_ins {

/// Serves the platform's object API over HTTP from memory, as described in links/platform_link.hpp. Also serves requests that
/// control the server:
///   PUT /hosts   replaces the host list
///   PUT /faults  replaces the simulated faults
///   GET /calls   returns the number of calls so far: {"read": N, "write": N, "watch": N, "hosts": N}
class platform_server {
public:
    /// Listens on "ip:port"; port 0 selects a free port. Throws io_error if the address cannot be bound.
    explicit platform_server(const std::string& address);
    platform_server(const platform_server&) = delete;
    platform_server& operator=(const platform_server&) = delete;
    platform_server(platform_server&&) = delete;
    platform_server& operator=(platform_server&&) = delete;
    ~platform_server();

    [[nodiscard]] std::string address() const;

    platform_model model;
    platform_faults faults;

private:
    static void on_request(SoupServer* server, SoupServerMessage* message, const char* path, GHashTable* query, gpointer self);
    static void on_finished(SoupServerMessage* message, gpointer self);

    void handle(SoupServerMessage* message, const std::string& path, GHashTable* query);
    bool handle_control_request(SoupServerMessage* message, const std::string& method, const std::string& path);
    void start_call(SoupServerMessage* message, const platform_call& call);
    void run(std::uint64_t request_number, const platform_call& call);
    void finish(std::uint64_t request_number, const platform_call& call, const platform_answer& answer);
    void answer_watches();
    void poll_watches();

    monotonic_clock time;
    std::uint64_t last_request_number = 0;
    std::map<std::uint64_t, g_pointer<SoupServerMessage>> open_requests;  ///< Requests that have not been answered.
    g_pointer<SoupServer> server;
    timers timer;
};

}  // namespace camphorstack::stand_ins
