#pragma once

#include <map>
#include <optional>
#include <string>

#include "camphorstack/endpoints/position.hpp"
#include "camphorstack/hosts/host_events.hpp"
#include "camphorstack/support/clock.hpp"

namespace camphorstack {

struct host_state;

/// What an open call to the platform is for.
enum class platform_purpose : std::uint8_t {
    confirm_document,
    watch_document,
    confirm_members,
    write_members,
    list_hosts,
    read_term,
    write_term
};

struct open_platform_call {
    platform_purpose purpose = platform_purpose::confirm_document;
    instant sent;
    database_id database;  ///< For terms.

    friend bool operator==(const open_platform_call&, const open_platform_call&) = default;
};

/// A term that is being reserved for one database.
struct term_reservation {
    term_number above = 0;
    bool open = false;
    instant retry_at;
    std::string reservation_id;        ///< Writer id of the newest conditional update, to settle a lost answer.
    std::uint64_t requested_term = 0;  ///< Term that the update asked for; 0 if there is none to settle.
};

/// This host's dealings with the platform.
struct platform_tasks {
    std::map<call_id, open_platform_call> open;
    call_id next_call = 1;
    instant next_confirm;
    instant next_members_check;
    instant next_host_list;
    std::map<database_id, term_reservation> terms;
    std::uint64_t next_reservation_id = 1;
    bool reachable = true;                        ///< By the newest answer.
    std::optional<instant> members_confirmed_at;  ///< When the newest answered read of the member list was sent.
};

/// Starts the calls that are due. Watchers confirm the document and the member list; all others read them only until they know
/// one.
void platform_tick(host_state& state, instant now, host_actions& actions);

void receive_platform_answer(host_state& state, const platform_answer& answer, instant now, host_actions& actions);

/// Reserves a term above `above` for a database; the group learns it by `group_term_reserved`.
void start_term_reservation(host_state& state, const database_id& database, term_number above, instant now,
                            host_actions& actions);

}  // namespace camphorstack
