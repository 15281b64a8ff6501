#pragma once

#include <functional>

#include "camphorstack/support/g_pointer.hpp"

namespace camphorstack {

/// Starts to connect to `target`. `finished` is called from the main loop with the connection, or with a null pointer if
/// connecting failed. `finished` is not called after the returned object has been cancelled.
[[nodiscard]] g_pointer<GCancellable> start_connect(GSocketClient* client, GSocketAddress* target,
                                                    std::function<void(g_pointer<GSocketConnection>)> finished);

}  // namespace camphorstack
