#pragma once

#include <map>
#include <optional>
#include <string>

#include "camphorstack/endpoints/position.hpp"
#include "camphorstack/hosts/host_events.hpp"
#include "camphorstack/support/clock.hpp"

namespace camphorstack {

struct host_state;

/// Purpose of an open call to the platform.
enum class platform_purpose : std::uint8_t {
    confirm_document,
    watch_document,
    confirm_members,
    write_members,
    list_hosts,
    read_term,
    write_term
};

/// A call to the platform that has not been answered yet.
struct open_platform_call {
    platform_purpose purpose = platform_purpose::confirm_document;
    instant sent;
    database_id database;  ///< Set for `read_term` and `write_term`.

    friend bool operator==(const open_platform_call&, const open_platform_call&) = default;
};

/// State of the reservation of a term for one database.
struct term_reservation {
    term_number above = 0;  ///< The reserved term must be higher; 0 if no reservation is wanted.
    bool open = false;      ///< A read or write of the term record is in progress.
    instant retry_at;
    std::string reservation_id;        ///< Writer id of the newest conditional update, to detect an update whose answer was lost.
    std::uint64_t requested_term = 0;  ///< Term of that update; 0 if the result of no update is open.
};

/// This host's calls to the platform and the state of its periodic work with the platform.
struct platform_tasks {
    std::map<call_id, open_platform_call> open;
    call_id next_call = 1;
    instant next_confirm;
    instant next_members_check;
    instant next_host_list;
    std::map<database_id, term_reservation> terms;
    std::uint64_t next_reservation_id = 1;
    bool reachable = true;                        ///< Whether the platform answered the newest completed call.
    std::optional<instant> members_confirmed_at;  ///< When the newest answered read of the member list was sent.
};

/// Starts the calls that are due. Watchers confirm the document and the member list periodically; other hosts read them only
/// until they have a member list.
void platform_tick(host_state& state, instant now, host_actions& actions);

/// Processes the answer to a call; an answer to no open call is ignored.
void receive_platform_answer(host_state& state, const platform_answer& answer, instant now, host_actions& actions);

/// Reserves a term higher than `above` for a database. The result is passed to the group by `group_term_reserved`.
void start_term_reservation(host_state& state, const database_id& database, term_number above, instant now,
                            host_actions& actions);

}  // namespace camphorstack
