#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "camphorstack/support/g_pointer.hpp"

namespace camphorstack {

/// What a watched file descriptor is ready for.
struct fd_readiness {
    bool readable = false;  ///< Also true for an error or a closed connection; reading tells which.
    bool writable = false;

    friend bool operator==(const fd_readiness&, const fd_readiness&) = default;
};

/// Watches many file descriptors through one epoll instance, which is a single source of the main loop.
/// A GLib source per socket would be prepared and checked in every iteration, which costs too much for hundreds of idle links.
class fd_watcher {
public:
    using callback = std::function<void(fd_readiness)>;

    /// Throws io_error if the kernel refuses an epoll instance.
    fd_watcher();
    fd_watcher(const fd_watcher&) = delete;
    fd_watcher& operator=(const fd_watcher&) = delete;
    fd_watcher(fd_watcher&&) = delete;
    fd_watcher& operator=(fd_watcher&&) = delete;
    ~fd_watcher();

    /// Watches for reading. The descriptor must stay open until `remove`. Throws io_error.
    void add(int descriptor, callback ready);
    /// Starts or stops watching for room to write.
    void watch_writable(int descriptor, bool is_enabled);
    /// The callback is not called again. Safe from inside a callback.
    void remove(int descriptor);

private:
    struct watch {
        callback ready;
        bool reports_writable = false;
    };

    static gboolean dispatch(gint descriptor, GIOCondition condition, gpointer self);

    int epoll = -1;
    std::map<int, std::shared_ptr<watch>> watches;
    g_source_handle source;
};

}  // namespace camphorstack
