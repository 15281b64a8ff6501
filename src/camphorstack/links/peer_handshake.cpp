#include "camphorstack/links/peer_handshake.hpp"

#include <glib.h>
#include <unistd.h>

#include <algorithm>
#include <memory>
#include <string_view>

#include "camphorstack/links/peer_codec.hpp"
#include "camphorstack/support/errors.hpp"

namespace camphorstack {

namespace {

constexpr std::string_view hello_magic = "camphorstack";
constexpr std::size_t max_id_bytes = 255;

void append_id(std::vector<std::uint8_t>& out, const host_id& id) {
    if (id.size() > max_id_bytes) {
        throw format_error("host id is longer than 255 bytes");
    }
    out.push_back(static_cast<std::uint8_t>(id.size()));
    out.insert(out.end(), id.begin(), id.end());
}

/// Takes bytes from the front of a frame.
class frame_cursor {
public:
    explicit frame_cursor(std::span<const std::uint8_t> frame) : rest(frame) {}

    std::span<const std::uint8_t> take(std::size_t count) {
        if (count > this->rest.size()) {
            throw format_error("peer hello is too short");
        }
        const auto taken = this->rest.first(count);
        this->rest = this->rest.subspan(count);
        return taken;
    }

    host_id take_id() {
        const auto bytes = this->take(this->take(1).front());
        return {bytes.begin(), bytes.end()};
    }

    [[nodiscard]] bool at_end() const { return this->rest.empty(); }

private:
    std::span<const std::uint8_t> rest;
};

struct hmac_deleter {
    void operator()(GHmac* hmac) const { g_hmac_unref(hmac); }
};

}  // namespace

std::vector<std::uint8_t> encode_hello(const peer_hello& hello) {
    std::vector<std::uint8_t> out(hello_magic.begin(), hello_magic.end());
    out.push_back(static_cast<std::uint8_t>(peer_protocol_version));
    out.insert(out.end(), hello.nonce.begin(), hello.nonce.end());
    append_id(out, hello.from);
    append_id(out, hello.to);
    return out;
}

peer_hello decode_hello(std::span<const std::uint8_t> frame) {
    frame_cursor cursor(frame);
    if (!std::ranges::equal(cursor.take(hello_magic.size()), hello_magic)) {
        throw format_error("not a peer hello");
    }
    if (cursor.take(1).front() != peer_protocol_version) {
        throw format_error("peer hello of another protocol version");
    }
    peer_hello hello;
    std::ranges::copy(cursor.take(nonce_bytes), hello.nonce.begin());
    hello.from = cursor.take_id();
    hello.to = cursor.take_id();
    if (!cursor.at_end()) {
        throw format_error("peer hello is too long");
    }
    return hello;
}

handshake_proof make_proof(const std::string& secret, proof_side side, const handshake_transcript& transcript) {
    // The encoded hello holds the opener's nonce and both ids with their lengths, so no two transcripts give the same bytes.
    const auto hello = encode_hello(transcript.hello);
    const std::string_view label = side == proof_side::opener ? "opener" : "acceptor";
    const auto* key = reinterpret_cast<const guchar*>(secret.data());
    const std::unique_ptr<GHmac, hmac_deleter> hmac(g_hmac_new(G_CHECKSUM_SHA256, key, secret.size()));
    g_hmac_update(hmac.get(), reinterpret_cast<const guchar*>(label.data()), static_cast<gssize>(label.size()));
    g_hmac_update(hmac.get(), hello.data(), static_cast<gssize>(hello.size()));
    g_hmac_update(hmac.get(), transcript.challenge.data(), static_cast<gssize>(transcript.challenge.size()));
    handshake_proof proof{};
    gsize length = proof.size();
    g_hmac_get_digest(hmac.get(), proof.data(), &length);
    return proof;
}

bool proof_matches(const handshake_proof& expected, std::span<const std::uint8_t> frame) {
    if (frame.size() != expected.size()) {
        return false;
    }
    std::uint8_t difference = 0;
    for (std::size_t i = 0; i < expected.size(); ++i) {
        difference = static_cast<std::uint8_t>(difference | (expected.at(i) ^ frame[i]));
    }
    return difference == 0;
}

handshake_nonce make_nonce() {
    handshake_nonce nonce{};
    if (getentropy(nonce.data(), nonce.size()) != 0) {
        throw io_error("no random bytes from the operating system");
    }
    return nonce;
}

}  // namespace camphorstack
