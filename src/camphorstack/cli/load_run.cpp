#include "camphorstack/cli/load_run.hpp"

#include <glib.h>

#include <deque>
#include <memory>
#include <utility>

#include "camphorstack/cli/load_session.hpp"
#include "camphorstack/support/g_pointer.hpp"

namespace camphorstack {

namespace {

constexpr std::int64_t us_per_s = 1'000'000;
constexpr guint pacing_interval_ms = 1;
/// Pause of a session after a request that was not done, such as a refused one, so that a closed loop does not spin.
constexpr guint refusal_backoff_ms = 5;
/// Repetitions of the final read of a counter, each after a pause; a fleet that serves nothing for longer has failed.
constexpr int final_read_attempts = 100;
constexpr guint final_read_retry_ms = 100;

/// Schedule of the requests of one workspace that has an offered rate.
struct pacer {
    std::int64_t next_us = 0;         ///< Due time of the next request.
    std::deque<std::int64_t> due_us;  ///< Due times of requests that wait for a free session.
};

class load_runner {
public:
    load_runner(const load_plan& offered, load_transport& carrier);

    load_measures run();

private:
    struct slot {
        load_session session;
        std::size_t workspace = 0;
        bool is_busy = false;
    };

    static gboolean on_pace(gpointer self);

    void pace();
    void start(slot& free, std::int64_t due_us);
    void finish_request(slot& used, std::int64_t due_us, const load_request& request, const load_answer& answer);
    void read_final_values(slot& free, std::size_t database, int attempts_left);
    void check(slot& used, const load_answer& answer);
    void run_after(guint ms, std::function<void()> then);
    [[nodiscard]] bool is_over() const;
    [[nodiscard]] bool is_paced(const slot& used) const { return this->plan.workspaces[used.workspace].rate_per_s > 0; }

    const load_plan& plan;
    load_transport& transport;
    random_source random;
    monotonic_clock time;
    instant end;
    std::uint64_t started_requests = 0;
    std::size_t pending = 0;  ///< Requests and delayed calls that have not ended.
    std::deque<slot> slots;
    std::vector<pacer> pacers;
    load_measures measures;
};

std::string make_run_id(random_source& random) {
    // Differs for each run, so that counters of an earlier run with the same seed are not used again.
    return std::to_string(random() % us_per_s) + "-" + std::to_string(g_get_real_time());
}

load_runner::load_runner(const load_plan& offered, load_transport& carrier)
    : plan(offered), transport(carrier), random(offered.seed), pacers(offered.workspaces.size()) {
    const auto run_id = make_run_id(this->random);
    for (std::size_t workspace = 0; workspace < this->plan.workspaces.size(); ++workspace) {
        for (std::size_t i = 0; i < this->plan.sessions; ++i) {
            this->slots.push_back(
                {load_session(this->plan, this->plan.workspaces[workspace], this->slots.size(), run_id), workspace, false});
        }
    }
}

bool load_runner::is_over() const {
    return this->time.now() >= this->end || (this->plan.max_requests != 0 && this->started_requests >= this->plan.max_requests);
}

load_measures load_runner::run() {
    const auto now = this->time.now();
    this->end = now + this->plan.duration;
    this->measures = start_measures(this->plan, now);
    for (auto& pacer : this->pacers) {
        pacer.next_us = g_get_monotonic_time();
    }
    {
        const g_source_handle pacing(g_timeout_add(pacing_interval_ms, &load_runner::on_pace, this));
        while (!this->is_over()) {
            g_main_context_iteration(nullptr, TRUE);
        }
    }
    end_measures(this->measures, this->time.now());
    while (this->pending > 0) {
        g_main_context_iteration(nullptr, TRUE);
    }
    for (auto& each : this->slots) {
        this->read_final_values(each, 0, final_read_attempts);
    }
    while (this->pending > 0) {
        g_main_context_iteration(nullptr, TRUE);
    }
    return std::move(this->measures);
}

gboolean load_runner::on_pace(gpointer self) {
    static_cast<load_runner*>(self)->pace();
    return G_SOURCE_CONTINUE;
}

void load_runner::pace() {
    if (this->is_over()) {
        return;
    }
    const auto now_us = g_get_monotonic_time();
    for (std::size_t i = 0; i < this->pacers.size(); ++i) {
        const double rate = this->plan.workspaces[i].rate_per_s;
        while (rate > 0 && this->pacers[i].next_us <= now_us) {
            this->pacers[i].due_us.push_back(this->pacers[i].next_us);
            this->pacers[i].next_us += static_cast<std::int64_t>(static_cast<double>(us_per_s) / rate);
        }
    }
    for (auto& each : this->slots) {
        auto& due = this->pacers[each.workspace].due_us;
        if (each.is_busy || (this->is_paced(each) && due.empty())) {
            continue;
        }
        const auto due_us = this->is_paced(each) ? due.front() : now_us;
        if (this->is_paced(each)) {
            due.pop_front();
        }
        this->start(each, due_us);
    }
}

void load_runner::start(slot& free, std::int64_t due_us) {
    free.is_busy = true;
    ++this->pending;
    ++this->started_requests;
    const auto request = free.session.next(this->random, this->time.now());
    this->transport.send(request, [this, &free, due_us, request](const load_answer& answer) {
        this->finish_request(free, due_us, request, answer);
    });
}

void load_runner::finish_request(slot& used, std::int64_t due_us, const load_request& request, const load_answer& answer) {
    --this->pending;
    const auto latency_us = g_get_monotonic_time() - due_us;
    record_answer(this->measures, this->plan, used.session.workspace().id, request, answer, latency_us, this->time.now());
    this->check(used, answer);
    auto& due = this->pacers[used.workspace].due_us;
    if (answer.outcome != request_outcome::done) {
        this->run_after(refusal_backoff_ms, [&used] { used.is_busy = false; });
    } else if (this->is_over() || (this->is_paced(used) && due.empty())) {
        used.is_busy = false;
    } else if (this->is_paced(used)) {
        const auto next_us = due.front();
        due.pop_front();
        this->start(used, next_us);
    } else {
        this->start(used, g_get_monotonic_time());
    }
}

void load_runner::check(slot& used, const load_answer& answer) {
    if (auto violation = used.session.receive(answer, this->time.now())) {
        this->measures.violations.push_back(std::move(*violation));
    }
}

void load_runner::read_final_values(slot& free, std::size_t database, int attempts_left) {
    if (database == this->plan.databases.size()) {
        return;
    }
    ++this->pending;
    const auto request = free.session.read_counter(this->plan.databases[database], this->random, this->time.now());
    this->transport.send(request, [this, &free, database, attempts_left](const load_answer& answer) {
        --this->pending;
        if (answer.outcome == request_outcome::done) {
            this->check(free, answer);
            this->read_final_values(free, database + 1, final_read_attempts);
        } else if (attempts_left == 0) {
            this->measures.violations.push_back("database=" + this->plan.databases[database] + " cannot be read after the load");
        } else {
            this->run_after(final_read_retry_ms, [this, &free, database, attempts_left] {
                this->read_final_values(free, database, attempts_left - 1);
            });
        }
    });
}

struct delayed_call {
    std::size_t* pending = nullptr;
    std::function<void()> then;
};

void load_runner::run_after(guint ms, std::function<void()> then) {
    ++this->pending;
    g_timeout_add(
        ms,
        [](gpointer data) -> gboolean {
            const std::unique_ptr<delayed_call> ended(static_cast<delayed_call*>(data));
            --*ended->pending;
            ended->then();
            return G_SOURCE_REMOVE;
        },
        new delayed_call{&this->pending, std::move(then)});
}

}  // namespace

load_measures offer_load(const load_plan& plan, load_transport& transport) {
    return load_runner(plan, transport).run();
}

}  // namespace camphorstack
