#include "camphorstack/links/pg_connection.hpp"

#include <array>
#include <utility>

#include "camphorstack/support/errors.hpp"

namespace camphorstack {

namespace {

void ignore_notice(void* /*context*/, const PGresult* /*notice*/) {}

PGconn* start_connecting(const std::string& address, const std::string& user) {
    const auto colon = address.rfind(':');
    const std::string host = address.substr(0, colon);
    const std::string port = colon == std::string::npos ? std::string() : address.substr(colon + 1);
    const std::array<const char*, 9> keywords{
        "hostaddr", "port", "user", "dbname", "sslmode", "gssencmode", "client_encoding", "application_name", nullptr};
    const std::array<const char*, 9> values{host.c_str(), port.c_str(), user.c_str(),   "camphorstack", "disable",
                                            "disable",    "UTF8",       "camphorstack", nullptr};
    return PQconnectStartParams(keywords.data(), values.data(), 0);
}

}  // namespace

pg_connection::pg_connection(const std::string& address, const std::string& user, fd_watcher& shared_watcher,
                             pg_connection_events handlers)
    : watcher(shared_watcher),
      events(std::make_shared<const pg_connection_events>(std::move(handlers))),
      connection(start_connecting(address, user)) {
    if (!this->connection || PQstatus(this->connection.get()) == CONNECTION_BAD) {
        this->fail_later();
        return;
    }
    PQsetNoticeReceiver(this->connection.get(), &ignore_notice, nullptr);
    this->watch();
}

pg_connection::~pg_connection() {
    this->unwatch();
}

void pg_connection::send(const std::string& query) {
    if (this->current != phase::idle || PQsendQuery(this->connection.get(), query.c_str()) == 0) {
        this->fail_later();
        return;
    }
    this->current = phase::waiting;
    // A failure to flush shows up as an unreadable socket, so it is reported from the main loop.
    this->watcher.watch_writable(this->watched_descriptor, PQflush(this->connection.get()) != 0);
}

std::string pg_connection::literal(const std::string& text) const {
    if (text.find('\0') != std::string::npos) {
        throw format_error("a null character cannot be sent to a database");
    }
    char* escaped = PQescapeLiteral(this->connection.get(), text.data(), text.size());
    if (escaped == nullptr) {
        throw format_error("text that is not UTF-8 cannot be sent to a database");
    }
    std::string result(escaped);
    PQfreemem(escaped);
    return result;
}

void pg_connection::watch() {
    this->watched_descriptor = PQsocket(this->connection.get());
    this->watcher.add(this->watched_descriptor, [this](fd_readiness readiness) { this->on_ready(readiness); });
    this->watcher.watch_writable(this->watched_descriptor,
                                 this->current == phase::connecting && this->polling_status == PGRES_POLLING_WRITING);
}

void pg_connection::unwatch() {
    if (const int descriptor = std::exchange(this->watched_descriptor, -1); descriptor >= 0) {
        this->watcher.remove(descriptor);
    }
}

void pg_connection::on_ready(fd_readiness readiness) {
    switch (this->current) {
        case phase::connecting:
            if (this->polling_status == PGRES_POLLING_WRITING ? readiness.writable : readiness.readable) {
                this->poll_connecting();
            }
            break;
        case phase::idle:
            this->fail();
            break;
        case phase::waiting:
            if (readiness.writable) {
                this->watcher.watch_writable(this->watched_descriptor, PQflush(this->connection.get()) > 0);
            }
            if (readiness.readable) {
                this->read_answer();
            }
            break;
        case phase::closed:
            break;
    }
}

void pg_connection::poll_connecting() {
    // libpq may replace its socket in a step, so the old one is not watched during the step.
    this->unwatch();
    this->polling_status = PQconnectPoll(this->connection.get());
    if (this->polling_status == PGRES_POLLING_FAILED) {
        this->fail();
        return;
    }
    if (this->polling_status != PGRES_POLLING_OK) {
        this->watch();
        return;
    }
    PQsetnonblocking(this->connection.get(), 1);
    this->current = phase::idle;
    this->watch();
    const auto handlers = this->events;
    handlers->connected();
}

void pg_connection::read_answer() {
    if (PQconsumeInput(this->connection.get()) == 0) {
        this->fail();
        return;
    }
    // The answer ends with a null result. The rows alone must not count, since an error or more rows may follow them.
    while (PQisBusy(this->connection.get()) == 0) {
        pg_result next(PQgetResult(this->connection.get()));
        if (!next) {
            this->finish_answer();
            return;
        }
        if (this->rows || PQresultStatus(next.get()) != PGRES_TUPLES_OK) {
            this->fail();
            return;
        }
        this->rows = std::move(next);
    }
}

void pg_connection::finish_answer() {
    const pg_result answer = std::move(this->rows);
    if (!answer) {
        this->fail();
        return;
    }
    this->current = phase::idle;
    this->watcher.watch_writable(this->watched_descriptor, false);
    const auto handlers = this->events;
    handlers->answered(*answer);
}

void pg_connection::fail() {
    this->unwatch();
    this->current = phase::closed;
    this->connection.reset();
    const auto handlers = this->events;
    handlers->closed();
}

void pg_connection::fail_later() {
    this->current = phase::closed;
    this->unwatch();
    this->deferred.post([this] { this->fail(); });
}

}  // namespace camphorstack
