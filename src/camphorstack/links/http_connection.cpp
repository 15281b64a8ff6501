#include "camphorstack/links/http_connection.hpp"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace camphorstack {

namespace {

GQuark completed_bytes_quark() {
    return g_quark_from_static_string("camphorstack-served-bytes");
}

/// Bytes received since the connection was opened; 0 if the kernel does not tell.
gsize received_bytes(GSocket* socket) {
    tcp_info info{};
    socklen_t length = sizeof(info);
    if (getsockopt(g_socket_get_fd(socket), IPPROTO_TCP, TCP_INFO, &info, &length) != 0) {
        return 0;
    }
    return info.tcpi_bytes_received;
}

}  // namespace

void mark_request_received(SoupServerMessage* message) {
    if (GSocket* socket = soup_server_message_get_socket(message); socket != nullptr) {
        g_object_set_qdata(G_OBJECT(socket), completed_bytes_quark(), GSIZE_TO_POINTER(received_bytes(socket)));
    }
}

bool has_request_begun(SoupServerMessage* message) {
    GSocket* socket = soup_server_message_get_socket(message);
    return socket != nullptr &&
           received_bytes(socket) > GPOINTER_TO_SIZE(g_object_get_qdata(G_OBJECT(socket), completed_bytes_quark()));
}

void abort_connection(SoupServerMessage* message) {
    if (GSocket* socket = soup_server_message_get_socket(message); socket != nullptr) {
        g_socket_shutdown(socket, TRUE, TRUE, nullptr);
    }
}

}  // namespace camphorstack
