#pragma once

#include "Codec.h"

#include "mulberrywall/Membership/StateMachine.h"

namespace mulberrywall::membership
{

/// How an item was received.
enum class ItemSource : std::uint8_t {
    Gossip,
    /// Anti-entropy exchange. Its items may be older than those that were received by gossip.
    Exchange,
};

/// Applies an item to the tables. If it changes a value, adds an event to the output and queues the item for gossip.
void applyItem(MembershipState &state, const GossipItem &item, ItemSource source, TimePoint now, CommandOutput &output);

/// Sets the state of a member, adds an event to the output and queues the record for gossip.
void setMemberState(MembershipState &state, MembershipState::MemberRecord &record, MemberState memberState, TimePoint now, CommandOutput &output);

/// Queues an item for gossip. Replaces a queued item with the same key.
void enqueue(MembershipState &state, const GossipItem &item);

/// Removes expired items and the records of members that are dead or have left for longer than deadRetention.
void expireItems(MembershipState &state, TimePoint now);

/// Returns a digest of the state that must converge at all members: live members, configuration revision, leaving
/// endpoints and quarantined fingerprints.
Digest makeDigest(const MembershipState &state);

/// Sends the items of the buckets in which the digests differ, in at most maxExchangeDatagrams datagrams.
void sendDifferingItems(
    MembershipState &state, const SocketAddress &to, const Digest &own, const Digest &other, TimePoint now, RandomEngine &random, CommandOutput &output);

/// Sends a message with the given items, followed by queued items up to the size limit.
///
/// Includes the receiver's own record if its state here is not Alive, so that the receiver can refute it.
void sendMessage(MembershipState &state,
    const SocketAddress &to,
    const support::InstanceId &receiver,
    const Message &message,
    std::span<const GossipItem> first,
    CommandOutput &output);

} // namespace mulberrywall::membership
