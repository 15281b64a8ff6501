#include "camphorstack/workspaces/fair_queue.hpp"

#include <catch2/catch.hpp>

using namespace camphorstack;

namespace {

waiting_request make(const std::string& workspace, const std::string& id, std::int64_t deadline = 100) {
    waiting_request item;
    item.request.workspace = workspace;
    item.request.id = id;
    item.deadline = instant{deadline};
    return item;
}

std::string pop_all(fair_queue& queue) {
    std::string order;
    while (const auto item = pop_request(queue, [](const auto&) { return true; })) {
        order += item->request.id + " ";
    }
    return order;
}

}  // namespace

TEST_CASE("workspaces take turns however many requests each has queued", "[queue][fair-share]") {
    fair_queue queue;
    for (const auto* id : {"a1", "a2", "a3", "a4"}) {
        REQUIRE(push_request(queue, make("a", id)));
    }
    REQUIRE(push_request(queue, make("b", "b1")));
    REQUIRE(push_request(queue, make("c", "c1")));
    CHECK(pop_all(queue) == "a1 b1 c1 a2 a3 a4 ");
    CHECK(queued_requests(queue) == 0);
}

TEST_CASE("a full workspace queue refuses requests without an effect on other workspaces", "[queue][fair-share]") {
    fair_queue queue;
    queue.limit_per_workspace = 2;
    CHECK(push_request(queue, make("a", "a1")));
    CHECK(push_request(queue, make("a", "a2")));
    CHECK_FALSE(push_request(queue, make("a", "a3")));
    CHECK(push_request(queue, make("b", "b1")));
    CHECK(queued_requests(queue) == 3);
}

TEST_CASE("a request that cannot run does not block later ones", "[queue]") {
    fair_queue queue;
    push_request(queue, make("a", "a1"));
    push_request(queue, make("a", "a2"));
    const auto item = pop_request(queue, [](const auto& waiting) { return waiting.request.id == "a2"; });
    REQUIRE(item);
    CHECK(pop_all(queue) == "a1 ");
}

TEST_CASE("a request that is put back comes first and its workspace keeps one turn", "[queue]") {
    fair_queue queue;
    push_request(queue, make("a", "a1"));
    push_request(queue, make("a", "a2"));
    auto item = pop_request(queue, [](const auto&) { return true; });
    requeue_request(queue, *item);
    CHECK(queue.round_robin.size() == 1);
    CHECK(pop_all(queue) == "a1 a2 ");
    requeue_request(queue, *item);
    CHECK(pop_all(queue) == "a1 ");
}

TEST_CASE("expired requests leave the queue and empty workspaces lose their turn", "[queue]") {
    fair_queue queue;
    push_request(queue, make("a", "a1", 10));
    push_request(queue, make("b", "b1", 10));
    push_request(queue, make("b", "b2", 50));
    const auto expired = pop_expired(queue, instant{10});
    CHECK(expired.size() == 2);
    CHECK(queue.round_robin.size() == 1);
    CHECK(pop_all(queue) == "b2 ");
}
