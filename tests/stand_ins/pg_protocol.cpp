#include "stand_ins/pg_protocol.hpp"

#include <string_view>

#include "camphorstack/support/errors.hpp"

namespace camphorstack::stand_ins {

namespace {

constexpr std::size_t length_bytes = 4;
constexpr std::size_t max_packet_bytes = 1 << 20;
constexpr std::uint32_t text_type = 25;  ///< Object id of the PostgreSQL type `text`.

std::uint32_t read_number(std::string_view bytes) {
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < length_bytes; ++i) {
        value = (value << 8U) | static_cast<unsigned char>(bytes[i]);
    }
    return value;
}

std::string encode_number(std::uint32_t value, std::size_t bytes) {
    std::string result;
    for (std::size_t i = bytes; i > 0; --i) {
        result += static_cast<char>((value >> (8U * (i - 1))) & 0xFFU);
    }
    return result;
}

std::string null_terminated(const std::string& value) {
    return value + '\0';
}

std::string message(char type, const std::string& body) {
    return type + encode_number(static_cast<std::uint32_t>(body.size() + length_bytes), length_bytes) + body;
}

/// Returns the value of the length field at `offset`, which counts the field itself; nothing if the packet is incomplete.
/// Throws format_error if the length is out of bounds.
std::optional<std::size_t> packet_length(const std::string& input, std::size_t offset) {
    if (input.size() < offset + length_bytes) {
        return std::nullopt;
    }
    const std::size_t length = read_number(std::string_view(input).substr(offset));
    if (length < length_bytes || length > max_packet_bytes) {
        throw format_error("packet length is out of bounds");
    }
    return input.size() < offset + length ? std::nullopt : std::optional(length);
}

std::map<std::string, std::string> parse_parameters(std::string_view bytes) {
    std::map<std::string, std::string> parameters;
    const auto next = [&bytes] {
        const auto end = std::min(bytes.find('\0'), bytes.size());
        std::string result(bytes.substr(0, end));
        bytes.remove_prefix(std::min(end + 1, bytes.size()));
        return result;
    };
    for (auto name = next(); !name.empty(); name = next()) {
        parameters[name] = next();
    }
    return parameters;
}

std::string row_description(const std::vector<std::string>& columns) {
    std::string body = encode_number(static_cast<std::uint32_t>(columns.size()), 2);
    for (const auto& column : columns) {
        body += null_terminated(column) + encode_number(0, 4) + encode_number(0, 2) + encode_number(text_type, 4) +
                encode_number(0xFFFF, 2) + encode_number(0xFFFFFFFF, 4) + encode_number(0, 2);
    }
    return message('T', body);
}

std::string data_row(const std::vector<std::string>& values) {
    std::string body = encode_number(static_cast<std::uint32_t>(values.size()), 2);
    for (const auto& value : values) {
        body += encode_number(static_cast<std::uint32_t>(value.size()), 4) + value;
    }
    return message('D', body);
}

std::string parameter_status(const std::string& name, const std::string& value) {
    return message('S', null_terminated(name) + null_terminated(value));
}

/// Removes a string literal from the front of `rest` and returns its value; nothing if `rest` has no literal there.
std::optional<std::string> take_literal(std::string_view& rest) {
    while (!rest.empty() && rest.front() == ' ') {
        rest.remove_prefix(1);
    }
    const bool has_escapes = !rest.empty() && (rest.front() == 'E' || rest.front() == 'e');
    if (has_escapes) {
        rest.remove_prefix(1);
    }
    if (rest.empty() || rest.front() != '\'') {
        return std::nullopt;
    }
    std::string value;
    for (std::size_t i = 1; i < rest.size(); ++i) {
        const bool doubled = i + 1 < rest.size() && rest[i + 1] == rest[i];
        if (rest[i] == '\'' && !doubled) {
            rest.remove_prefix(i + 1);
            return value;
        }
        if (rest[i] == '\'' || (has_escapes && rest[i] == '\\' && doubled)) {
            ++i;
        }
        value += rest[i];
    }
    return std::nullopt;
}

bool take_prefix(std::string_view& rest, std::string_view prefix) {
    if (!rest.starts_with(prefix)) {
        return false;
    }
    rest.remove_prefix(prefix.size());
    return true;
}

}  // namespace

std::optional<pg_startup> take_startup(std::string& input) {
    const auto length = packet_length(input, 0);
    if (!length) {
        return std::nullopt;
    }
    if (*length < 2 * length_bytes) {
        throw format_error("startup packet has no protocol version");
    }
    const std::string_view packet = std::string_view(input).substr(length_bytes, *length - length_bytes);
    pg_startup result{read_number(packet), parse_parameters(packet.substr(length_bytes))};
    input.erase(0, *length);
    return result;
}

std::optional<pg_message> take_message(std::string& input) {
    const auto length = packet_length(input, 1);
    if (!length) {
        return std::nullopt;
    }
    pg_message result{input.front(), input.substr(1 + length_bytes, *length - length_bytes)};
    input.erase(0, 1 + *length);
    return result;
}

std::string encode_login_accepted() {
    return message('R', encode_number(0, 4)) + parameter_status("server_version", "15.0") +
           parameter_status("client_encoding", "UTF8") + parameter_status("standard_conforming_strings", "on") +
           message('K', encode_number(1, 4) + encode_number(1, 4)) + encode_ready();
}

std::string encode_table(const pg_table& table) {
    std::string bytes = row_description(table.columns);
    for (const auto& row : table.rows) {
        bytes += data_row(row);
    }
    return bytes + message('C', null_terminated("SELECT " + std::to_string(table.rows.size())));
}

std::string encode_error(const std::string& sqlstate, const std::string& explanation, bool fatal) {
    const std::string severity = fatal ? "FATAL" : "ERROR";
    return message('E', null_terminated("S" + severity) + null_terminated("V" + severity) + null_terminated("C" + sqlstate) +
                            null_terminated("M" + explanation) + '\0');
}

std::string encode_ready() {
    return message('Z', "I");
}

std::optional<function_call> parse_function_call(const std::string& query) {
    std::string_view rest = query;
    if (!take_prefix(rest, "SELECT * FROM camphorstack.")) {
        return std::nullopt;
    }
    const auto open = rest.find('(');
    if (open == std::string_view::npos) {
        return std::nullopt;
    }
    function_call result{std::string(rest.substr(0, open)), {}};
    rest.remove_prefix(open + 1);
    do {
        auto argument = take_literal(rest);
        if (!argument) {
            return std::nullopt;
        }
        result.arguments.push_back(std::move(*argument));
    } while (take_prefix(rest, ","));
    return rest == ")" ? std::optional(std::move(result)) : std::nullopt;
}

}  // namespace camphorstack::stand_ins
