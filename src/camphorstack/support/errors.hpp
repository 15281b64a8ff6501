#pragma once

#include <stdexcept>
#include <string>

namespace camphorstack {

/// Base of all errors thrown by camphorstack.
class error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// External input does not have the required form: a document, settings, a token, a frame or a request body.
class format_error : public error {
public:
    using error::error;
};

/// A local resource could not be used, for example an address that cannot be bound or a connection that cannot be opened.
class io_error : public error {
public:
    using error::error;
};

}  // namespace camphorstack
