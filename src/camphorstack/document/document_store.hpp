#pragma once

#include <memory>
#include <string>

#include "camphorstack/document/document.hpp"

namespace camphorstack {

/// The newest valid document that this host has received. Changed only by `accept_document`.
struct document_store {
    std::shared_ptr<const document> content;  ///< Null until a document has been accepted.
    std::string text;                         ///< The platform object's JSON value, which is sent to peers.
    document_version version = 0;
    document_version rejected_version = 0;  ///< Newest version whose text was not valid; 0 if there was none.
    std::string rejection_errors;           ///< Errors of the text of `rejected_version`, one per line.
};

/// Stores a document that is newer than the stored one and returns true. Returns false for an older or equal version, so that a
/// delayed answer cannot revert a change, and for text that is not valid. In the latter case the stored document is kept and
/// the errors of the newest invalid version are stored in `rejection_errors`.
bool accept_document(document_store& store, const std::string& text, document_version version);

}  // namespace camphorstack
