#include "camphorstack/support/token.hpp"

#include <glib.h>

#include <algorithm>
#include <array>
#include <memory>
#include <span>
#include <vector>

#include "camphorstack/support/errors.hpp"

namespace camphorstack {

namespace {

constexpr std::size_t signature_bytes = 32;
constexpr std::size_t max_token_length = 8192;

constexpr const char* session_purpose = "session";
constexpr const char* transaction_purpose = "transaction";
constexpr const char* session_format = "(sa(stt))";
constexpr const char* transaction_format = "(ssss)";

struct variant_deleter {
    void operator()(GVariant* value) const { g_variant_unref(value); }
};
using variant_pointer = std::unique_ptr<GVariant, variant_deleter>;

using byte_string = std::vector<guint8>;

/// The signature covers `purpose`, so that a session token is not accepted as a transaction token or vice versa.
byte_string sign(const char* purpose, std::span<const guint8> content, const std::string& secret) {
    byte_string signature(signature_bytes);
    gsize length = signature.size();
    // g_hmac_new only reads the key, which it takes as unsigned characters.
    auto* hmac = g_hmac_new(G_CHECKSUM_SHA256, reinterpret_cast<const guchar*>(secret.data()), secret.size());
    g_hmac_update(hmac, reinterpret_cast<const guchar*>(purpose), -1);
    g_hmac_update(hmac, content.data(), static_cast<gssize>(content.size()));
    g_hmac_get_digest(hmac, signature.data(), &length);
    g_hmac_unref(hmac);
    return signature;
}

std::string to_base64url(const byte_string& bytes) {
    gchar* encoded = g_base64_encode(bytes.data(), bytes.size());
    std::string text(encoded);
    g_free(encoded);
    std::ranges::replace(text, '+', '-');
    std::ranges::replace(text, '/', '_');
    text.erase(std::ranges::find(text, '='), text.end());
    return text;
}

byte_string from_base64url(std::string text) {
    const bool is_base64url = std::ranges::all_of(text, [](char c) { return g_ascii_isalnum(c) || c == '-' || c == '_'; });
    if (!is_base64url || text.empty() || text.size() > max_token_length) {
        throw format_error("the token is not base64url text of at most 8192 characters");
    }
    std::ranges::replace(text, '-', '+');
    std::ranges::replace(text, '_', '/');
    constexpr std::size_t base64_group = 4;
    text.append((base64_group - text.size() % base64_group) % base64_group, '=');
    gsize length = 0;
    guchar* decoded = g_base64_decode(text.c_str(), &length);
    byte_string bytes(decoded, decoded + length);
    g_free(decoded);
    return bytes;
}

/// Takes ownership of the floating reference `value`. Returns the signature and the serialized value as base64url text.
std::string sign_and_encode(GVariant* value, const char* purpose, const std::string& secret) {
    const variant_pointer owned(g_variant_ref_sink(value));
    byte_string content(g_variant_get_size(owned.get()));
    g_variant_store(owned.get(), content.data());
    auto bytes = sign(purpose, content, secret);
    bytes.insert(bytes.end(), content.begin(), content.end());
    return to_base64url(bytes);
}

bool equal_in_constant_time(std::span<const guint8> a, std::span<const guint8> b) {
    guint8 difference = a.size() == b.size() ? 0 : 1;
    for (std::size_t i = 0; i < std::min(a.size(), b.size()); ++i) {
        difference = static_cast<guint8>(difference | (a[i] ^ b[i]));
    }
    return difference == 0;
}

/// Throws format_error if the text is not a token that was signed with `secret` for `purpose`.
variant_pointer verify_and_decode(const std::string& text, const char* purpose, const char* format, const std::string& secret) {
    const auto bytes = from_base64url(text);
    if (bytes.size() <= signature_bytes) {
        throw format_error("the token is truncated");
    }
    const std::span content(bytes.data() + signature_bytes, bytes.size() - signature_bytes);
    const std::span signature(bytes.data(), signature_bytes);
    if (!equal_in_constant_time(sign(purpose, content, secret), signature)) {
        throw format_error("the token's signature does not match");
    }
    GBytes* copy = g_bytes_new(content.data(), content.size());
    variant_pointer value(g_variant_ref_sink(g_variant_new_from_bytes(G_VARIANT_TYPE(format), copy, FALSE)));
    g_bytes_unref(copy);
    if (!g_variant_is_normal_form(value.get())) {
        throw format_error("the token's content is not valid");
    }
    return value;
}

}  // namespace

std::string format_token(const session_token& token, const std::string& secret) {
    GVariantBuilder seen;
    g_variant_builder_init(&seen, G_VARIANT_TYPE("a(stt)"));
    for (const auto& [database, position] : token.seen) {
        g_variant_builder_add(&seen, "(stt)", database.c_str(), static_cast<guint64>(position.term),
                              static_cast<guint64>(position.index));
    }
    return sign_and_encode(g_variant_new("(sa(stt))", token.workspace.c_str(), &seen), session_purpose, secret);
}

std::string format_token(const transaction_token& token, const std::string& secret) {
    GVariant* value = g_variant_new("(ssss)", token.workspace.c_str(), token.database.c_str(), token.transaction_host.c_str(),
                                    token.transaction.c_str());
    return sign_and_encode(value, transaction_purpose, secret);
}

session_token parse_session_token(const std::string& text, const std::string& secret) {
    const auto value = verify_and_decode(text, session_purpose, session_format, secret);
    const gchar* workspace = nullptr;
    GVariantIter* entries = nullptr;
    g_variant_get(value.get(), "(&sa(stt))", &workspace, &entries);
    session_token token{workspace, {}};
    const gchar* database = nullptr;
    guint64 term = 0;
    guint64 index = 0;
    while (g_variant_iter_next(entries, "(&stt)", &database, &term, &index) != FALSE) {
        token.seen[database] = {term, index};
    }
    g_variant_iter_free(entries);
    return token;
}

transaction_token parse_transaction_token(const std::string& text, const std::string& secret) {
    const auto value = verify_and_decode(text, transaction_purpose, transaction_format, secret);
    const gchar* workspace = nullptr;
    const gchar* database = nullptr;
    const gchar* transaction_host = nullptr;
    const gchar* transaction = nullptr;
    g_variant_get(value.get(), "(&s&s&s&s)", &workspace, &database, &transaction_host, &transaction);
    return {workspace, database, transaction_host, transaction};
}

}  // namespace camphorstack
