#include "camphorstack/catalog/catalog.hpp"

namespace camphorstack {

const char* to_string(collection value) {
    switch (value) {
        case collection::document:
            return "document";
        case collection::endpoints:
            return "endpoints";
        case collection::evacuations:
            return "evacuations";
        case collection::fleet:
            return "fleet";
        case collection::usage:
            return "usage";
    }
    return "?";
}

const char* to_string(catalog_operation value) {
    switch (value) {
        case catalog_operation::list:
            return "list";
        case catalog_operation::watch:
            return "watch";
        case catalog_operation::get:
            return "get";
        case catalog_operation::create:
            return "create";
        case catalog_operation::replace:
            return "replace";
        case catalog_operation::decode:
            return "decode";
    }
    return "?";
}

const char* to_string(catalog_status value) {
    switch (value) {
        case catalog_status::done:
            return "done";
        case catalog_status::conflict:
            return "conflict";
        case catalog_status::missing:
            return "missing";
        case catalog_status::history_gone:
            return "history_gone";
        case catalog_status::refused:
            return "refused";
        case catalog_status::no_answer:
            return "no_answer";
    }
    return "?";
}

}  // namespace camphorstack
