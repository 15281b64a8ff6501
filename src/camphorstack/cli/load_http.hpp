#pragma once

#include <libsoup/soup.h>

#include <memory>

#include "camphorstack/cli/load_plan.hpp"
#include "camphorstack/cli/load_request.hpp"
#include "camphorstack/support/g_pointer.hpp"

namespace camphorstack {

/// Sends the load to daemons over HTTP through libsoup. Like the balancer in front of the daemons, it tries the next daemon
/// when one refuses the connection, since no request was sent.
class load_http final : public load_transport {
public:
    explicit load_http(const load_plan& offered);

    void send(const load_request& request, callback done) override;

private:
    struct open_request;

    static void on_finished(GObject* session, GAsyncResult* result, gpointer data);
    void start(std::unique_ptr<open_request> open);

    const load_plan& plan;
    g_pointer<SoupSession> session;
};

/// Path and JSON body of a request in the callers' HTTP interface.
[[nodiscard]] std::string load_path(request_kind kind);
[[nodiscard]] std::string load_body(const load_request& request, const load_plan& plan);

/// Parses an answer's JSON body. A body that cannot be parsed has the outcome unknown and counts as no answer.
[[nodiscard]] load_answer read_load_answer(const std::string& body);

}  // namespace camphorstack
