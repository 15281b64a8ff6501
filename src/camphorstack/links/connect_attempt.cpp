#include "camphorstack/links/connect_attempt.hpp"

#include <utility>

namespace camphorstack {

namespace {

/// Data of a connection attempt. The asynchronous operation owns it, because a cancelled operation can end after its starter was
/// destroyed.
struct connect_attempt {
    g_pointer<GCancellable> cancellable;
    std::function<void(g_pointer<GSocketConnection>)> finished;
};

void on_connect_finished(GObject* source, GAsyncResult* result, gpointer data) {
    const std::unique_ptr<connect_attempt> attempt(static_cast<connect_attempt*>(data));
    auto connection = g_adopt(g_socket_client_connect_finish(G_SOCKET_CLIENT(source), result, nullptr));
    if (!g_cancellable_is_cancelled(attempt->cancellable.get())) {
        attempt->finished(std::move(connection));
    }
}

}  // namespace

g_pointer<GCancellable> start_connect(GSocketClient* client, GSocketAddress* target,
                                      std::function<void(g_pointer<GSocketConnection>)> finished) {
    auto cancellable = g_adopt(g_cancellable_new());
    auto attempt = std::make_unique<connect_attempt>();
    attempt->cancellable = g_share(cancellable.get());
    attempt->finished = std::move(finished);
    g_socket_client_connect_async(client, G_SOCKET_CONNECTABLE(target), cancellable.get(), &on_connect_finished,
                                  attempt.release());
    return cancellable;
}

}  // namespace camphorstack
