#pragma once

#include <libsoup/soup.h>

#include "camphorstack/cli/load_plan.hpp"
#include "camphorstack/cli/load_request.hpp"
#include "camphorstack/support/g_pointer.hpp"

namespace camphorstack {

/// Sends the load to daemons over HTTP through libsoup.
class load_http final : public load_transport {
public:
    explicit load_http(const load_plan& offered);

    void send(const load_request& request, callback done) override;

private:
    const load_plan& plan;
    g_pointer<SoupSession> session;
};

/// Path and JSON body of a request, as the callers' interface takes them.
[[nodiscard]] std::string load_path(request_kind kind);
[[nodiscard]] std::string load_body(const load_request& request, const load_plan& plan);

/// Reads an answer's JSON body; one that cannot be read has the outcome unknown and counts as no answer.
[[nodiscard]] load_answer read_load_answer(const std::string& body);

}  // namespace camphorstack
