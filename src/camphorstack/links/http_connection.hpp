#pragma once

#include <libsoup/soup.h>

namespace camphorstack {

/// Records at the message's connection that all bytes received so far belong to complete requests.
void mark_request_received(SoupServerMessage* message);

/// True if bytes have arrived since the last complete request of the connection. This distinguishes a slow sender from an idle
/// connection, because libsoup reports the headers only once they are complete.
[[nodiscard]] bool has_request_begun(SoupServerMessage* message);

/// Shuts the connection down at once; libsoup then drops the request.
void abort_connection(SoupServerMessage* message);

}  // namespace camphorstack
