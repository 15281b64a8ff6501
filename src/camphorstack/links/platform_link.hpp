#pragma once

#include <memory>
#include <string>

#include "camphorstack/links/event_sink.hpp"

namespace camphorstack {

/// Client of the platform's object API (HTTP/1.1 with JSON, through libsoup):
///   GET /objects/NAME                -> 200 {"version": N, "value": {...}} or 404
///   GET /objects/NAME?watch=N        -> the same answer, once the version is above N or after 10 s
///   PUT /objects/NAME?version=N      -> 200 {"version": N+1}, or 409 with the current version and value
///   GET /hosts                       -> 200 {"hosts": [{"id", "address", "http_address", "data_centre", "state":
///   "live"|"leaving"}]}
class platform_link {
public:
    /// `address` is "ip:port". A call without an answer ends as `unavailable` after `timeout`, a watch after 10 s more.
    platform_link(std::string address, millis timeout, event_sink sink);
    platform_link(const platform_link&) = delete;
    platform_link& operator=(const platform_link&) = delete;
    platform_link(platform_link&&) = delete;
    platform_link& operator=(platform_link&&) = delete;
    ~platform_link();

    /// Starts a call. Exactly one `platform_answer` with the call's id follows.
    void call(const platform_call& action);

private:
    struct state;
    std::unique_ptr<state> impl;
};

}  // namespace camphorstack
