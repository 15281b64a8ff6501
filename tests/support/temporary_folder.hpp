#pragma once

#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>

namespace camphorstack::tests {

/// A new folder for one test's files, removed at the end unless it is kept.
class temporary_folder {
public:
    /// Throws std::runtime_error if the folder cannot be created.
    explicit temporary_folder(const std::string& prefix) {
        std::string name = std::filesystem::temp_directory_path() / (prefix + "-XXXXXX");
        if (mkdtemp(name.data()) == nullptr) {
            throw std::runtime_error("cannot create a temporary folder");
        }
        this->path = name;
    }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    temporary_folder(temporary_folder&&) = delete;
    temporary_folder& operator=(temporary_folder&&) = delete;
    ~temporary_folder() {
        if (!this->is_kept) {
            std::filesystem::remove_all(this->path);
        }
    }

    std::string path;
    bool is_kept = false;
};

}  // namespace camphorstack::tests
