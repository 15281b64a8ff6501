#pragma once

#include <memory>
#include <string>

#include "camphorstack/document/document.hpp"

namespace camphorstack {

/// The newest document that this host knows. Changed only by `accept_document`.
struct document_store {
    std::shared_ptr<const document> content;  ///< Null until a document was accepted.
    std::string text;                         ///< The platform object's JSON value, to hand on to peers.
    document_version version = 0;
    document_version rejected_version = 0;  ///< Newest version whose text could not be used; 0 if there was none.
    std::string rejection_errors;           ///< Errors of that text, one per line.
};

/// Takes over a document that is newer than the one held and returns true. An older or equal version is ignored, so a late
/// answer never takes a change back. Text that does not parse is refused: the old document stays and the errors are kept.
bool accept_document(document_store& store, const std::string& text, document_version version);

}  // namespace camphorstack
