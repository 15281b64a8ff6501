#include "camphorstack/support/fd_watcher.hpp"

#include <glib-unix.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <string>
#include <utility>

#include "camphorstack/support/errors.hpp"

namespace camphorstack {

namespace {

epoll_event event_for(int descriptor, bool reports_readable, bool reports_writable) {
    epoll_event event{};
    event.events = (reports_readable ? static_cast<std::uint32_t>(EPOLLIN) : 0U) |
                   (reports_writable ? static_cast<std::uint32_t>(EPOLLOUT) : 0U);
    event.data.fd = descriptor;
    return event;
}

}  // namespace

fd_watcher::fd_watcher() : epoll(epoll_create1(EPOLL_CLOEXEC)) {
    if (this->epoll < 0) {
        throw io_error("cannot create an epoll instance: " + std::string(g_strerror(errno)));
    }
    this->source = g_source_handle(g_unix_fd_add(this->epoll, G_IO_IN, &fd_watcher::dispatch, this));
}

fd_watcher::~fd_watcher() {
    this->source.reset();
    close(this->epoll);
}

void fd_watcher::add(int descriptor, callback ready) {
    epoll_event event = event_for(descriptor, true, false);
    if (epoll_ctl(this->epoll, EPOLL_CTL_ADD, descriptor, &event) != 0) {
        throw io_error("cannot add a file descriptor to epoll: " + std::string(g_strerror(errno)));
    }
    this->watches[descriptor] = std::make_shared<watch>(watch{std::move(ready), false, true});
}

void fd_watcher::watch_writable(int descriptor, bool is_enabled) {
    const auto found = this->watches.find(descriptor);
    if (found == this->watches.end() || found->second->reports_writable == is_enabled) {
        return;
    }
    found->second->reports_writable = is_enabled;
    this->apply(descriptor, *found->second);
}

void fd_watcher::watch_readable(int descriptor, bool is_enabled) {
    const auto found = this->watches.find(descriptor);
    if (found == this->watches.end() || found->second->reports_readable == is_enabled) {
        return;
    }
    found->second->reports_readable = is_enabled;
    this->apply(descriptor, *found->second);
}

void fd_watcher::apply(int descriptor, const watch& changed) const {
    epoll_event event = event_for(descriptor, changed.reports_readable, changed.reports_writable);
    epoll_ctl(this->epoll, EPOLL_CTL_MOD, descriptor, &event);
}

void fd_watcher::remove(int descriptor) {
    if (this->watches.erase(descriptor) != 0) {
        epoll_ctl(this->epoll, EPOLL_CTL_DEL, descriptor, nullptr);
    }
}

gboolean fd_watcher::dispatch(gint /*descriptor*/, GIOCondition /*condition*/, gpointer self) {
    constexpr int events_per_turn = 64;
    auto* watcher = static_cast<fd_watcher*>(self);
    std::array<epoll_event, events_per_turn> events{};
    const int count = epoll_wait(watcher->epoll, events.data(), events_per_turn, 0);
    // All watches are looked up before any callback runs, because a callback may close a descriptor whose number is then reused.
    std::array<std::weak_ptr<watch>, events_per_turn> ready;
    for (int i = 0; i < count; ++i) {
        const auto found = watcher->watches.find(events.at(static_cast<std::size_t>(i)).data.fd);
        if (found != watcher->watches.end()) {
            ready.at(static_cast<std::size_t>(i)) = found->second;
        }
    }
    for (int i = 0; i < count; ++i) {
        const auto index = static_cast<std::size_t>(i);
        if (const auto target = ready.at(index).lock()) {
            const auto bits = events.at(index).events;
            target->ready(fd_readiness{(bits & (EPOLLIN | EPOLLERR | EPOLLHUP)) != 0, (bits & EPOLLOUT) != 0});
        }
    }
    return G_SOURCE_CONTINUE;
}

}  // namespace camphorstack
