#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "camphorstack/contracts/shares.hpp"
#include "camphorstack/endpoints/group_settings.hpp"
#include "camphorstack/hosts/member.hpp"
#include "camphorstack/hosts/membership.hpp"

namespace camphorstack {

/// What the decisions of one host need to know from its settings file.
struct host_settings {
    member self;
    std::vector<member> seeds;  ///< Hosts to contact first; the platform's list adds more.
    std::string token_secret;   ///< Signs session and transaction tokens; the same on all hosts.
    std::string start_nonce;    ///< Different at each start, so that request ids are never reused.
    membership_settings membership;
    share_settings shares;
    group_settings group;
    millis confirm_interval{500};  ///< Between a watcher's reads of the platform's document.
    millis platform_timeout{800};  ///< Without an answer, a watcher reports the platform as unreachable.
    millis dead_time{10000};       ///< A host dead for this long leaves the agreed member list.
    millis loan_patience{25};      ///< A request waits at most this long for a loan before it is refused.
    millis forward_patience{300};  ///< A read without an answer from the owner goes to the standby.
    millis stop_grace{1500};       ///< A stopping host still answers late forwards for this long.
    std::size_t push_fanout = 3;   ///< Peers to which a watcher pushes a new document version.

    friend bool operator==(const host_settings&, const host_settings&) = default;
};

}  // namespace camphorstack
