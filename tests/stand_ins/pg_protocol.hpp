#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphorstack::stand_ins {

/// Encoding and decoding for the server side of the PostgreSQL protocol, version 3.
/// Source: "Frontend/Backend Protocol" in PostgreSQL's documentation.

/// Startup packet: sent by a client before its first typed message.
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

/// These functions remove a complete packet from the front of `input` and return it; nothing if the packet is incomplete. They
/// throw format_error if the length of the packet is out of bounds, `take_startup` also if the packet has no protocol version.
std::optional<pg_startup> take_startup(std::string& input);
std::optional<pg_message> take_message(std::string& input);

struct pg_table {
    std::vector<std::string> columns;
    std::vector<std::vector<std::string>> rows;

    friend bool operator==(const pg_table&, const pg_table&) = default;
};

/// Encodes AuthenticationOk, ParameterStatus, BackendKeyData and ReadyForQuery.
std::string encode_login_accepted();
/// Encodes RowDescription, one DataRow per row and CommandComplete; all columns have the type `text`.
std::string encode_table(const pg_table& table);
std::string encode_error(const std::string& sqlstate, const std::string& text, bool fatal);
std::string encode_ready();

/// A query of the form `SELECT * FROM camphorstack.NAME('...', ...)`, with arguments as written by PQescapeLiteral.
struct function_call {
    std::string name;
    std::vector<std::string> arguments;

    friend bool operator==(const function_call&, const function_call&) = default;
};
std::optional<function_call> parse_function_call(const std::string& query);

}  // namespace camphorstack::stand_ins
