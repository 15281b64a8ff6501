#include "hostile_callers/hostile_crowd.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

#include "platform/message_connection.hpp"

namespace camphorstack::hostile {

namespace {

/// Receive buffer of a caller that reads slowly or never, so that the kernel does not take its answers in its place.
constexpr int small_buffer_bytes = 4096;

bool is_temporary(int cause) {
    return cause == EAGAIN || cause == EWOULDBLOCK || cause == EINTR || cause == EINPROGRESS || cause == ENOTCONN;
}

}  // namespace

hostile_caller::hostile_caller(const std::string& address, const crowd_plan& wanted)
    : plan(wanted),
      socket(platform_tests::connect_on_loopback(address)),
      total(wanted.opening.size() + wanted.piece.size() * static_cast<std::size_t>(wanted.pieces)) {
    setsockopt(this->socket, SOL_SOCKET, SO_RCVBUF, &small_buffer_bytes, sizeof(small_buffer_bytes));
}

hostile_caller::~hostile_caller() {
    close(this->socket);
}

void hostile_caller::turn() {
    this->send_some();
    this->read_some();
}

void hostile_caller::send_some() {
    std::size_t allowed = this->plan.write_bytes_per_turn;
    while (allowed > 0 && !this->is_done()) {
        const bool in_opening = this->sent < this->plan.opening.size();
        const std::string& text = in_opening ? this->plan.opening : this->plan.piece;
        const auto offset = in_opening ? this->sent : (this->sent - this->plan.opening.size()) % text.size();
        const auto count = send(this->socket, text.data() + offset, std::min(allowed, text.size() - offset), MSG_NOSIGNAL);
        if (count < 0) {
            this->closed = !is_temporary(errno);
            return;
        }
        this->sent += static_cast<std::size_t>(count);
        allowed -= static_cast<std::size_t>(count);
    }
}

void hostile_caller::read_some() {
    if (this->plan.read_bytes_per_turn == 0 || this->closed) {
        return;
    }
    std::string buffer(this->plan.read_bytes_per_turn, ' ');
    const auto count = recv(this->socket, buffer.data(), buffer.size(), 0);
    this->closed = count == 0 || (count < 0 && !is_temporary(errno));
}

}  // namespace camphorstack::hostile
