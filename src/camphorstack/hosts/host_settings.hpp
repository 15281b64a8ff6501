#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "camphorstack/contracts/shares.hpp"
#include "camphorstack/endpoints/group_settings.hpp"
#include "camphorstack/hosts/member.hpp"
#include "camphorstack/hosts/membership.hpp"

namespace camphorstack {

/// Settings of one host that its decision logic uses.
struct host_settings {
    member self;
    std::vector<member> seeds;  ///< Hosts to contact first; the platform's host list adds more.
    std::string token_secret;   ///< Key that signs session and transaction tokens; the same on all hosts.
    std::string start_nonce;    ///< Different at each start, so that request ids are never reused.
    membership_settings membership;
    share_settings shares;
    group_settings group;
    millis confirm_interval{500};  ///< Interval between a watcher's reads of the document from the platform.
    millis platform_timeout{800};  ///< Time limit for a platform call before a watcher reports the platform as unreachable.
    millis dead_time{10000};       ///< A host that was dead for this long is removed from the agreed member list.
    millis loan_timeout{25};       ///< Longest wait of a request for borrowed tokens before it is refused.
    millis forward_timeout{300};   ///< A retryable request that the owner has not answered in this time goes to the standby.
    millis stop_grace{1500};       ///< A stopping host still replies to forwarded requests for this long.
    std::size_t push_fanout = 3;   ///< Peers to which a watcher pushes a new document version.

    friend bool operator==(const host_settings&, const host_settings&) = default;
};

}  // namespace camphorstack
