#include "camphorstack/settings/environment_settings.hpp"

#include <glib.h>

#include "camphorstack/support/g_pointer.hpp"

namespace camphorstack {

std::string environment_name(const std::string& setting) {
    const g_text upper(g_ascii_strup(setting.c_str(), -1));
    return std::string("CAMPHORSTACK_") + upper.get();
}

settings_overrides read_environment_settings() {
    settings_overrides found;
    for (const char* const setting : {"memory_limit", "descriptor_limit", "usage_window", "usage_due"}) {
        const char* const value = g_getenv(environment_name(setting).c_str());
        if (value != nullptr && *value != '\0') {
            found[setting] = value;
        }
    }
    return found;
}

}  // namespace camphorstack
