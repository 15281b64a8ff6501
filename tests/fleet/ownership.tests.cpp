#include <catch2/catch.hpp>
#include <map>

#include "fleet/fleet.hpp"
#include "fleet/session_workload.hpp"

using namespace camphorstack;
using namespace camphorstack::fleet_tests;
using namespace camphorstack::literals;

namespace {

/// Outcomes of all steps that were not done, by text.
using failed_steps = std::map<std::string, int>;

/// One transaction of two statements with pauses between its steps.
struct paced_transaction {
    fleet& subject;
    const std::vector<host_id>& balanced_hosts;
    random_source& random;
    failed_steps& failed;
    int number;
    std::string token;

    void begin() {
        this->step(request_kind::begin, "", millis{0}, [this](const caller_reply& reply) {
            this->token = reply.transaction_token;
            this->step(request_kind::statement, "ADD first" + std::to_string(this->number) + " 1", 100_ms,
                       [this](const caller_reply&) {
                           this->step(request_kind::statement, "ADD second" + std::to_string(this->number) + " 1", 200_ms,
                                      [this](const caller_reply&) {
                                          this->step(request_kind::commit, "", millis{0}, [](const caller_reply&) {});
                                      });
                       });
        });
    }

    void step(request_kind kind, const std::string& text, millis pause, std::function<void(const caller_reply&)> next) {
        this->subject.schedule(pause, [this, kind, text, next] {
            auto request = this->subject.request(this->number % 8, 0, kind, text);
            request.transaction_token = this->token;
            this->subject.call(this->balanced_hosts[this->random() % this->balanced_hosts.size()], request,
                               [this, kind, next](const caller_reply& reply) {
                                   if (reply.outcome == request_outcome::done) {
                                       next(reply);
                                   } else {
                                       ++this->failed[std::string(to_string(kind)) + " " + to_string(reply.outcome) + " " +
                                                      to_string(reply.reason)];
                                   }
                               });
        });
    }
};

}  // namespace

TEST_CASE("all hosts agree on the owners although their settings describe a seed wrongly", "[owners][fleet]") {
    // The fleet's seeds come without a data centre, which weighs in the choice of owners.
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        INFO("seed " << seed);
        fleet subject(authority_options(seed));
        wait_until_ready(subject, 3);
        std::map<database_id, std::set<host_id>> owners;
        for (const auto& host : subject.live_hosts()) {
            for (const auto& database : subject.report_of(host).databases) {
                owners[database.id].insert(database.owner);
            }
        }
        for (const auto& [database, chosen] : owners) {
            INFO(database);
            CHECK(chosen.size() == 1);
        }
    }
}

TEST_CASE("open transactions end in peace while their data centre or owner leaves",
          "[data-centre-out][graceful-shutdown][transaction-isolation][fleet]") {
    const bool data_centre = GENERATE(true, false);
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        INFO((data_centre ? "data centre" : "owner") << " leaves, seed " << seed);
        fleet subject(authority_options(seed));
        wait_until_ready(subject, 3);
        random_source random(seed);
        failed_steps failed;
        std::vector<host_id> balanced_hosts = subject.live_hosts();
        std::vector<std::unique_ptr<paced_transaction>> transactions;
        for (int number = 0; number < 50; ++number) {
            transactions.push_back(
                std::make_unique<paced_transaction>(paced_transaction{subject, balanced_hosts, random, failed, number, ""}));
            subject.schedule(millis{number * 150}, [&each = *transactions.back()] { each.begin(); });
        }
        subject.run_for(1_s);
        if (data_centre) {
            const auto primary = subject.primary_of(0);
            const std::map<char, std::string> location{{'a', "amman-a"}, {'b', "irbid-a"}, {'c', "aqaba-a"}};
            subject.apply("data_centres", subject.data_centres_section(location.at(primary.back())));
        } else {
            const auto owner = subject.owner_of_database(0);
            std::erase(balanced_hosts, owner);
            subject.stop(owner);
        }
        subject.run_for(12_s);
        std::string text;
        for (const auto& [step, count] : failed) {
            text += step + " " + std::to_string(count) + "; ";
        }
        INFO(text);
        CHECK(failed.empty());
    }
}
