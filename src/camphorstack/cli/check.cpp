#include "camphorstack/cli/check.hpp"

#include <iostream>
#include <sstream>

#include "camphorstack/cli/exit_codes.hpp"
#include "camphorstack/cli/files.hpp"
#include "camphorstack/document/document_file.hpp"
#include "camphorstack/document/sections.hpp"
#include "camphorstack/settings/daemon_settings.hpp"
#include "camphorstack/settings/session_settings.hpp"

namespace camphorstack {

namespace {

bool is_settings_file(const std::string& path) {
    return path.ends_with(".yaml") || path.ends_with(".yml");
}

void check_settings(const std::string& text, const std::string& path) {
    if (is_session_settings(text)) {
        static_cast<void>(parse_session_settings(text, path));
    } else {
        static_cast<void>(parse_settings(text, path));
    }
}

void print_document_errors(const std::string& path, const std::string& errors) {
    std::istringstream lines{errors};
    for (std::string line; std::getline(lines, line);) {
        std::cerr << path << ": " << line << '\n';
    }
}

}  // namespace

int run_check(const std::vector<std::string>& arguments) {
    if (arguments.size() != 1 || !(is_settings_file(arguments[0]) || arguments[0].ends_with(".json"))) {
        std::cerr << "usage: camphorstack check FILE   (.yaml or .yml: settings; .json: document)\n";
        return exit_usage;
    }
    const auto& path = arguments[0];
    const auto text = read_file(path);
    try {
        if (is_settings_file(path)) {
            check_settings(text, path);
        } else {
            check_document_file(text);
        }
    } catch (const settings_error& failure) {
        std::cerr << failure.what() << '\n';
        return exit_invalid;
    } catch (const document_error& failure) {
        print_document_errors(path, failure.what());
        return exit_invalid;
    }
    std::cout << path << ": ok\n";
    return exit_ok;
}

command check_command() {
    return {"check",
            "check a settings file or a document and print all errors",
            "usage: camphorstack check FILE\n\n"
            "  FILE.yaml, FILE.yml  settings of a daemon (docs/settings.md)\n"
            "  FILE.json            a document: an object of section contents, or the platform object's value\n"
            "                       (docs/document.md)\n\n"
            "examples:\n"
            "  camphorstack check amman-1.yaml\n"
            "  camphorstack check document.json\n\n"
            "exit codes: 0 no errors; 1 wrong usage or unreadable file; 2 the file has errors\n",
            {},
            {},
            &run_check};
}

}  // namespace camphorstack
