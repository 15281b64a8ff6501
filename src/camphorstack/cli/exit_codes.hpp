#pragma once

namespace camphorstack {

/// Exit codes of the commands; `load` adds `exit_violation`. They are stable because operators' scripts depend on them.
enum exit_code : int {
    exit_ok = 0,
    exit_usage = 1,         ///< Wrong command, flag or argument, a file that cannot be read, or an address in use.
    exit_invalid = 2,       ///< The file or the change has errors, or no log names the request.
    exit_conflict = 3,      ///< The section changed since it was read.
    exit_unreachable = 4,   ///< The platform or the host did not answer; nothing was changed.
    exit_not_in_force = 5,  ///< The change was accepted, but did not come into force on all hosts in time.
    exit_unknown = 6,       ///< Whether the change was accepted is not known.
};

}  // namespace camphorstack
