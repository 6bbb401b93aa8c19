#pragma once

#include "Codec.h"

#include "mulberrywall/Membership/StateMachine.h"

namespace mulberrywall::membership
{

/// Where an item came from.
enum class ItemSource : std::uint8_t {
    Gossip,
    /// Comparison of state, which may be older than what gossip has told.
    Exchange,
};

/// Applies an item to the tables; a changed value is reported as an event and queued for gossip.
void applyItem(MembershipState &state, const GossipItem &item, ItemSource source, TimePoint now, CommandOutput &output);

/// Marks a member's state and spreads it.
void setMemberState(MembershipState &state, MembershipState::MemberRecord &record, MemberState memberState, TimePoint now, CommandOutput &output);

void enqueue(MembershipState &state, const GossipItem &item);

/// Forgets what has expired.
void expireItems(MembershipState &state, TimePoint now);

/// Hashes what must be equal at all members: live members, revision, leaving endpoints and crash suspects.
Digest makeDigest(const MembershipState &state);

/// Sends up to maxExchangeDatagrams with the items of the buckets in which the digests differ.
void sendDifferingItems(
    MembershipState &state, const SocketAddress &to, const Digest &own, const Digest &other, TimePoint now, RandomEngine &random, CommandOutput &output);

/// Sends a message. Adds the receiver's own record when others must not think it alive, and items of the queue.
void sendMessage(MembershipState &state,
    const SocketAddress &to,
    const support::InstanceId &receiver,
    const Message &message,
    std::span<const GossipItem> first,
    CommandOutput &output);

} // namespace mulberrywall::membership
