#pragma once

#include <libsoup/soup.h>

namespace camphorstack {

/// Remembers at the message's connection that everything received so far belongs to complete requests.
void mark_request_received(SoupServerMessage* message);

/// True if bytes have arrived since the connection's last complete request, which separates a slow sender from an idle
/// connection; libsoup tells of the headers only once they are complete.
[[nodiscard]] bool has_request_begun(SoupServerMessage* message);

/// Ends the connection at once; libsoup then drops the request.
void abort_connection(SoupServerMessage* message);

}  // namespace camphorstack
