#include "camphorstack/document/json_tree.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <set>
#include <string_view>
#include <utility>

#include "camphorstack/document/json_values.hpp"
#include "camphorstack/support/g_pointer.hpp"
#include "camphorstack/support/json_strings.hpp"

namespace camphorstack {

namespace {

/// Maximum depth of nested values. json-glib parses nested values recursively and could overflow the stack, so the depth is
/// checked before the text is parsed.
constexpr int max_depth = 64;

bool is_allowed_outside_strings(char c) {
    return g_ascii_isspace(c) != FALSE || g_ascii_isalnum(c) != FALSE ||
           std::string_view{"+-.,:{}[]"}.find(c) != std::string_view::npos;
}

/// Returns true if a string has an escape that JSON does not know. json-glib reads such a one as another character, an octal zero
/// as the end of the string.
bool has_unknown_escape(std::string_view quoted) {
    constexpr std::string_view known = "\"\\/bfnrtu";
    for (auto i = quoted.find('\\'); i != std::string_view::npos && i + 1 < quoted.size(); i = quoted.find('\\', i + 2)) {
        if (known.find(quoted[i + 1]) == std::string_view::npos) {
            return true;
        }
    }
    return false;
}

/// Returns an error text if `text` uses extensions that json-glib accepts but JSON does not (comments, single quotes), or if
/// values are nested too deeply. Returns an empty string if `text` can be parsed.
std::string find_unsupported_syntax(const std::string& text) {
    int depth = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (c == '"') {
            const auto end = end_of_json_string(text, i);
            if (has_unknown_escape(std::string_view(text).substr(i, end - i))) {
                return "not valid JSON: unknown escape in a string";
            }
            i = end;
        } else if (!is_allowed_outside_strings(c)) {
            return "not valid JSON: unexpected character outside of a string";
        } else if (c == '{' || c == '[') {
            if (++depth > max_depth) {
                return "values are nested more than " + std::to_string(max_depth) + " deep";
            }
        } else if (c == '}' || c == ']') {
            --depth;
        }
    }
    return {};
}

/// Returns the text with ".0" after each whole number that does not fit into 64 bits; empty if there is none. json-glib would
/// read such a number as -1 or as another wrong number without an error; as a fraction it keeps its magnitude. Expects text
/// without unsupported syntax.
std::string mark_large_numbers(const std::string& text) {
    std::string result;
    std::size_t copied = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (c == '"') {
            i = end_of_json_string(text, i);
        } else if (g_ascii_isdigit(c) != FALSE) {
            const bool is_negative = i > 0 && text[i - 1] == '-';
            const char* const first = text.data() + i - (is_negative ? 1 : 0);
            const char* const end = text.data() + text.size();
            std::int64_t value = 0;
            const auto read = std::from_chars(first, end, value);
            const char next = read.ptr < end ? *read.ptr : ' ';
            const auto stop = static_cast<std::size_t>(read.ptr - text.data());
            if (read.ec == std::errc::result_out_of_range && next != '.' && g_ascii_isalpha(next) == FALSE) {
                result.append(text, copied, stop - copied).append(".0");
                copied = stop;
            }
            // Digits of a fraction or an exponent belong to the same number.
            i = text.find_first_not_of("0123456789.eE+-", stop);
            i = (i == std::string::npos ? text.size() : i) - 1;
        }
    }
    return copied == 0 ? std::string() : result.append(text, copied, std::string::npos);
}

/// Splits json-glib's message "<data>:LINE:COLUMN: text" into line and text. The parser no longer has the line after a failure.
json_error syntax_error(const std::string& message) {
    const std::string prefix = "<data>:";
    int line = 0;
    const auto result = message.starts_with(prefix)
                            ? std::from_chars(message.data() + prefix.size(), message.data() + message.size(), line)
                            : std::from_chars_result{message.data(), std::errc::invalid_argument};
    const auto text_start = message.find(": ");
    if (result.ec != std::errc{} || text_start == std::string::npos) {
        return {0, "not valid JSON: " + message};
    }
    return {line, "not valid JSON: " + message.substr(text_start + 2)};
}

/// json-glib writes large fractions as "1e+20.0", which no parser accepts. Removes the ".0" behind exponents.
std::string repair_exponents(std::string text) {
    constexpr std::string_view number_characters = "0123456789.eE+-";
    constexpr std::string_view needless = ".0";
    std::size_t i = 0;
    while (i < text.size()) {
        if (text[i] == '"') {
            i = end_of_json_string(text, i) + 1;
            continue;
        }
        if (g_ascii_isdigit(text[i]) == FALSE) {
            ++i;
            continue;
        }
        const auto end = std::min(text.find_first_not_of(number_characters, i), text.size());
        const std::string_view number(text.data() + i, end - i);
        const bool has_exponent = number.find_first_of("eE") != std::string_view::npos;
        if (has_exponent && number.ends_with(needless)) {
            text.erase(end - needless.size(), needless.size());
            i = end - needless.size();
        } else {
            i = end;
        }
    }
    return text;
}

std::string generate(JsonNode* node, bool is_pretty) {
    const auto generator = g_adopt(json_generator_new());
    json_generator_set_root(generator.get(), node);
    json_generator_set_pretty(generator.get(), is_pretty ? TRUE : FALSE);
    json_generator_set_indent(generator.get(), 2);
    gsize length = 0;
    const g_text text{json_generator_to_data(generator.get(), &length)};
    return restore_json_escapes(repair_exponents({text.get(), length}));
}

JsonNode* member_of_kind(JsonObject* parent, const char* name, JsonNodeType kind) {
    JsonNode* node = parent == nullptr ? nullptr : json_object_get_member(parent, name);
    return node != nullptr && json_node_get_node_type(node) == kind ? node : nullptr;
}

JsonNode* member_of_type(JsonObject* parent, const char* name, GType type) {
    JsonNode* node = member_of_kind(parent, name, JSON_NODE_VALUE);
    return node != nullptr && json_node_get_value_type(node) == type ? node : nullptr;
}

}  // namespace

/// Receives the parser's signals. Records the line of each object and reports duplicate fields.
struct json_tree::parse_observer {
    json_tree* tree = nullptr;
    std::vector<int> open_lines;
    std::set<std::pair<JsonObject*, std::string>> members;

    static int line_in(JsonParser* parser) { return static_cast<int>(json_parser_get_current_line(parser)); }

    static void on_object_start(JsonParser* parser, gpointer data) {
        static_cast<parse_observer*>(data)->open_lines.push_back(line_in(parser));
    }

    static void on_object_member(JsonParser* parser, JsonObject* object, const char* name, gpointer data) {
        auto* self = static_cast<parse_observer*>(data);
        // If a name is repeated, json-glib keeps the last member and drops the others without an error.
        if (!self->members.emplace(object, name).second) {
            self->tree->found_errors.push_back({line_in(parser), "field \"" + std::string{name} + "\" is given twice"});
        }
    }

    static void on_object_end(JsonParser* /*parser*/, JsonObject* object, gpointer data) {
        auto* self = static_cast<parse_observer*>(data);
        if (!self->open_lines.empty()) {
            self->tree->lines[object] = self->open_lines.back();
            self->open_lines.pop_back();
        }
    }
};

json_tree::json_tree(const std::string& text) {
    if (g_utf8_validate(text.data(), static_cast<gssize>(text.size()), nullptr) == FALSE) {
        this->found_errors.push_back({0, "text is not valid UTF-8"});
        return;
    }
    if (const std::string syntax_fault = find_unsupported_syntax(text); !syntax_fault.empty()) {
        this->found_errors.push_back({0, syntax_fault});
        return;
    }
    const auto parser = g_adopt(json_parser_new());
    parse_observer observed{this, {}, {}};
    g_signal_connect(parser.get(), "object-start", G_CALLBACK(&parse_observer::on_object_start), &observed);
    g_signal_connect(parser.get(), "object-member", G_CALLBACK(&parse_observer::on_object_member), &observed);
    g_signal_connect(parser.get(), "object-end", G_CALLBACK(&parse_observer::on_object_end), &observed);
    GError* failure = nullptr;
    auto parsed = mark_json_escapes(text);
    if (auto marked = mark_large_numbers(parsed); !marked.empty()) {
        parsed = std::move(marked);
    }
    if (json_parser_load_from_data(parser.get(), parsed.data(), static_cast<gssize>(parsed.size()), &failure) == FALSE) {
        const g_error_pointer reason{failure};
        this->found_errors.push_back(syntax_error(reason ? reason->message : "unknown error"));
        return;
    }
    this->root_node.reset(json_parser_steal_root(parser.get()));
    if (std::ranges::count(text, '\n') == 0) {
        this->lines.clear();
    }
}

JsonObject* json_tree::root() const {
    return this->root_node && JSON_NODE_HOLDS_OBJECT(this->root_node.get()) ? json_node_get_object(this->root_node.get())
                                                                            : nullptr;
}

int json_tree::line_of(JsonObject* object) const {
    const auto found = this->lines.find(object);
    return found == this->lines.end() ? 0 : found->second;
}

std::string to_json_text(JsonNode* node) {
    return generate(node, false);
}

std::string to_pretty_json_text(JsonNode* node) {
    return generate(node, true);
}

JsonObject* object_member(JsonObject* parent, const char* name) {
    JsonNode* node = member_of_kind(parent, name, JSON_NODE_OBJECT);
    return node == nullptr ? nullptr : json_node_get_object(node);
}

JsonArray* array_member(JsonObject* parent, const char* name) {
    JsonNode* node = member_of_kind(parent, name, JSON_NODE_ARRAY);
    return node == nullptr ? nullptr : json_node_get_array(node);
}

std::optional<std::string> string_member(JsonObject* parent, const char* name) {
    return string_value(member_of_kind(parent, name, JSON_NODE_VALUE));
}

std::optional<std::string> string_value(JsonNode* node) {
    const bool is_string = node != nullptr && JSON_NODE_HOLDS_VALUE(node) && json_node_get_value_type(node) == G_TYPE_STRING;
    return is_string ? unmark_json_string(json_node_get_string(node)) : std::nullopt;
}

std::optional<std::int64_t> integer_member(JsonObject* parent, const char* name) {
    JsonNode* node = member_of_type(parent, name, G_TYPE_INT64);
    return node == nullptr ? std::nullopt : std::optional<std::int64_t>{json_node_get_int(node)};
}

std::optional<double> number_member(JsonObject* parent, const char* name) {
    JsonNode* node = member_of_kind(parent, name, JSON_NODE_VALUE);
    const auto type = node == nullptr ? G_TYPE_NONE : json_node_get_value_type(node);
    return type == G_TYPE_INT64 || type == G_TYPE_DOUBLE ? std::optional{json_node_get_double(node)} : std::nullopt;
}

std::optional<bool> boolean_member(JsonObject* parent, const char* name) {
    JsonNode* node = member_of_type(parent, name, G_TYPE_BOOLEAN);
    return node == nullptr ? std::nullopt : std::optional<bool>{json_node_get_boolean(node) != FALSE};
}

}  // namespace camphorstack
