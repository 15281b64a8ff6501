#pragma once

#include <string>
#include <vector>

namespace camphorstack {

/// Answer to one HTTP call.
struct http_answer {
    unsigned status = 0;  ///< 0: there was no complete answer; a write may have taken effect all the same.
    std::string body;
    std::string fault;  ///< Why there was no answer.

    friend bool operator==(const http_answer&, const http_answer&) = default;
};

/// Seconds without progress after which a call is given up. Hosts answer status pages from memory; the platform may be slow.
constexpr unsigned host_timeout_s = 1;
constexpr unsigned platform_timeout_s = 3;

/// GET http://ADDRESS PATH; blocks.
[[nodiscard]] http_answer http_get(const std::string& address, const std::string& path, unsigned timeout_s);

/// PUT of a JSON body; blocks.
[[nodiscard]] http_answer http_put(const std::string& address, const std::string& path, const std::string& body,
                                   unsigned timeout_s);

/// GET of the same path from many hosts at the same time; answers in the order of the addresses.
[[nodiscard]] std::vector<http_answer> http_get_all(const std::vector<std::string>& addresses, const std::string& path);

}  // namespace camphorstack
