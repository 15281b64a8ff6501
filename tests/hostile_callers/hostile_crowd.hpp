#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace camphorstack::hostile {

/// What each caller of a crowd sends and how it reads.
struct crowd_plan {
    int callers = 0;
    std::string opening;                   ///< Sent first.
    std::string piece;                     ///< Sent `pieces` times after the opening.
    int pieces = 0;                        ///< Bounds the load.
    std::size_t write_bytes_per_turn = 0;  ///< Bytes that one caller sends in a turn.
    std::size_t read_bytes_per_turn = 0;   ///< 0: never reads.

    friend bool operator==(const crowd_plan&, const crowd_plan&) = default;
};

/// One connection of a crowd, which does not wait for answers.
class hostile_caller {
public:
    /// Connects to `address` on loopback. `plan` must outlive the caller.
    hostile_caller(const std::string& address, const crowd_plan& plan);
    hostile_caller(const hostile_caller&) = delete;
    hostile_caller& operator=(const hostile_caller&) = delete;
    hostile_caller(hostile_caller&&) = delete;
    hostile_caller& operator=(hostile_caller&&) = delete;
    ~hostile_caller();

    /// Sends and reads what the plan says for one turn, as far as the kernel accepts it.
    void turn();
    /// Returns true if all is sent or the connection has ended.
    [[nodiscard]] bool is_done() const { return this->closed || this->sent == this->total; }
    [[nodiscard]] bool is_closed() const { return this->closed; }

private:
    void send_some();
    void read_some();

    const crowd_plan& plan;
    int socket;
    std::size_t sent = 0;
    std::size_t total;
    bool closed = false;
};

}  // namespace camphorstack::hostile
