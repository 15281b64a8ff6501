#include "camphorstack/links/request_headers.hpp"

#include <algorithm>
#include <string_view>
#include <vector>

#include "camphorstack/links/caller_json.hpp"
#include "camphorstack/support/g_pointer.hpp"

namespace camphorstack {

namespace {

constexpr unsigned bad_request = 400;
constexpr unsigned unauthorized = 401;
constexpr unsigned too_large = 413;

/// Values of the headers that are checked. The views refer to the request's headers.
struct framing_headers {
    std::vector<std::string_view> lengths;
    std::vector<std::string_view> encodings;
    std::vector<std::string_view> authorizations;
};

void collect(const char* name, const char* value, gpointer data) {
    auto* found = static_cast<framing_headers*>(data);
    if (g_ascii_strcasecmp(name, "Content-Length") == 0) {
        found->lengths.emplace_back(value);
    } else if (g_ascii_strcasecmp(name, "Transfer-Encoding") == 0) {
        found->encodings.emplace_back(value);
    } else if (g_ascii_strcasecmp(name, "Authorization") == 0) {
        found->authorizations.emplace_back(value);
    }
}

bool is_length(std::string_view text) {
    constexpr std::size_t max_digits = 18;  // Each number of 18 digits fits into the result of std::stoll.
    return !text.empty() && text.size() <= max_digits && std::ranges::all_of(text, [](char c) { return c >= '0' && c <= '9'; });
}

header_check reject(unsigned status, const char* error, bool close) {
    return {status, error, "", close};
}

header_check check_framing(const framing_headers& found) {
    // Prevents request smuggling: if a proxy and this server disagree about the end of a body, the rest of the body is taken for
    // another caller's request.
    if (!found.lengths.empty() && !found.encodings.empty()) {
        return reject(bad_request, "the request has both Content-Length and Transfer-Encoding", true);
    }
    if (found.lengths.size() > 1 || (found.lengths.size() == 1 && !is_length(found.lengths.front()))) {
        return reject(bad_request, "Content-Length is not one number", true);
    }
    if (found.encodings.size() > 1 ||
        (found.encodings.size() == 1 && g_ascii_strcasecmp(std::string(found.encodings.front()).c_str(), "chunked") != 0)) {
        return reject(bad_request, "Transfer-Encoding is not \"chunked\"", true);
    }
    if (found.lengths.size() == 1 && std::stoll(std::string(found.lengths.front())) > static_cast<long long>(caller_body_limit)) {
        return reject(too_large, "the body is larger than 256 KiB", true);
    }
    return {};
}

header_check check_key(const framing_headers& found) {
    constexpr std::string_view scheme = "Bearer ";
    if (found.authorizations.empty()) {
        return {};
    }
    if (found.authorizations.size() > 1) {
        return reject(bad_request, "the request has more than one Authorization header", false);
    }
    const std::string_view value = found.authorizations.front();
    if (value.size() <= scheme.size() || g_ascii_strncasecmp(value.data(), scheme.data(), scheme.size()) != 0) {
        return reject(unauthorized, "Authorization is not of the form \"Bearer KEY\"", false);
    }
    const std::string_view key = value.substr(scheme.size());
    const g_text hash(g_compute_checksum_for_data(G_CHECKSUM_SHA256, reinterpret_cast<const guchar*>(key.data()), key.size()));
    return {0, "", hash.get(), false};
}

}  // namespace

header_check check_request_headers(SoupMessageHeaders* headers) {
    framing_headers found;
    soup_message_headers_foreach(headers, &collect, &found);
    header_check result = check_framing(found);
    if (result.status == 0) {
        result = check_key(found);
    }
    soup_message_headers_remove(headers, "Authorization");
    return result;
}

}  // namespace camphorstack
