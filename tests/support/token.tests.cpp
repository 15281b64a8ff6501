#include "camphorstack/support/token.hpp"

#include <catch2/catch.hpp>
#include <random>

#include "camphorstack/support/errors.hpp"

using namespace camphorstack;

namespace {
const std::string secret = "a secret of the fleet";
const session_token session{"cashiers", {{"serial-registry-1", {3, 77}}, {"serial-registry-2", {1, 5}}}};
}  // namespace

TEST_CASE("parsing a formatted token gives the same content", "[token]") {
    CHECK(parse_session_token(format_token(session, secret), secret) == session);
    const transaction_token transaction{"cashiers", "serial-registry-1", "host-3", "17"};
    CHECK(parse_transaction_token(format_token(transaction, secret), secret) == transaction);
}

TEST_CASE("a token that this fleet did not sign is refused", "[token][workspace-isolation]") {
    const auto text = format_token(session, secret);
    SECTION("signed with another secret") {
        CHECK_THROWS_AS(parse_session_token(text, "another secret"), format_error);
    }
    SECTION("used for another purpose") {
        CHECK_THROWS_AS(parse_transaction_token(text, secret), format_error);
    }
    SECTION("truncated at any length") {
        for (std::size_t length = 0; length < text.size(); ++length) {
            CHECK_THROWS_AS(parse_session_token(text.substr(0, length), secret), format_error);
        }
    }
    SECTION("altered at random") {
        std::mt19937_64 random(1);
        for (int round = 0; round < 5000; ++round) {
            auto altered = text;
            altered[random() % altered.size()] = static_cast<char>(random() % 256);
            if (altered != text) {
                // The last character of base64 text has padding bits that do not encode content.
                if (altered.substr(0, altered.size() - 1) != text.substr(0, text.size() - 1)) {
                    CHECK_THROWS_AS(parse_session_token(altered, secret), format_error);
                }
            }
        }
    }
}
