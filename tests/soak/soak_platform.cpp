#include "soak/soak_platform.hpp"

#include <algorithm>
#include <array>

#include "links/run_main_loop.hpp"
#include "platform/wire_words.hpp"

namespace camphorstack::soak {

namespace {

constexpr int ports_of_host = 4;
constexpr int workspace_count = 2;
/// Time between a promotion call and the change of primary at the platform.
constexpr millis promotion_delay{300};
constexpr millis replication_interval{8};
constexpr unsigned unavailable = 503;
/// Longest time between an answer and its repetition if that comes later.
constexpr std::uint64_t max_late_ms = 400;
/// Longest time for which data of a slow instance is held before another choice is made.
constexpr std::uint64_t max_delay_ms = 40;
using repetition = platform_tests::answer_repetition;
/// `none` and the kinds that repeat whole answers.
constexpr std::uint64_t repetition_count = static_cast<std::uint64_t>(repetition::later) + 1;
constexpr std::array refusal_codes{result_code::busy, result_code::busy, result_code::lagging, result_code::failed};
/// An instance that refuses statements refuses one in this many.
constexpr std::uint64_t refusal_interval = 8;

/// Connections and slots of an instance for each caller.
constexpr int connections_per_caller = 2;
constexpr int callers_per_slot = 4;

const char* const document_text =
    R"({"Version":1,"Routes":[)"
    R"({"Name":"p","Host":"books-p","Kind":"primary","Service":"db","TimeoutMs":800,"TargetLatencyMs":300},)"
    R"({"Name":"r","Host":"books-r","Kind":"read_your_writes","Service":"db","TimeoutMs":800,"TargetLatencyMs":500,)"
    R"("MaxStalenessMs":1500}],"Services":[{"Name":"db","MaxConnections":@}],)"
    R"("Tenants":[{"Name":"soak-0","ApiKeys":["key-0"],"RatePerS":5000,"Burst":5000},)"
    R"({"Name":"soak-1","ApiKeys":["key-1"],"RatePerS":5000,"Burst":5000}]})";

/// Returns the text of a string field in JSON text. The stand-in for the store records the bodies of promotion calls without
/// parsing them.
std::string string_field(const std::string& json, const std::string& name) {
    const auto key = "\"" + name + "\":\"";
    const auto begin = json.find(key);
    return begin == std::string::npos ? ""
                                      : json.substr(begin + key.size(), json.find('"', begin + key.size()) - begin - key.size());
}

}  // namespace

soak_platform::soak_platform(const soak_config& config)
    : random(config.seed), caller_choices(config.seed), answer_choices(config.seed), slots(config.callers / callers_per_slot) {
    this->model.refuse = [this](const endpoint_id& id, const endpoint_statement& requested) {
        return this->choose_refusal(id, requested);
    };
    std::string document = document_text;
    document.replace(document.find('@'), 1, std::to_string(config.callers * connections_per_caller));
    this->store.put("config", "main", document);
    this->publish_instances();
    for (int i = 0; i < config.hosts; ++i) {
        this->store_proxies.push_back(std::make_unique<soak_proxy>(this->sockets, this->store.address()));
        this->hosts.push_back(std::make_unique<soak_host>(soak_host_config{"front-" + std::to_string(i),
                                                                           i % 2 == 0 ? "amman-a" : "irbid-a",
                                                                           config.program,
                                                                           config.folder,
                                                                           this->store_proxies.back()->address(),
                                                                           config.first_port + i * ports_of_host,
                                                                           {}}));
    }
    for (int i = 0; i < config.callers; ++i) {
        const auto workspace = std::to_string(i % workspace_count);
        this->callers.push_back(std::make_unique<soak_caller>(
            this->sockets, this->checker,
            soak_caller_config{"i" + std::to_string(i), i % 4 == 3 ? "books-r" : "books-p", "key-" + workspace,
                               "soak-" + workspace,
                               config.seed * static_cast<std::uint64_t>(config.callers) + static_cast<std::uint64_t>(i)}));
    }
}

void soak_platform::run_with_faults(millis span) {
    const auto end = this->time.now() + span;
    this->next_fault = this->time.now();
    tests::run_until(
        [this, end] {
            this->tick();
            const auto now = this->time.now();
            this->end_faults(now, false);
            if (now >= this->next_fault) {
                this->inject_fault(now);
                this->next_fault = now + this->random_span(300, 2500);
            }
            return now >= end;
        },
        span * 2);
}

bool soak_platform::recovers_within(millis limit) {
    this->end_faults(this->time.now(), true);
    std::vector<std::size_t> before;
    for (const auto& caller : this->callers) {
        before.push_back(caller->successes());
    }
    // Two statements, because the first one may have been answered before the faults ended.
    constexpr std::size_t wanted = 2;
    const auto is_served = [&](std::size_t i) { return this->callers[i]->successes() >= before[i] + wanted; };
    const bool all_served = tests::run_until(
        [&] {
            this->tick();
            for (std::size_t i = 0; i < before.size(); ++i) {
                if (!is_served(i)) {
                    return false;
                }
            }
            return true;
        },
        limit);
    for (std::size_t i = 0; i < before.size(); ++i) {
        if (!is_served(i)) {
            this->unserved_callers.push_back(this->callers[i]->describe());
        }
    }
    return all_served;
}

std::vector<std::string> soak_platform::violations() const {
    auto all = this->checker.violations();
    all.insert(all.end(), this->fence_violations.begin(), this->fence_violations.end());
    for (const auto& host : this->hosts) {
        if (host->unexpected_ends() > 0) {
            all.push_back(host->id() + ": exited unexpectedly " + std::to_string(host->unexpected_ends()) + " times");
        }
    }
    return all;
}

void soak_platform::tick() {
    const auto now = this->time.now();
    this->checker.observe();
    this->process_promotions(now);
    this->disturb_answers(now);
    if (now >= this->next_replication) {
        this->next_replication = now + replication_interval;
        this->model.replicate({});
    }
    for (const auto& host : this->hosts) {
        host->tick(now);
    }
    for (const auto& caller : this->callers) {
        caller->tick(this->random_host(this->caller_choices).callers_address(), now);
    }
}

void soak_platform::inject_fault(instant now) {
    // Starts with answers that are repeated, so that also a short run has them.
    const auto kind = this->fault_log.empty() ? fault::stutter : static_cast<fault>(this->random() % fault_count);
    std::string what;
    switch (kind) {
        case fault::kill_host: {
            auto& host = this->random_host(this->random);
            host.kill();
            what = "kill " + host.id();
            break;
        }
        case fault::stop_host: {
            auto& host = this->random_host(this->random);
            host.terminate();
            what = "stop " + host.id();
            break;
        }
        case fault::pause_host: {
            auto& host = this->random_host(this->random);
            const auto span = this->random_span(100, 4000);
            host.pause(now + span);
            what = "pause " + host.id() + " ms=" + std::to_string(span.count);
            break;
        }
        case fault::refuse_store:
        case fault::silence_store: {
            const auto span = this->random_span(300, 5000);
            this->store.forced_status = kind == fault::refuse_store ? unavailable : 0;
            this->store.is_silent = kind == fault::silence_store;
            this->store_faulty_until = now + span;
            what = (kind == fault::refuse_store ? "refuse calls to the store ms=" : "withhold answers of the store ms=") +
                   std::to_string(span.count);
            break;
        }
        case fault::silence_primary: {
            const auto span = this->random_span(200, 3000);
            const auto id = this->model.primary().entry.id;
            this->instance(id).drops_replies = true;
            this->primary_silent_until = now + span;
            what = "drop replies of " + id + " ms=" + std::to_string(span.count);
            break;
        }
        case fault::drain_primary: {
            this->draining = this->model.primary().entry.id;
            this->draining_until = now + this->random_span(2000, 4000);
            this->publish_instances();
            what = "drain " + this->draining;
            break;
        }
        case fault::kill_all:
            for (const auto& host : this->hosts) {
                host->kill();
            }
            what = "kill all";
            break;
        case fault::hold_instance:
        case fault::hold_store: {
            const bool of_store = kind == fault::hold_store;
            const auto span = this->random_span(50, 4000);
            what = (of_store ? "store link of a host: " : "link to an instance: ") +
                   this->hold(of_store ? this->random_store_proxy() : this->random_instance_proxy(), now + span) +
                   " ms=" + std::to_string(span.count);
            break;
        }
        case fault::reset_instance:
            this->random_instance_proxy().reset_all();
            what = "reset connections to an instance";
            break;
        case fault::reset_store:
            this->random_store_proxy().reset_all();
            what = "reset a host's connections to the store";
            break;
        case fault::stutter: {
            const auto id = this->fault_log.empty() ? this->model.primary().entry.id : this->random_instance();
            const auto way = static_cast<repetition>(this->random() % repetition_count);
            const auto span = this->random_span(500, 4000);
            this->stutters[id] = {way, now + span};
            what = id + " repeats answers, kind=" + std::to_string(static_cast<int>(way)) + " ms=" + std::to_string(span.count);
            // Repetitions do most harm where an answer is awaited for long, and where that answer is a refusal.
            what += this->random() % 2 == 0 ? ", " + this->start_delaying(id, now) : "";
            what += this->random() % 2 == 0 ? ", " + this->start_refusing(id, now) : "";
            break;
        }
        case fault::refuse_statements:
            what = this->start_refusing(this->random_instance(), now);
            break;
        case fault::slow_instance:
            what = this->start_delaying(this->random_instance(), now);
            break;
        case fault::cut_answers: {
            const auto span = this->random_span(50, 500);
            this->cutting = this->random_instance();
            this->cutting_until = now + span;
            what = this->cutting + " cuts answers ms=" + std::to_string(span.count);
            break;
        }
    }
    this->fault_log.push_back("t=" + std::to_string(now.since_start) + " " + what);
}

void soak_platform::end_faults(instant now, bool all) {
    if (all || now >= this->store_faulty_until) {
        this->store.forced_status = 0;
        this->store.is_silent = false;
    }
    if (all || now >= this->primary_silent_until) {
        this->first_instance.drops_replies = false;
        this->second_instance.drops_replies = false;
    }
    std::erase_if(this->hold_ends, [&](const auto& item) {
        const bool over = all || now >= item.second;
        if (over) {
            item.first->release();
        }
        return over;
    });
    std::erase_if(this->stutters, [&](const auto& item) { return all || now >= item.second.until; });
    if (all || now >= this->refusing_until) {
        this->refusing.clear();
    }
    if (!this->slow.empty() && (all || now >= this->slow_until)) {
        if (!this->hold_ends.contains(&this->instance_proxy(this->slow))) {
            this->instance_proxy(this->slow).release();
        }
        this->slow.clear();
    }
    if (all || now >= this->cutting_until) {
        this->cutting.clear();
    }
    if (!this->draining.empty() && (all || now >= this->draining_until)) {
        this->draining.clear();
        this->publish_instances();
    }
}

void soak_platform::disturb_answers(instant now) {
    for (const auto& [id, known] : this->model.instances) {
        auto& disturbed = this->instance(id);
        disturbed.cuts_answers = this->cutting == id && this->answer_choices() % 4 == 0;
        const auto found = this->stutters.find(id);
        disturbed.repetition = found == this->stutters.end() ? repetition::none
                               : found->second.kind == repetition::none
                                   ? static_cast<repetition>(this->answer_choices() % repetition_count)
                                   : found->second.kind;
        if (now >= this->next_late_answers) {
            disturbed.repeat_late();
        }
    }
    if (!this->slow.empty() && !this->hold_ends.contains(&this->instance_proxy(this->slow)) && now >= this->next_delay) {
        this->instance_proxy(this->slow).hold(this->answer_choices() % 2 != 0, this->answer_choices() % 2 != 0);
        this->next_delay = now + millis{static_cast<std::int64_t>(this->answer_choices() % max_delay_ms)};
    }
    if (now >= this->next_late_answers) {
        this->next_late_answers = now + millis{static_cast<std::int64_t>(this->answer_choices() % max_late_ms)};
    }
}

std::string soak_platform::start_refusing(const endpoint_id& id, instant now) {
    const auto span = this->random_span(300, 3000);
    this->refusing = id;
    this->refusal = refusal_codes[this->random() % refusal_codes.size()];
    this->refusing_until = now + span;
    return id + " answers statements with " + to_string(this->refusal) + " ms=" + std::to_string(span.count);
}

std::string soak_platform::start_delaying(const endpoint_id& id, instant now) {
    const auto span = this->random_span(500, 4000);
    if (!this->slow.empty() && !this->hold_ends.contains(&this->instance_proxy(this->slow))) {
        this->instance_proxy(this->slow).release();
    }
    this->slow = id;
    this->slow_until = now + span;
    return id + " is slow ms=" + std::to_string(span.count);
}

std::optional<result_code> soak_platform::choose_refusal(const endpoint_id& id, const endpoint_statement& requested) {
    if (id != this->refusing || this->answer_choices() % refusal_interval != 0) {
        return std::nullopt;
    }
    const bool is_statement = requested.command == endpoint_command::statement || requested.command == endpoint_command::execute;
    const bool is_begin = requested.command == endpoint_command::begin || requested.command == endpoint_command::begin_read_only;
    const bool is_possible = this->refusal == result_code::failed ? is_statement
                             : this->refusal == result_code::lagging
                                 ? requested.after.has_value()
                                 : is_statement || is_begin || requested.command == endpoint_command::status;
    return is_possible ? std::optional(this->refusal) : std::nullopt;
}

std::string soak_platform::hold(soak_proxy& proxy, instant until) {
    const auto which = this->random() % 3;
    proxy.hold(which != 1, which != 0);
    this->hold_ends[&proxy] = until;
    return which == 0 ? "requests held" : which == 1 ? "answers held" : "requests and answers held";
}

void soak_platform::process_promotions(instant now) {
    for (; this->seen_promotions < this->store.promotions.size(); ++this->seen_promotions) {
        const std::string_view call = this->store.promotions[this->seen_promotions];
        auto rest = call;
        const std::string holder(platform::take_word(rest));
        const std::uint64_t fence = std::stoull(std::string(platform::take_word(rest)));
        if (fence < this->highest_fence || (fence == this->highest_fence && holder != this->last_holder)) {
            this->fence_violations.push_back(holder + ": promoted with fence " + std::to_string(fence) + " after " +
                                             this->last_holder + " with " + std::to_string(this->highest_fence));
        }
        this->highest_fence = std::max(this->highest_fence, fence);
        this->last_holder = holder;
        this->pending_promotions.push_back({string_field(std::string(rest), "Id"), now + promotion_delay});
    }
    while (!this->pending_promotions.empty() && now >= this->pending_promotions.front().at) {
        this->promote(this->pending_promotions.front().target);
        this->pending_promotions.erase(this->pending_promotions.begin());
    }
}

void soak_platform::promote(const endpoint_id& id) {
    if (!this->model.instances.contains(id) || this->model.primary().entry.id == id) {
        return;
    }
    this->checker.observe();
    this->model.promote(id);
    std::map<std::string, int> log_values;
    for (const auto& entry : this->model.instances.at(id).log) {
        for (const auto& [item, data] : entry.writes) {
            log_values[item] = std::stoi(data);
        }
    }
    for (const auto& caller : this->callers) {
        caller->lower_expected_value(log_values[caller->item()]);
    }
    this->publish_instances();
}

void soak_platform::publish_instances() {
    for (auto* instance : {&this->first_instance, &this->second_instance}) {
        const endpoint_id id = instance == &this->first_instance ? "db-0" : "db-1";
        const auto& known = this->model.instances.at(id);
        const bool is_primary = this->model.primary().entry.id == id;
        this->store.put("servers", id,
                        R"({"Service":"db","Address":")" + (id == "db-0" ? this->first_proxy : this->second_proxy).address() +
                            R"(","Zone":")" + known.entry.location + R"(","State":")" +
                            (this->draining == id ? "draining" : "ready") + R"(","Version":"v1","Slots":)" +
                            std::to_string(this->slots) + R"(,"ColdRemainingMs":0,"Sequence":1,"DatabaseRole":")" +
                            (is_primary ? "primary" : "replica") + R"("})");
    }
}

platform_tests::wire_instance& soak_platform::instance(const endpoint_id& id) {
    return id == "db-0" ? this->first_instance : this->second_instance;
}

}  // namespace camphorstack::soak
