#include <array>
#include <catch2/catch.hpp>
#include <cstdio>
#include <map>
#include <memory>
#include <vector>

#include "links/run_main_loop.hpp"
#include "platform/raw_http_server.hpp"
#include "platform/store_link.hpp"

using namespace camphorstack;
using namespace camphorstack::platform_tests;
using camphorstack::tests::run_for;
using camphorstack::tests::run_until;

namespace {

/// When the server sends an answer for the second time.
enum class repetition : std::uint8_t { none, at_once, soon_after, before_next };

/// A store link and a server whose answer to each call names the call's path, as the name of its only object.
struct store_of_repetitions {
    explicit store_of_repetitions(repetition kind) : repeats(kind) {
        this->server.on_request = [this](const raw_http_request& request) { this->answer(request); };
    }

    static std::string object(const std::string& name, std::uint64_t revision) {
        return R"({"meta":{"Name":")" + name + R"(","Revision":)" + std::to_string(revision) + R"(},"spec":{"epoch":1}})";
    }

    void answer(const raw_http_request& request) {
        this->revision += 1;
        const auto path = request.head.substr(request.head.find('/'), request.head.find(" HTTP") - request.head.find('/'));
        const auto name = path.substr(path.rfind('/') + 1);
        const auto kind = name.substr(0, name.find('?'));
        const auto revision_text = R"("StoreRevision":)" + std::to_string(this->revision);
        std::string body = R"({"items":[)" + object(kind, this->revision) + R"(],"HasMore":false,)" + revision_text + "}";
        if (path.find("Watch=") != std::string::npos) {
            body = R"({"events":[{"Removed":false,"Object":)" + object(kind, this->revision) + "}]," + revision_text + "}";
        } else if (!request.head.starts_with("GET")) {
            body = object(kind, this->revision);
        }
        const auto status = path == "/promotion" ? this->promotion_answer_status : this->write_status;
        const auto response = raw_response(request.head.starts_with("GET") ? 200 : status, body);
        const auto earlier = std::exchange(this->last[request.connection], response);
        if (this->repeats == repetition::before_next) {
            this->server.send(request.connection, earlier);
        }
        this->server.send(request.connection, response);
        if (this->repeats == repetition::at_once) {
            this->server.send(request.connection, response);
        }
    }

    /// Carries out a call and returns its answer.
    catalog_answer ask(catalog_operation operation, collection collection_id, store_revision since = 0) {
        catalog_call call;
        call.id = ++this->calls;
        call.operation = operation;
        call.collection_id = collection_id;
        call.revision = since;
        const bool is_write = operation == catalog_operation::create || operation == catalog_operation::replace;
        call.name = is_write ? "members" : "";
        call.text = is_write ? R"({"epoch":1})" : "";
        this->link.carry_out(call);
        REQUIRE(run_until([&] { return this->answers.contains(call.id); }));
        this->settle();
        return this->answers.at(call.id);
    }

    promotion_status promote() {
        const auto id = ++this->calls;
        this->link.carry_out(promotion_call{id, "db", "i-1", "front-1", 4});
        REQUIRE(run_until([&] { return this->promotions.contains(id); }));
        this->settle();
        return this->promotions.at(id);
    }

    void settle() {
        if (this->repeats == repetition::soon_after) {
            for (const auto& [connection, response] : this->last) {
                this->server.send(connection, response);
            }
            this->last.clear();
            run_for(millis{20});
        }
    }

    repetition repeats;
    fd_watcher sockets;
    raw_http_server server{sockets};
    std::map<std::size_t, std::string> last;  ///< Latest answer on each connection.
    std::uint64_t revision = 100;
    unsigned write_status = 200;
    unsigned promotion_answer_status = 200;
    std::uint64_t calls = 0;
    std::map<std::uint64_t, catalog_answer> answers;
    std::map<std::uint64_t, promotion_status> promotions;
    platform::store_link link{server.address(), server.address(), millis{300}, [this](session_host_event event) {
                                  if (const auto* answer = std::get_if<catalog_answer>(&event)) {
                                      this->answers[answer->id] = *answer;
                                  } else if (const auto* promotion = std::get_if<promotion_answer>(&event)) {
                                      this->promotions[promotion->id] = promotion->status;
                                  }
                              }};
};

const std::vector<std::pair<collection, std::string>> kinds{{collection::document, "config"},
                                                            {collection::endpoints, "servers"},
                                                            {collection::evacuations, "evacuations"},
                                                            {collection::fleet, "fleet"}};

}  // namespace

TEST_CASE("a repeated answer of the store is not taken for that of another collection", "[platform][repeated-store-answers]") {
    const auto kind = GENERATE(repetition::none, repetition::at_once, repetition::soon_after, repetition::before_next);
    CAPTURE(static_cast<int>(kind));
    store_of_repetitions store(kind);
    for (int round = 0; round < 3; ++round) {
        for (const auto operation : {catalog_operation::list, catalog_operation::watch}) {
            for (const auto& [collection_id, name] : kinds) {
                const auto answer = store.ask(operation, collection_id);
                CAPTURE(round, to_string(operation), name);
                // A list and a watch of one collection have different bodies, so the answer may also count as unreadable.
                for (const auto& item : answer.items) {
                    CHECK(item.name == name);
                }
                CHECK((answer.status == catalog_status::done || kind == repetition::before_next));
            }
        }
    }
    CHECK((kind != repetition::none || store.server.connection_count() <= kinds.size()));
}

TEST_CASE("a repeated answer to a watch does not prove that nothing else has changed", "[platform][repeated-store-answers]") {
    store_of_repetitions store(repetition::before_next);
    const auto first = store.ask(catalog_operation::watch, collection::endpoints, store.revision);
    REQUIRE(first.status == catalog_status::done);
    const auto second = store.ask(catalog_operation::watch, collection::endpoints, first.revision);
    CHECK(second.status == catalog_status::no_answer);
    const auto third = store.ask(catalog_operation::watch, collection::endpoints, first.revision);
    CHECK(third.status == catalog_status::done);
    CHECK(third.revision > first.revision);
}

TEST_CASE("a repeated answer to a write or a promotion is not taken for another call's", "[platform][repeated-store-answers]") {
    const auto kind = GENERATE(repetition::at_once, repetition::soon_after, repetition::before_next);
    CAPTURE(static_cast<int>(kind));
    store_of_repetitions store(kind);
    for (int round = 0; round < 3; ++round) {
        CAPTURE(round);
        store.write_status = 200;
        CHECK(store.ask(catalog_operation::replace, collection::fleet).status == catalog_status::done);
        store.write_status = 409;
        CHECK(store.ask(catalog_operation::create, collection::fleet).status == catalog_status::conflict);
        store.promotion_answer_status = 200;
        CHECK(store.promote() == promotion_status::accepted);
        store.promotion_answer_status = 409;
        CHECK(store.promote() == promotion_status::refused);
        store.write_status = 503;
        CHECK(store.ask(catalog_operation::replace, collection::fleet).status == catalog_status::refused);
        const auto read = store.ask(catalog_operation::list, collection::endpoints);
        CHECK((read.status == catalog_status::done || kind == repetition::before_next));
        for (const auto& item : read.items) {
            CHECK(item.name == "servers");
        }
    }
}

TEST_CASE("a late or a cut answer of the store is not taken for a whole or another one", "[platform][repeated-store-answers]") {
    store_of_repetitions store(repetition::none);
    const auto whole = R"({"StoreRevision":530,"items":[)" + store_of_repetitions::object("i-1", 5) + "," +
                       store_of_repetitions::object("i-2", 6) + R"(],"HasMore":false})";

    SECTION("late") {
        std::size_t first_connection = 0;
        store.server.on_request = [&](const raw_http_request& request) {
            if (first_connection == 0) {
                first_connection = request.connection;
                return;
            }
            store.server.send(first_connection, raw_response(200, whole));
            store.answer(request);
        };
        CHECK(store.ask(catalog_operation::list, collection::endpoints).status == catalog_status::no_answer);
        store.server.send(first_connection, raw_response(200, whole));
        const auto next = store.ask(catalog_operation::list, collection::endpoints);
        REQUIRE(next.items.size() == 1);
        CHECK(next.items.front().name == "servers");
    }
    SECTION("cut") {
        const auto format = GENERATE(0, 1, 2);
        for (std::size_t size = 0; size < whole.size(); ++size) {
            const auto part = whole.substr(0, size);
            store.server.on_request = [&](const raw_http_request& request) {
                if (format == 0) {
                    const auto response = raw_response(200, whole);
                    store.server.send(request.connection, response.substr(0, response.size() - whole.size() + size));
                } else if (format == 1) {
                    std::array<char, 20> length{};
                    std::snprintf(length.data(), length.size(), "%zx", whole.size());
                    store.server.send(request.connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                                                              std::string(length.data()) + "\r\n" + part);
                } else {
                    store.server.send(request.connection, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + part);
                }
                store.server.close(request.connection);
            };
            const auto answer = store.ask(catalog_operation::list, collection::endpoints);
            CAPTURE(format, part);
            CHECK(answer.status == catalog_status::no_answer);
        }
    }
}
