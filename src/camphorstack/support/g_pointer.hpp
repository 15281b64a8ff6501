#pragma once

#include <gio/gio.h>

#include <memory>

namespace camphorstack {

struct g_object_deleter {
    void operator()(gpointer object) const { g_object_unref(object); }
};

/// Owns one reference to a GObject.
template <typename T>
using g_pointer = std::unique_ptr<T, g_object_deleter>;

/// Takes ownership of the caller's reference.
template <typename T>
[[nodiscard]] g_pointer<T> g_adopt(T* object) {
    return g_pointer<T>(object);
}

/// Adds a reference; the caller keeps its own.
template <typename T>
[[nodiscard]] g_pointer<T> g_share(T* object) {
    g_object_ref(object);
    return g_pointer<T>(object);
}

struct g_error_deleter {
    void operator()(GError* failure) const { g_error_free(failure); }
};
using g_error_pointer = std::unique_ptr<GError, g_error_deleter>;

struct g_free_deleter {
    void operator()(gpointer memory) const { g_free(memory); }
};
/// Owns a string that GLib allocated.
using g_text = std::unique_ptr<char, g_free_deleter>;

/// Owns the id of a source. Removes the source from the main context on destruction.
class g_source_handle {
public:
    g_source_handle() = default;
    explicit g_source_handle(guint attached) : id(attached) {}
    g_source_handle(const g_source_handle&) = delete;
    g_source_handle& operator=(const g_source_handle&) = delete;
    g_source_handle(g_source_handle&& other) noexcept : id(other.release()) {}
    g_source_handle& operator=(g_source_handle&& other) noexcept {
        if (this != &other) {
            this->reset();
            this->id = other.release();
        }
        return *this;
    }
    ~g_source_handle() { this->reset(); }

    [[nodiscard]] bool active() const { return this->id != 0; }
    /// Releases the source without removing it, for a source that removes itself by returning G_SOURCE_REMOVE.
    guint release() {
        const guint released = this->id;
        this->id = 0;
        return released;
    }
    void reset() {
        if (const guint released = this->release(); released != 0) {
            g_source_remove(released);
        }
    }

private:
    guint id = 0;
};

}  // namespace camphorstack
