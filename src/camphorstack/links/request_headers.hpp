#pragma once

#include <libsoup/soup.h>

#include <string>

namespace camphorstack {

/// Result of checking a request's headers before its body is read.
struct header_check {
    unsigned status = 0;                 ///< HTTP status of the rejection, or 0 if the headers are accepted.
    std::string error;                   ///< Error text for the caller.
    std::string key_sha256;              ///< Lower-case hexadecimal SHA-256 of the bearer key, or empty if there is no key.
    bool must_close_connection = false;  ///< The end of the request is ambiguous, so the connection must not be reused.

    friend bool operator==(const header_check&, const header_check&) = default;
};

/// Checks the headers that delimit the body and hashes the key. Removes the header `Authorization`, so that the key appears in no
/// log or event.
[[nodiscard]] header_check check_request_headers(SoupMessageHeaders* headers);

}  // namespace camphorstack
