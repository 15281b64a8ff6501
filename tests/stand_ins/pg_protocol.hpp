#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphorstack::stand_ins {

/// Server side of the PostgreSQL protocol, version 3, as bytes.
/// Source: "Frontend/Backend Protocol" in PostgreSQL's documentation.

/// What a client sends before the first typed message.
struct pg_startup {
    std::uint32_t code = 0;  ///< Protocol version 196608, or the code of a request for encryption or cancellation.
    std::map<std::string, std::string> parameters;
};

constexpr std::uint32_t pg_version_3 = 196608;
constexpr std::uint32_t pg_ssl_request = 80877103;
constexpr std::uint32_t pg_gss_request = 80877104;

struct pg_message {
    char type = 0;
    std::string body;
};

/// Takes a complete packet off the front of `input`, if there is one. Both throw format_error on a length out of bounds.
std::optional<pg_startup> take_startup(std::string& input);
std::optional<pg_message> take_message(std::string& input);

struct pg_table {
    std::vector<std::string> columns;
    std::vector<std::vector<std::string>> rows;

    friend bool operator==(const pg_table&, const pg_table&) = default;
};

/// AuthenticationOk, ParameterStatus, BackendKeyData and ReadyForQuery.
std::string encode_login_accepted();
/// RowDescription, one DataRow per row and CommandComplete; all columns are text.
std::string encode_table(const pg_table& table);
std::string encode_error(const std::string& sqlstate, const std::string& text, bool fatal);
std::string encode_ready();

/// `SELECT * FROM camphorstack.NAME('...', ...)`; arguments are the literals that PQescapeLiteral writes.
struct function_call {
    std::string name;
    std::vector<std::string> arguments;

    friend bool operator==(const function_call&, const function_call&) = default;
};
std::optional<function_call> parse_function_call(const std::string& query);

}  // namespace camphorstack::stand_ins
