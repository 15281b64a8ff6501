#include <catch2/catch.hpp>

#include "camphorstack/document/document_file.hpp"
#include "camphorstack/document/sections.hpp"
#include "document/sample_document.hpp"
#include "support/mutation.hpp"

using namespace camphorstack;

// Guards against a crash, a hang or an untyped error on a damaged document.
TEST_CASE("5,000 mutations of a document give a document or a document error", "[document][fuzz]") {
    const auto original = sample_document();
    std::mt19937_64 random{20260102};
    int refused = 0;
    for (int run = 0; run < 5000; ++run) {
        const auto text = mutate(original, "{}[]:,\"\\/'#-+.eE09tfnu \n\xff\xc3\x01", random);
        try {
            const auto content = parse_document(text, 5);
            // What parses must also survive a merge, or operators could not change it any more.
            static_cast<void>(parse_document(merge_section(text, 1'000'000'000, {"capacity", "{}", 1'000'000'000, "m"}), 6));
        } catch (const document_error&) {
            ++refused;
        } catch (const section_conflict&) {
            ++refused;
        }
        static_cast<void>(is_last_change(text, "tenancy", "c3"));
        static_cast<void>(find_section(text, "tenancy"));
    }
    CHECK(refused > 2500);
    CHECK(refused < 5000);
}
