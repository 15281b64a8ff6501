#pragma once

#include <string>
#include <vector>

namespace camphorstack {

/// Answer to one HTTP call.
struct http_answer {
    unsigned status = 0;  ///< 0: no complete answer was received; a write may still have taken effect.
    std::string body;
    std::string fault;  ///< Reason why there was no answer.

    friend bool operator==(const http_answer&, const http_answer&) = default;
};

/// Time without progress after which a call is abandoned, in seconds. Hosts answer status pages from memory; the platform may be
/// slow.
constexpr unsigned host_timeout_s = 1;
constexpr unsigned platform_timeout_s = 3;

/// Sends a GET request to the path at http://ADDRESS and blocks until the answer.
[[nodiscard]] http_answer http_get(const std::string& address, const std::string& path, unsigned timeout_s);

/// Sends a PUT request with a JSON body and blocks until the answer.
[[nodiscard]] http_answer http_put(const std::string& address, const std::string& path, const std::string& body,
                                   unsigned timeout_s);

/// Sends GET requests for the same path to many hosts at the same time. Returns the answers in the order of the addresses.
[[nodiscard]] std::vector<http_answer> http_get_all(const std::vector<std::string>& addresses, const std::string& path);

}  // namespace camphorstack
