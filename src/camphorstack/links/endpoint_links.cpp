#include "camphorstack/links/endpoint_links.hpp"

#include <map>
#include <optional>
#include <utility>

#include "camphorstack/links/endpoint_sql.hpp"
#include "camphorstack/links/pg_connection.hpp"
#include "camphorstack/support/errors.hpp"

namespace camphorstack {

namespace {

/// Name under which hosts log in to instances.
constexpr const char* login_user = "camphorstack";

struct endpoint_link {
    std::unique_ptr<pg_connection> connection;
    endpoint_call call;  ///< The last one sent.
};

}  // namespace

struct endpoint_links::state {
    explicit state(event_sink target) : sink(std::move(target)) {}

    void on_answered(connection_id id, const PGresult& rows);
    void on_closed(connection_id id);

    event_sink sink;
    fd_watcher watcher;
    std::map<connection_id, endpoint_link> links;
    deferred_calls deferred;
};

void endpoint_links::state::on_answered(connection_id id, const PGresult& rows) {
    std::optional<endpoint_answer> answer;
    try {
        answer = to_answer(rows, this->links.at(id).call);
    } catch (const format_error&) {
        this->on_closed(id);
        return;
    }
    this->sink(endpoint_answered{id, *answer});
}

void endpoint_links::state::on_closed(connection_id id) {
    if (this->links.erase(id) != 0) {
        this->sink(endpoint_closed{id});
    }
}

endpoint_links::endpoint_links(event_sink sink) : impl(std::make_unique<state>(std::move(sink))) {}

endpoint_links::~endpoint_links() = default;

void endpoint_links::open(const open_connection& action) {
    auto* const owner = this->impl.get();
    const connection_id id = action.connection;
    pg_connection_events events{[owner, id] { owner->sink(endpoint_connected{id}); },
                                [owner, id](const PGresult& rows) { owner->on_answered(id, rows); },
                                [owner, id] { owner->on_closed(id); }};
    owner->links[id].connection = std::make_unique<pg_connection>(action.address, login_user, owner->watcher, std::move(events));
}

void endpoint_links::close(connection_id connection) {
    this->impl->links.erase(connection);
}

void endpoint_links::send(const send_call& action) {
    auto* const owner = this->impl.get();
    const connection_id id = action.connection;
    const auto found = owner->links.find(id);
    if (found == owner->links.end()) {
        // The connection broke before the action arrived; its `endpoint_closed` is on the way or was delivered.
        return;
    }
    auto& link = found->second;
    link.call = action.call;
    try {
        link.connection->send(to_query(action.call, [&](const std::string& text) { return link.connection->literal(text); }));
    } catch (const format_error&) {
        owner->deferred.post([owner, id] { owner->on_closed(id); });
    }
}

}  // namespace camphorstack
