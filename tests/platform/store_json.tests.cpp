#include <catch2/catch.hpp>
#include <random>

#include "camphorstack/support/errors.hpp"
#include "platform/store_json.hpp"
#include "support/mutation.hpp"

using namespace camphorstack;
using namespace camphorstack::platform;

namespace {

const std::string document_spec =
    R"({"Version":7,"Routes":[{"Name":"r-1","Host":"xapu221","PathPrefix":"/","Kind":"bounded_staleness","TimeoutMs":1500,)"
    R"("TargetLatencyMs":600,"Priority":2,"Service":"huvo11a","MaxAttempts":2,"MaxStalenessMs":1500,"Public":false,)"
    R"("AllowedRegions":["amman"]},{"Name":"r-2","Host":"open1","Kind":"primary","Service":"huvo11a","Public":true}],)"
    R"("Services":[{"Name":"huvo11a","MaxConnections":16,"SyncReplicas":1}],"Limits":{"TransactionIdleMs":3000},)"
    R"("Tenants":[{"Name":"nypu920","ApiKeys":["secret-key"],"RatePerS":132,"Burst":130,"AllowedRegions":[]}]})";
const std::string endpoint_spec =
    R"({"Service":"huvo11a","Address":"10.128.0.9:8080","Zone":"amman-a","Version":"v1","Slots":2,"State":"ready",)"
    R"("ColdRemainingMs":40,"DatabaseRole":"replica","Sequence":4})";

std::string object(const std::string& name, std::uint64_t revision, const std::string& spec) {
    return R"({"meta":{"Name":")" + name + R"(","Revision":)" + std::to_string(revision) + R"(},"spec":)" + spec +
           R"(,"status":null})";
}

std::string list(const std::string& items) {
    return R"({"items":[)" + items + R"(],"HasMore":false,"StoreRevision":530})";
}

catalog_call call_of(collection collection_id, catalog_operation operation) {
    catalog_call call;
    call.id = 5;
    call.collection_id = collection_id;
    call.operation = operation;
    return call;
}

catalog_content content_of(collection collection_id, const std::string& spec) {
    const auto* name = collection_id == collection::document ? "main" : "name";
    return read_store_answer(call_of(collection_id, catalog_operation::list), 200, list(object(name, 3, spec)))
        .items.at(0)
        .content;
}

/// Reads a document with the given fields besides its version and one valid route.
catalog_item read_document_with(const std::string& fields) {
    const auto spec = R"({"Version":7,"Routes":[{"Name":"a","Host":"b","Kind":"primary","Service":"c"}],)" + fields + "}";
    return read_store_answer(call_of(collection::document, catalog_operation::list), 200, list(object("main", 3, spec)))
        .items.at(0);
}

const document& document_of(const catalog_item& item) {
    REQUIRE(std::holds_alternative<std::shared_ptr<const document>>(item.content));
    return *std::get<std::shared_ptr<const document>>(item.content);
}

std::string endpoint_with(const std::string& field, const std::string& value) {
    auto spec = endpoint_spec;
    const auto start = spec.find("\"" + field + "\":") + field.size() + 3;
    const auto end = spec.find_first_of(",}", start);
    return spec.replace(start, end - start, value);
}

std::string endpoint_without(const std::string& field) {
    auto spec = endpoint_spec;
    const auto start = spec.find("\"" + field + "\":");
    return spec.replace(start, field.size() + 2, "\"X" + field + "\"");
}

}  // namespace

TEST_CASE("the platform's document is read and its keys are hashed", "[platform][store-json]") {
    const auto content = content_of(collection::document, document_spec);
    REQUIRE(std::holds_alternative<std::shared_ptr<const document>>(content));
    const auto& read = *std::get<std::shared_ptr<const document>>(content);
    CHECK(read.version == 7);
    REQUIRE(read.routes.size() == 2);
    const auto& sessions = read.routes[0].sessions;
    CHECK(read.routes[0].service == "huvo11a");
    CHECK(sessions.database == "xapu221");
    CHECK(sessions.reads == consistency::bounded_staleness);
    CHECK((sessions.max_staleness == millis{1500} && sessions.statement_timeout == millis{1500} &&
           sessions.target_latency == millis{600}));
    CHECK((sessions.priority == 2 && sessions.needs_key && sessions.regions == std::vector<std::string>{"amman"}));
    CHECK_FALSE(read.routes[1].sessions.needs_key);
    REQUIRE(read.databases.size() == 1);
    CHECK((read.databases[0].connections_per_endpoint == 16 && read.databases[0].synchronous_replicas == 1));
    REQUIRE(read.workspaces.size() == 1);
    CHECK((read.workspaces[0].rate_per_s == 132 && read.workspaces[0].burst == 130));
    CHECK(read.workspaces[0].keys.at(0).sha256.size() == 64);
    CHECK(read.workspaces[0].keys.at(0).sha256.find("secret") == std::string::npos);
    CHECK(read.transaction_idle_limit == millis{3000});
}

TEST_CASE("a valid endpoint entry is read, an invalid one is unreadable", "[platform][store-json]") {
    const auto content = content_of(collection::endpoints, endpoint_spec);
    REQUIRE(std::holds_alternative<endpoint_entry>(content));
    CHECK(std::get<endpoint_entry>(content) ==
          endpoint_entry{"name", "huvo11a", "10.128.0.9:8080", "amman-a", 2, false, false, millis{40}});
    for (const auto* spec : {"null", "7", "{}", "[]", R"({"Service":7})",
                             R"({"Service":"a","Address":"b","Zone":"c","State":"asleep","DatabaseRole":"replica"})",
                             R"({"Service":"a","Address":"b","Zone":"c","State":"ready","DatabaseRole":"king"})",
                             R"({"Service":"a b\nQUERY","Address":"b","Zone":"c","State":"ready","DatabaseRole":"replica"})"}) {
        CAPTURE(spec);
        CHECK(std::holds_alternative<unreadable_item>(content_of(collection::endpoints, spec)));
    }
}

TEST_CASE("a document without content or version is unreadable", "[platform][store-json]") {
    for (const auto* spec : {"null", "{}", "[]", R"({"Version":0})", R"({"Version":"7"})", R"({"Version":-1})",
                             R"({"Version":7,"Routes":{}})", R"({"Version":7,"Tenants":"none"})"}) {
        CAPTURE(spec);
        CHECK(std::holds_alternative<unreadable_item>(content_of(collection::document, spec)));
    }
    const auto other = read_store_answer(call_of(collection::document, catalog_operation::list), 200,
                                         list(object("draft", 9, document_spec) + "," + object("main", 3, document_spec)));
    CHECK(std::holds_alternative<unreadable_item>(other.items.at(0).content));
    CHECK(std::holds_alternative<std::shared_ptr<const document>>(other.items.at(1).content));
}

// Guards against a document that is refused as a whole because of one part, so that withdrawn keys go on working (review/5).
TEST_CASE("an unreadable part of a document is left out and named, the rest takes effect", "[platform][store-json]") {
    const std::string valid_tenant = R"({"Name":"good","ApiKeys":["k"],"RatePerS":5,"Burst":5})";
    for (const auto* part :
         {"7", "null", R"({"Name":"a","ApiKeys":[7]})", R"({"Name":"a","RatePerS":-1})", R"({"Name":"a","RatePerS":"many"})",
          R"({"Name":"a","Burst":[]})", R"({"ApiKeys":["x"]})", R"({"Name":"a","RatePerS":-99999999999999999999})"}) {
        CAPTURE(part);
        const auto item = read_document_with(R"("Tenants":[)" + std::string(part) + "," + valid_tenant + "]");
        const auto& read = document_of(item);
        REQUIRE(read.workspaces.size() == 1);
        CHECK(read.workspaces[0].id == "good");
        CHECK(read.routes.size() == 1);
        REQUIRE(item.problems.size() == 1);
        CHECK(item.problems[0].starts_with("Tenants[0]: "));
    }
    const auto routes =
        read_store_answer(call_of(collection::document, catalog_operation::list), 200,
                          list(object("main", 3,
                                      R"({"Version":7,"Routes":[7,{"Name":"a","Host":"b","Service":"c","Kind":"eventual"},)"
                                      R"({"Name":"a","Host":"b","Service":"c","Kind":"primary","TimeoutMs":true},)"
                                      R"({"Name":"a","Host":"b","Service":"c","Kind":"primary","AllowedRegions":[7]},)"
                                      R"({"Name":"a","Host":"b","Service":"c","Kind":"primary"}]})")));
    CHECK(document_of(routes.items.at(0)).routes.size() == 1);
    CHECK(routes.items.at(0).problems.size() == 4);
    CHECK(read_document_with(R"("Limits":{"TransactionIdleMs":"never"})").problems.size() == 1);
}

// Guards against a document that is refused because a number is larger than expected (review/5).
TEST_CASE("large numbers in a document are reduced, not refused", "[platform][store-json]") {
    for (const auto* number : {"2147483648", "2592000000", "9007199254740993", "9223372036854775807", "9223372036854775808",
                               "18446744073709551615", "99999999999999999999", "1e12", "1e300", "1e999"}) {
        CAPTURE(number);
        const std::string text = number;
        const auto item = read_document_with(
            R"("Services":[{"Name":"db","MaxConnections":)" + text + R"(,"SyncReplicas":1}],"Limits":{"TransactionIdleMs":)" +
            text + R"(},"Tenants":[{"Name":"t","ApiKeys":["k"],"RatePerS":)" + text + R"(,"Burst":)" + text + "}]");
        CHECK(item.problems.empty());
        const auto& read = document_of(item);
        CHECK(read.databases.at(0).connections_per_endpoint == std::numeric_limits<std::int32_t>::max());
        CHECK(read.workspaces.at(0).rate_per_s == std::numeric_limits<std::int32_t>::max());
        CHECK(read.workspaces.at(0).burst == std::numeric_limits<std::int32_t>::max());
        CHECK(read.transaction_idle_limit == millis{3600000});
        for (const auto* field : {"MaxStalenessMs", "TimeoutMs", "TargetLatencyMs", "Priority", "MaxAttempts"}) {
            CAPTURE(field);
            const auto spec = R"({"Version":7,"Routes":[{"Name":"a","Host":"b","Kind":"bounded_staleness","Service":"c",")" +
                              std::string(field) + "\":" + text + "}]}";
            const auto routes =
                read_store_answer(call_of(collection::document, catalog_operation::list), 200, list(object("main", 3, spec)));
            CHECK(routes.items.at(0).problems.empty());
            CHECK(document_of(routes.items.at(0)).routes.size() == 1);
        }
    }
}

// Guards against an entry of another writer that counts as an endpoint, for example as a second primary at the first start.
TEST_CASE("an entry with a field missing, of another type or out of range names no endpoint", "[platform][store-json]") {
    CHECK(std::holds_alternative<endpoint_entry>(content_of(collection::endpoints, endpoint_spec)));
    for (const auto* field :
         {"Service", "Address", "Zone", "Version", "Slots", "State", "ColdRemainingMs", "DatabaseRole", "Sequence"}) {
        CAPTURE(field);
        CHECK(std::holds_alternative<unreadable_item>(content_of(collection::endpoints, endpoint_without(field))));
        for (const auto* value : {"null", "true", "[]", "{}", "-1", "1e400", "-99999999999999999999"}) {
            CAPTURE(value);
            CHECK(std::holds_alternative<unreadable_item>(content_of(collection::endpoints, endpoint_with(field, value))));
        }
    }
    for (const auto* address :
         {"10.128.0.9", "10.128.0.9:", "10.128.0.9:0", "10.128.0.9:65536", "10.128.0.9:99999999999999999999", "10.128.0.9:-1",
          "10.128.0.999:80", "host:80", "", ":80", "10.128.0.9:80 "}) {
        CAPTURE(address);
        const auto spec = endpoint_with("Address", "\"" + std::string(address) + "\"");
        CHECK(std::holds_alternative<unreadable_item>(content_of(collection::endpoints, spec)));
    }
    for (const auto* value : {"0", "99999999999999999999", "2.5", "\"2\""}) {
        CAPTURE(value);
        CHECK(std::holds_alternative<unreadable_item>(content_of(collection::endpoints, endpoint_with("Slots", value))));
    }
    for (const auto* value : {"0", "1500", "1500.5"}) {
        CHECK(std::holds_alternative<endpoint_entry>(content_of(collection::endpoints, endpoint_with("ColdRemainingMs", value))));
    }
    CHECK(std::holds_alternative<endpoint_entry>(content_of(collection::endpoints, endpoint_with("Slots", "4294967296"))));
}

// Guards against an object of another writer that hides all others of its kind (review/3).
TEST_CASE("an object that cannot be parsed hides no other object", "[platform][store-json]") {
    const std::string deep = std::string(70, '[') + std::string(70, ']');
    const std::string very_deep = std::string(100000, '[') + std::string(100000, ']');
    const std::vector<std::string> contents{endpoint_with("Version", "\"\\udcff\\udcfe\""),
                                            endpoint_with("Version", "\"\xff\xfe\""),
                                            endpoint_with("Version", deep),
                                            endpoint_with("Slots", very_deep),
                                            endpoint_with("Slots", "NaN"),
                                            endpoint_with("Slots", "0x"),
                                            R"({"Service":"a","Service":"b"})",
                                            "{'single':1}",
                                            "/* comment */ {}",
                                            "undefined",
                                            R"("\x00")",
                                            "{\"\xc3\":1}"};
    for (const auto& content : contents) {
        CAPTURE(content.substr(0, 80));
        const auto odd = object("i-odd", 4, content);
        for (const auto& items : {odd + "," + object("i-1", 3, endpoint_spec), object("i-1", 3, endpoint_spec) + "," + odd}) {
            const auto answer = read_store_answer(call_of(collection::endpoints, catalog_operation::list), 200, list(items));
            REQUIRE(answer.items.size() == 2);
            CHECK(answer.revision == 530);
            for (const auto& item : answer.items) {
                CHECK(std::holds_alternative<endpoint_entry>(item.content) == (item.name == "i-1"));
            }
        }
        const auto events =
            read_store_answer(call_of(collection::endpoints, catalog_operation::watch), 200,
                              R"({"events":[{"Removed":false,"Object":)" + odd + R"(},{"Removed":false,"Object":)" +
                                  object("i-1", 5, endpoint_spec) + R"(},{"Removed":true,"Object":)" + object("i-2", 6, content) +
                                  R"(}],"StoreRevision":6})");
        REQUIRE(events.items.size() == 2);
        CHECK(events.items[0].name == "i-odd");
        CHECK(std::holds_alternative<unreadable_item>(events.items[0].content));
        CHECK(std::holds_alternative<endpoint_entry>(events.items[1].content));
        CHECK(events.removed == std::vector<std::string>{"i-2"});
        const auto conflict =
            read_store_answer(call_of(collection::fleet, catalog_operation::replace), 409, object("members", 415, content));
        CHECK(conflict.status == catalog_status::conflict);
        CHECK(conflict.items.at(0).revision == 415);
    }
}

// Guards against an evacuation that is not followed, or a document that is not read, because of an odd object beside it.
TEST_CASE("odd objects beside evacuations and the document change nothing", "[platform][store-json]") {
    const std::string deep = std::string(70, '[') + std::string(70, ']');
    const auto evacuations = read_store_answer(call_of(collection::evacuations, catalog_operation::list), 200,
                                               list(object("amman-a", 3, deep) + "," + object("irbid-a", 4, "{}")));
    REQUIRE(evacuations.items.size() == 2);
    for (const auto& item : evacuations.items) {
        CHECK(std::holds_alternative<evacuation_item>(item.content));
    }
    const auto documents = read_store_answer(call_of(collection::document, catalog_operation::list), 200,
                                             list(object("draft", 9, deep) + "," + object("main", 3, document_spec)));
    CHECK(document_of(documents.items.at(1)).version == 7);
    // Contents that the store's own fields hold are not needed.
    const auto meta = R"({"meta":{"Name":"i-1","Revision":3,"Finalizers":)" + deep + R"(},"spec":)" + endpoint_spec + "}";
    const auto listed = read_store_answer(call_of(collection::endpoints, catalog_operation::list), 200, list(meta));
    CHECK(std::holds_alternative<endpoint_entry>(listed.items.at(0).content));
    const auto nameless = read_store_answer(call_of(collection::endpoints, catalog_operation::list), 200,
                                            list(object("\\udcff", 4, "{}") + "," + object("i-1", 3, endpoint_spec)));
    CHECK(nameless.items.size() == 1);
    CHECK_FALSE(nameless.problem.empty());
}

TEST_CASE("calls to the store have the expected paths and bodies", "[platform][store-json]") {
    auto call = call_of(collection::endpoints, catalog_operation::list);
    CHECK(store_path(call) == "/camphorstack/objects/servers");
    call.name = "i-7f/3a";
    CHECK(store_path(call) == "/camphorstack/objects/servers?after=i-7f%2F3a");
    call.operation = catalog_operation::watch;
    call.revision = 530;
    call.wait = millis{20000};
    CHECK(store_path(call) == "/camphorstack/objects/servers?Watch=530&WaitMs=20000");
    call = call_of(collection::fleet, catalog_operation::create);
    call.name = "members";
    call.text = R"({"epoch":1})";
    CHECK(store_path(call) == "/camphorstack/objects/fleet");
    CHECK(store_body(call) == R"({"meta":{"Name":"members"},"spec":{"epoch":1}})");
    call.operation = catalog_operation::replace;
    call.revision = 412;
    CHECK(store_path(call) == "/camphorstack/objects/fleet/members");
    CHECK(store_body(call) == R"({"meta":{"Name":"members","Revision":412},"spec":{"epoch":1}})");
}

TEST_CASE("the store's responses are mapped to statuses, items and removals", "[platform][store-json]") {
    const auto write = call_of(collection::fleet, catalog_operation::replace);
    const auto written = read_store_answer(write, 200, object("members", 413, R"({"epoch":1})"));
    CHECK(written.status == catalog_status::done);
    CHECK(written.items.at(0).revision == 413);
    CHECK(std::get<fleet_item>(written.items.at(0).content).text == R"({"epoch":1})");
    const auto conflict = read_store_answer(write, 409, object("members", 415, R"({"epoch":2})"));
    CHECK(conflict.status == catalog_status::conflict);
    CHECK(conflict.items.at(0).revision == 415);
    CHECK(read_store_answer(write, 404, "").status == catalog_status::missing);
    CHECK(read_store_answer(write, 429, "").status == catalog_status::refused);
    CHECK(read_store_answer(write, 503, "").status == catalog_status::refused);
    const auto watch = call_of(collection::evacuations, catalog_operation::watch);
    CHECK(read_store_answer(watch, 410, "").status == catalog_status::history_gone);
    const auto events =
        read_store_answer(watch, 200,
                          R"({"events":[{"Removed":false,"Object":)" + object("amman-a", 5, "{}") +
                              R"(},{"Removed":true,"Object":)" + object("amman-a", 6, "{}") + R"(}],"StoreRevision":6})");
    CHECK(events.items.empty());
    CHECK(events.removed == std::vector<std::string>{"amman-a"});
    CHECK(events.revision == 6);
    for (const auto* body : {"", "[]", "{}", "{\"items\":7,\"StoreRevision\":1}", "{\"items\":[7],\"StoreRevision\":1}",
                             "{\"items\":[],\"StoreRevision\":-1}", "{\"items\":[]"}) {
        CAPTURE(body);
        CHECK_THROWS_AS(read_store_answer(call_of(collection::fleet, catalog_operation::list), 200, body), format_error);
    }
}

TEST_CASE("randomly mutated store responses are read or rejected", "[platform][fuzz]") {
    // Guards against crashes and undefined behaviour in the parser. CI runs this test under the sanitizers.
    std::mt19937_64 random(5);
    const std::string alphabet = "{}[]\",:0-9.eE\\nulltrue\xc3";
    const std::vector<std::pair<collection, std::string>> seeds{
        {collection::document, list(object("main", 4, document_spec))},
        {collection::endpoints, list(object("i-1", 4, endpoint_spec))},
        {collection::fleet, list(object("members", 4, R"({"epoch":1,"hosts":[]})"))},
        {collection::endpoints, list(object("i-1", 4, endpoint_spec) + "," + object("i-2", 5, "{\"a\":\"\xff\"}"))},
    };
    for (int i = 0; i < 6000; ++i) {
        const auto& [collection_id, text] = seeds[random() % seeds.size()];
        try {
            static_cast<void>(
                read_store_answer(call_of(collection_id, catalog_operation::list), 200, mutate(text, alphabet, random)));
        } catch (const format_error&) {
            continue;
        }
    }
}

TEST_CASE("an object that another host sends is read like the store's own answer", "[platform][store-json][catalog-relay]") {
    auto decode = call_of(collection::endpoints, catalog_operation::decode);

    SECTION("readable and unreadable objects") {
        const auto body = list(object("i-1", 3, endpoint_spec) + "," + object("i-2", 4, endpoint_without("Address")) + "," +
                               object("i-3", 5, "17"));
        const auto answer = read_store_answer(call_of(collection::endpoints, catalog_operation::list), 200, body);
        REQUIRE(answer.items.size() == 3);
        for (const auto& item : answer.items) {
            decode.sources.push_back(item.source);
        }
        const auto decoded = decode_objects(decode);
        CHECK(decoded.status == catalog_status::done);
        CHECK(decoded.items == answer.items);
    }
    SECTION("the document, whose numbers may have been reduced") {
        const auto item = read_document_with(R"("Limits":{"TransactionIdleMs":99999999999999999999})");
        auto call = call_of(collection::document, catalog_operation::decode);
        call.sources = {item.source};
        const auto decoded = decode_objects(call);
        REQUIRE(decoded.items.size() == 1);
        const auto reason_of = [](const catalog_item& one) {
            const auto* unreadable = std::get_if<unreadable_item>(&one.content);
            return unreadable == nullptr ? std::string() : unreadable->reason;
        };
        CAPTURE(item.source);
        CHECK(reason_of(item) == "");
        CHECK(reason_of(decoded.items.front()) == "");
        CHECK(document_of(decoded.items.front()) == document_of(item));
    }
    SECTION("nothing") {
        CHECK(decode_objects(decode).items.empty());
    }
    // Guards against a process that ends because a peer of another version sends what it cannot read.
    SECTION("what is no object is an error and not read as something else") {
        const auto source = GENERATE(as<std::string>{}, "", "{", "]}", "17", "null", "{}", R"({"meta":{}})",
                                     R"({"meta":{"Name":"a","Revision":-1}})", std::string(100000, '['), "\xff\xfe");
        decode.sources = {source};
        CAPTURE(source.substr(0, 40));
        std::size_t usable = 0;
        try {
            const auto decoded = decode_objects(decode);
            usable = static_cast<std::size_t>(std::ranges::count_if(
                decoded.items, [](const catalog_item& item) { return std::holds_alternative<endpoint_entry>(item.content); }));
        } catch (const format_error&) {
            usable = 0;
        }
        CHECK(usable == 0);
    }
}

// Guards against a key that stands for a shorter one, or a field for another, because a string ends at a NUL or a lone surrogate.
TEST_CASE("a NUL is a part of names and keys", "[platform][store-json][odd-names]") {
    const auto item = read_document_with(
        R"("Tenants":[{"Name":"a\u0000b","ApiKeys":["abc\u0000x"],"ApiKeys\u0000":["other"]},{"Name":"a","ApiKeys":["abc"]}],)"
        R"("Services":[{"Name":"db\u0000","MaxConnections":7}])");
    CHECK(item.problems.empty());
    const auto& read = document_of(item);
    REQUIRE(read.workspaces.size() == 2);
    CHECK(read.workspaces[0].id == std::string("a\0b", 3));
    REQUIRE(read.workspaces[0].keys.size() == 1);
    CHECK(read.workspaces[0].keys[0].sha256 != read.workspaces[1].keys.at(0).sha256);
    CHECK(read.databases.at(0).id == std::string("db\0", 3));

    const auto answer = read_store_answer(call_of(collection::endpoints, catalog_operation::list), 200,
                                          list(object("i\\u0000", 3, endpoint_spec) + "," + object("i", 4, endpoint_spec)));
    REQUIRE(answer.items.size() == 2);
    CHECK(answer.items[0].name == std::string("i\0", 2));
    CHECK(answer.items[1].name == "i");
    auto decode = call_of(collection::endpoints, catalog_operation::decode);
    decode.sources = {answer.items[0].source, answer.items[1].source};
    CHECK(decode_objects(decode).items == answer.items);

    auto write = call_of(collection::fleet, catalog_operation::replace);
    write.name = std::string("leader-db\0", 10);
    write.text = R"({"database":"db\u0000"})";
    CHECK(store_path(write) == "/camphorstack/objects/fleet/leader-db%00");
    const auto written = read_store_answer(write, 200, store_body(write));
    CHECK(written.items.at(0).name == write.name);
    CHECK(std::get<fleet_item>(written.items.at(0).content).text == write.text);
}

// Guards against a document that is refused as a whole, or a key that is cut, because of one name that is no text.
TEST_CASE("a lone surrogate leaves out only the part that it is in", "[platform][store-json][odd-names]") {
    for (const std::string name :
         {R"(\ud83dx)", R"(x\udc00)", R"(\ud800)", R"(\udcff\udcfe)", R"(\ud83d\u0041)", R"(\\\ud800)"}) {
        CAPTURE(name);
        const auto item =
            read_document_with(R"("Tenants":[{"Name":")" + name + R"(","ApiKeys":["k"]},{"Name":"keys","ApiKeys":[")" + name +
                               R"("]},{"Name":"good","ApiKeys":["k"]}],"Note":")" + name + "\"");
        CHECK(item.problems.size() == 2);
        const auto& read = document_of(item);
        REQUIRE(read.workspaces.size() == 1);
        CHECK(read.workspaces[0].id == "good");
        CHECK(read.routes.size() == 1);
        auto decode = call_of(collection::document, catalog_operation::decode);
        decode.sources = {item.source};
        const auto decoded = decode_objects(decode).items.at(0);
        CHECK((decoded.source == item.source && decoded.problems == item.problems));
        CHECK(document_of(decoded) == read);

        const auto answer = read_store_answer(call_of(collection::endpoints, catalog_operation::list), 200,
                                              list(object(name, 3, endpoint_spec) + "," + object("i", 4, endpoint_spec)));
        REQUIRE(answer.items.size() == 1);
        CHECK(answer.items[0].name == "i");
        CHECK_FALSE(answer.problem.empty());
    }
    const auto paired = read_document_with(R"("Tenants":[{"Name":"\ud83d\ude00\\u0000","ApiKeys":["k"]}])");
    CHECK(document_of(paired).workspaces.at(0).id == "😀\\u0000");
}

TEST_CASE("a name that the protocol cannot carry leaves out only the part that it is in", "[platform][store-json][odd-names]") {
    for (const std::string name : {"a b", " ", "a\\r\\nb", "\\r\\n"}) {
        CAPTURE(name);
        const auto item =
            read_document_with(R"("Tenants":[{"Name":")" + name + R"(","ApiKeys":["k"]},{"Name":"good","ApiKeys":["k"]}],)" +
                               R"("Services":[{"Name":")" + name + R"("},{"Name":"good"}])");
        REQUIRE(item.problems.size() == 2);
        CHECK(item.problems[0].starts_with("Services[0]: "));
        CHECK(item.problems[1].starts_with("Tenants[0]: "));
        CHECK(document_of(item).workspaces.size() == 1);
        CHECK(document_of(item).databases.size() == 1);
        CHECK(std::holds_alternative<unreadable_item>(
            content_of(collection::endpoints, endpoint_with("Service", "\"" + name + "\""))));
    }
    for (const std::string name : {"a\\nb", "a\\rb", "a\\r", "\\n", "\\u0001\\u007f", "\u00e9"}) {
        CAPTURE(name);
        const auto item = read_document_with(R"("Tenants":[{"Name":")" + name + R"(","ApiKeys":["k"]}],"Services":[{"Name":")" +
                                             name + R"("}])");
        CHECK(item.problems.empty());
        CHECK(document_of(item).workspaces.size() == 1);
        CHECK(document_of(item).databases.size() == 1);
        for (const auto* field : {"Service", "Zone"}) {
            CHECK(std::holds_alternative<endpoint_entry>(
                content_of(collection::endpoints, endpoint_with(field, "\"" + name + "\""))));
        }
        const auto answer = read_store_answer(call_of(collection::endpoints, catalog_operation::list), 200,
                                              list(object(name, 3, endpoint_spec) + "," + object("i b", 4, endpoint_spec) + "," +
                                                   object("i\\r\\n", 5, endpoint_spec)));
        REQUIRE(answer.items.size() == 3);
        // The id is the last field of its message, so it may hold blanks.
        CHECK(std::holds_alternative<endpoint_entry>(answer.items[0].content));
        CHECK(std::holds_alternative<endpoint_entry>(answer.items[1].content));
        CHECK(std::holds_alternative<unreadable_item>(answer.items[2].content));
    }
}

// Guards against a cut answer that counts as a list or a watch with fewer objects.
TEST_CASE("an answer that is cut anywhere is not read", "[platform][store-json]") {
    const auto items = object("i-1", 3, endpoint_spec) + "," + object("i-2", 4, R"({"a":"\ud800"})");
    const std::vector<std::pair<catalog_operation, std::string>> bodies{
        {catalog_operation::list, list(items)},
        {catalog_operation::list, R"({"StoreRevision":530,"HasMore":false,"items":[)" + items + "]}"},
        {catalog_operation::watch, R"({"StoreRevision":530,"events":[{"Removed":false,"Object":)" +
                                       object("i-1", 531, endpoint_spec) + R"(},{"Object":)" + object("i-2", 532, "{}") +
                                       R"(,"Removed":true}]})"}};
    for (const auto& [operation, body] : bodies) {
        CHECK(read_store_answer(call_of(collection::endpoints, operation), 200, body).revision == 530);
        for (std::size_t size = 0; size < body.size(); ++size) {
            CAPTURE(body.substr(0, size));
            CHECK_THROWS_AS(read_store_answer(call_of(collection::endpoints, operation), 200, body.substr(0, size)),
                            format_error);
        }
    }
}
