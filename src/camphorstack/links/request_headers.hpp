#pragma once

#include <libsoup/soup.h>

#include <string>

namespace camphorstack {

/// What the headers of a request tell before its body is read.
struct header_check {
    unsigned status = 0;            ///< HTTP status of a rejection, or 0.
    std::string error;              ///< Sentence for the caller.
    std::string key_sha256;         ///< Lower-case hexadecimal SHA-256 of the bearer key, or empty.
    bool close_connection = false;  ///< The end of the request is not certain, so the connection must not carry another one.

    friend bool operator==(const header_check&, const header_check&) = default;
};

/// Checks the headers that frame the body and hashes the key. Removes `Authorization`, so that the key is in no later log or
/// event.
[[nodiscard]] header_check check_request_headers(SoupMessageHeaders* headers);

}  // namespace camphorstack
