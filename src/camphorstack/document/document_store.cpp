#include "camphorstack/document/document_store.hpp"

#include "camphorstack/document/sections.hpp"

namespace camphorstack {

bool accept_document(document_store& store, const std::string& text, document_version version) {
    if (version <= store.version) {
        return false;
    }
    try {
        store.content = std::make_shared<const document>(parse_document(text, version));
    } catch (const document_error& failure) {
        if (version >= store.rejected_version) {
            store.rejected_version = version;
            store.rejection_errors = failure.what();
        }
        return false;
    }
    store.text = text;
    store.version = version;
    return true;
}

}  // namespace camphorstack
