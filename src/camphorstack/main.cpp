#include <dlfcn.h>
#include <limits.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstring>

#include "camphorstack/cli/exit_codes.hpp"

namespace {

constexpr const char module_name[] = "libcamphorstack.so";

/// Writes the path of the module beside this executable. Returns false if the path is not known or is too long.
bool find_module(char (&path)[PATH_MAX]) {
    const ssize_t length = readlink("/proc/self/exe", path, sizeof path - 1);
    if (length <= 0) {
        return false;
    }
    path[length] = '\0';
    char* const name = std::strrchr(path, '/') + 1;
    if (name + sizeof module_name > path + sizeof path) {
        return false;
    }
    std::strcpy(name, module_name);
    return true;
}

}  // namespace

/// Loads the program from the module beside this executable and runs it. The libraries that the program needs take many
/// milliseconds to load, in which a signal would meet its default action; this executable needs the C library only.
int main(int argc, char** argv) {
    if (argc > 1 && std::strcmp(argv[1], "serve-sessions") == 0) {
        // It announces changed settings, which are read later in any case.
        std::signal(SIGHUP, SIG_IGN);
    }
    char path[PATH_MAX];
    if (!find_module(path)) {
        std::fprintf(stderr, "camphorstack: cannot find %s: the path of the executable is not known\n", module_name);
        return camphorstack::exit_usage;
    }
    void* const program = dlopen(path, RTLD_NOW | RTLD_GLOBAL);
    void* const entry = program == nullptr ? nullptr : dlsym(program, "run_camphorstack");
    if (entry == nullptr) {
        std::fprintf(stderr, "camphorstack: cannot load the program: %s\n", dlerror());
        return camphorstack::exit_usage;
    }
    return reinterpret_cast<int (*)(int, char**)>(entry)(argc, argv);
}
