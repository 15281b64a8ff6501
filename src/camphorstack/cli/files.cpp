#include "camphorstack/cli/files.hpp"

#include "camphorstack/support/errors.hpp"
#include "camphorstack/support/g_pointer.hpp"

namespace camphorstack {

std::string read_file(const std::string& path) {
    char* content = nullptr;
    gsize length = 0;
    GError* failure = nullptr;
    if (g_file_get_contents(path.c_str(), &content, &length, &failure) == FALSE) {
        const g_error_pointer reason{failure};
        throw io_error(reason->message);
    }
    const g_text owned{content};
    return {owned.get(), length};
}

}  // namespace camphorstack
