#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "camphorstack/support/g_pointer.hpp"

namespace camphorstack {

/// What a watched file descriptor is ready for.
struct fd_readiness {
    bool readable = false;  ///< Also true after an error or a closed connection; a read then returns the cause.
    bool writable = false;

    friend bool operator==(const fd_readiness&, const fd_readiness&) = default;
};

/// Watches many file descriptors through one epoll instance, which is a single source of the main loop.
/// With one GLib source per socket, every iteration would prepare and check each source, which is too expensive for hundreds of
/// idle links.
class fd_watcher {
public:
    using callback = std::function<void(fd_readiness)>;

    /// Throws io_error if no epoll instance can be created.
    fd_watcher();
    fd_watcher(const fd_watcher&) = delete;
    fd_watcher& operator=(const fd_watcher&) = delete;
    fd_watcher(fd_watcher&&) = delete;
    fd_watcher& operator=(fd_watcher&&) = delete;
    ~fd_watcher();

    /// Calls `ready` when the descriptor is readable. The descriptor must stay open until `remove`. Throws io_error.
    void add(int descriptor, callback ready);
    /// Starts or stops calling the callback when the descriptor is writable.
    void watch_writable(int descriptor, bool is_enabled);
    /// Stops or starts again calling the callback when the descriptor is readable. An error or a connection that is closed in
    /// both directions is reported as readable also while stopped.
    void watch_readable(int descriptor, bool is_enabled);
    /// Stops watching the descriptor; its callback is not called again. May be called from inside a callback.
    void remove(int descriptor);

private:
    struct watch {
        callback ready;
        bool reports_writable = false;
        bool reports_readable = true;
    };

    void apply(int descriptor, const watch& changed) const;
    static gboolean dispatch(gint descriptor, GIOCondition condition, gpointer self);

    int epoll = -1;
    std::map<int, std::shared_ptr<watch>> watches;
    g_source_handle source;
};

}  // namespace camphorstack
