#include <dlfcn.h>
#include <limits.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstring>

#include "camphorstack/cli/exit_codes.hpp"

namespace {

constexpr const char* module_name = "libcamphorstack.so";

/// Loads the module from the folder of this executable. Returns null, with the reason in dlerror, if it cannot be loaded.
void* load_module() {
    char folder[PATH_MAX] = "";
    if (readlink("/proc/self/exe", folder, sizeof folder - 1) > 0) {
        *std::strrchr(folder, '/') = '\0';
    }
    // A process may be able to read its working directory, but not the folders above it.
    char working[PATH_MAX] = "";
    const auto length = getcwd(working, sizeof working) == nullptr ? 0 : std::strlen(working);
    char path[PATH_MAX + 64] = "";
    if (length > 0 && std::strncmp(folder, working, length) == 0 && (folder[length] == '/' || folder[length] == '\0')) {
        std::snprintf(path, sizeof path, ".%s/%s", folder + length, module_name);
    }
    if (access(path, R_OK) != 0) {
        std::snprintf(path, sizeof path, "%s/%s", folder, module_name);
    }
    return dlopen(path, RTLD_NOW | RTLD_GLOBAL);
}

}  // namespace

/// Loads the program from the module beside this executable and runs it. The libraries that the program needs take many
/// milliseconds to load, in which a signal would meet its default action; this executable needs the C library only.
int main(int argc, char** argv) {
    if (argc > 1 && std::strcmp(argv[1], "serve-sessions") == 0) {
        // It announces changed settings, which are read later in any case.
        std::signal(SIGHUP, SIG_IGN);
    }
    void* const program = load_module();
    void* const entry = program == nullptr ? nullptr : dlsym(program, "run_camphorstack");
    if (entry == nullptr) {
        std::fprintf(stderr, "camphorstack: cannot load the program: %s\n", dlerror());
        return camphorstack::exit_usage;
    }
    return reinterpret_cast<int (*)(int, char**)>(entry)(argc, argv);
}
