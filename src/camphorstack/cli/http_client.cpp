#include "camphorstack/cli/http_client.hpp"

#include <libsoup/soup.h>

#include <algorithm>
#include <atomic>
#include <thread>

#include "camphorstack/support/g_pointer.hpp"

namespace camphorstack {

namespace {

/// Highest number of hosts that are queried at the same time.
constexpr std::size_t max_threads = 32;

struct g_bytes_deleter {
    void operator()(GBytes* bytes) const { g_bytes_unref(bytes); }
};
using bytes_handle = std::unique_ptr<GBytes, g_bytes_deleter>;

http_answer call(const char* method, const std::string& address, const std::string& path, const std::string& body,
                 unsigned timeout_s) {
    // Each call has its own session, since libsoup binds a session to the thread that created it.
    const auto session = g_adopt(soup_session_new_with_options("timeout", timeout_s, nullptr));
    soup_session_set_proxy_resolver(session.get(), nullptr);
    const std::string url = "http://" + address + path;
    SoupMessage* created = soup_message_new(method, url.c_str());
    if (created == nullptr) {
        return {0, "", "invalid address " + address};
    }
    const auto message = g_adopt(created);
    if (!body.empty()) {
        const bytes_handle bytes{g_bytes_new(body.data(), body.size())};
        soup_message_set_request_body_from_bytes(message.get(), "application/json", bytes.get());
    }
    GError* failure = nullptr;
    const bytes_handle answer{soup_session_send_and_read(session.get(), message.get(), nullptr, &failure)};
    if (failure != nullptr) {
        const g_error_pointer reason{failure};
        return {0, "", reason->message};
    }
    gsize length = 0;
    const auto* data = static_cast<const char*>(g_bytes_get_data(answer.get(), &length));
    return {soup_message_get_status(message.get()), data == nullptr ? std::string{} : std::string{data, length}, ""};
}

}  // namespace

http_answer http_get(const std::string& address, const std::string& path, unsigned timeout_s) {
    return call("GET", address, path, "", timeout_s);
}

http_answer http_put(const std::string& address, const std::string& path, const std::string& body, unsigned timeout_s) {
    return call("PUT", address, path, body, timeout_s);
}

std::vector<http_answer> http_get_all(const std::vector<std::string>& addresses, const std::string& path) {
    std::vector<http_answer> answers(addresses.size());
    std::atomic<std::size_t> next{0};
    const auto work = [&] {
        for (auto i = next.fetch_add(1); i < addresses.size(); i = next.fetch_add(1)) {
            answers[i] = http_get(addresses[i], path, host_timeout_s);
        }
    };
    std::vector<std::jthread> threads;
    for (std::size_t i = 0; i < std::min(max_threads, addresses.size()); ++i) {
        threads.emplace_back(work);
    }
    threads.clear();
    return answers;
}

}  // namespace camphorstack
