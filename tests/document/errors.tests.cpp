#include <catch2/catch.hpp>

#include "camphorstack/document/document_file.hpp"
#include "camphorstack/document/sections.hpp"
#include "document/sample_document.hpp"

using namespace camphorstack;

namespace {

std::string errors_of(const std::string& text) {
    try {
        static_cast<void>(parse_document(text, 1));
    } catch (const document_error& failure) {
        return failure.what();
    }
    return "";
}

/// Returns the errors after replacing the first `from` in the sample document by `to`.
std::string errors_after(const std::string& from, const std::string& to) {
    auto text = sample_document();
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return errors_of(text.replace(at, from.size(), to));
}

const std::string valid_hash(64, 'a');

}  // namespace

// Guards against hosts accepting a document with an operator's mistake.
TEST_CASE("each error of a document is named with its section", "[document]") {
    struct wrong {
        std::string from;
        std::string to;
        std::string expected;
    };
    const std::vector<wrong> cases{
        {R"("workspaces": ["cashiers", "verifiers"])", R"("workspaces": ["cashiers", "nobody"])",
         "tenancy: route \"serials\" names unknown workspace \"nobody\""},
        {R"("open_workspace": "cashiers")", R"("open_workspace": "nobody")",
         "tenancy: route \"serials\" names unknown workspace \"nobody\""},
        {R"("workspaces": ["cashiers", "verifiers"])", R"("workspaces": ["cashiers", "cashiers"])",
         "tenancy: route \"serials\": duplicate workspace \"cashiers\""},
        {R"("service": "serial-registry", "workspaces")", R"("service": "tickets", "workspaces")",
         "tenancy: route \"serials\" leads to unknown service \"tickets\""},
        {R"({"id": "verifiers", "keys": []})", R"({"id": "cashiers"})",
         "tenancy: duplicate workspace id \"cashiers\"\ntenancy: route \"serials\" names unknown workspace \"verifiers\""},
        {R"("id": "verifiers", "keys": [])", R"("id": "verifiers", "keys": [{"id": "k1", "sha256": ")" + valid_hash + "\"}]",
         "tenancy: duplicate sha256 \"" + valid_hash + "\""},
        {R"("sha256": "aaaa)", R"("sha256": "AAAA)",
         "tenancy:17: workspaces[0].keys[0].sha256: must be 64 lower-case hexadecimal digits"},
        {R"("sha256": "aaaa)", R"("sha256": "aaa)",
         "tenancy:17: workspaces[0].keys[0].sha256: must be 64 lower-case hexadecimal digits"},
        {R"("workspace": "cashiers")", R"("workspace": "nobody")", "capacity:22: limit for unknown workspace \"nobody\""},
        {R"("burst": 20})", R"("burst": 20}, {"workspace": "cashiers", "rate_per_s": 1, "burst": 1})",
         "capacity:22: second limit for workspace \"cashiers\""},
        {R"("rate_per_s": 100)", R"("rate_per_s": 0)",
         "capacity:22: limits[0].rate_per_s: must be a whole number from 1 to 1000000000"},
        {R"("rate_per_s": 100)", R"("rate_per_s": -5)",
         "capacity:22: limits[0].rate_per_s: must be a whole number from 1 to 1000000000"},
        {R"("rate_per_s": 100)", R"("rate_per_s": 1.5)",
         "capacity:22: limits[0].rate_per_s: must be a whole number from 1 to 1000000000"},
        {R"("rate_per_s": 100)", R"("rate_per_s": 18446744073709551617)",
         "capacity:22: limits[0].rate_per_s: must be a whole number from 1 to 1000000000"},
        {R"("burst": 20)", R"("burst": 0)", "capacity:22: limits[0].burst: must be a whole number from 1 to 1000000000"},
        {R"(, "burst": 20)", "", "capacity:22: limits[0].burst: is missing"},
        {R"("state": "out"}
  ])",
         R"("state": "half"}
  ])",
         "data_centres:4: data_centres[1].state: must be \"in\" or \"out\""},
        {R"("id": "irbid-a")", R"("id": "amman-a")",
         "data_centres: duplicate data centre id \"amman-a\"\n"
         "databases: endpoint \"serials-1-b\" is in unknown data centre \"irbid-a\""},
        {R"("id": "serials-1-b")", R"("id": "serials-1-a")", "databases: duplicate endpoint id \"serials-1-a\""},
        {"127.0.0.1:7002", "127.0.0.1:7001", "databases: duplicate endpoint address \"127.0.0.1:7001\""},
        {"127.0.0.1:7002", "database:7002",
         "databases:11: databases[0].endpoints[1].address: must be an IP number and a port, such as 127.0.0.1:7001"},
        {R"("slots": 2, "connections": 16, "state": "in")", R"("slots": 0, "state": "in", "colour": "red")",
         "databases:10: databases[0].endpoints[0].slots: must be a whole number from 1 to 100000\n"
         "databases:10: databases[0].endpoints[0].connections: is missing\n"
         "databases:10: databases[0].endpoints[0].colour: unknown field"},
        {R"("id": "k1")", R"("id": "k 1")",
         "tenancy:17: workspaces[0].keys[0].id: must be 1 to 100 letters, digits, '.', '_' or '-'"},
        {R"({"sections": {)", R"({"sections": {"colours": {},)", "document:1: sections.colours: unknown field"},
        {R"("version": 3, )", "", "tenancy:15: version: is missing"},
    };
    for (const auto& item : cases) {
        INFO(item.from + " -> " + item.to);
        CHECK(errors_after(item.from, item.to) == item.expected);
    }
}

TEST_CASE("a database without endpoints is refused", "[document]") {
    auto sections = sample_sections{};
    sections.databases = R"({"databases": [{"id": "serials-1", "service": "serial-registry", "endpoints": []}, {"id": "x"}]})";
    CHECK(errors_of(sample_document(sections)) ==
          "databases:7: databases[0].endpoints: a database needs at least one endpoint\n"
          "databases:7: databases[1].service: is missing\n"
          "databases:7: databases[1].endpoints: is missing\n"
          "databases:7: databases[1].endpoints: a database needs at least one endpoint");
}

TEST_CASE("text that is not a document is refused with the parser's line", "[document]") {
    CHECK(errors_of("{\n\"sections\": }").starts_with("document:2: not valid JSON: "));
    CHECK(errors_of("[]") == "document: must be a JSON object");
    CHECK(errors_of("") == "document: must be a JSON object");
    CHECK(errors_of("{}") == "document: sections: is missing");
    CHECK(errors_of("{\"a\": \"\xff\"}") == "document: text is not valid UTF-8");
    CHECK(errors_of("{\"sections\": {}, // \"\n}") == "document: not valid JSON: unexpected character outside of a string");
    CHECK(errors_of("{\"sections\": {},\n\"sections\": {}}") == "document:2: field \"sections\" is given twice");
    CHECK(errors_of("{\"a\": \"" + std::string(1'000'000, 'x') + "\"}") == "document: text has 1000009 bytes, more than 1000000");
}

// Guards against a stack overflow: json-glib parses nested values recursively.
TEST_CASE("deeply nested text is refused", "[document]") {
    CHECK(errors_of(std::string(500'000, '[')) == "document: values are nested more than 64 deep");
    CHECK(errors_of("'\"'" + std::string(500'000, '[')) == "document: not valid JSON: unexpected character outside of a string");
}

TEST_CASE("sections may be absent", "[document]") {
    const auto content = parse_document(R"({"sections": {}})", 3);
    CHECK(content.version == 3);
    CHECK(content.workspaces.empty());
}

TEST_CASE("a file of section contents is checked like a document", "[document]") {
    const sample_sections sections;
    CHECK_NOTHROW(check_document_file(sample_document()));
    CHECK_NOTHROW(check_document_file("{\"tenancy\": " + sections.tenancy + ", \"databases\": " + sections.databases +
                                      ", \"data_centres\": " + sections.data_centres + "}"));
    CHECK_THROWS_WITH(check_document_file("{\n\"colours\": {},\n\"databases\": []}"),
                      "document:1: databases: must be an object\ndocument:1: colours: unknown field");
}
