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
void applyItem(State &state, const Item &item, ItemSource source, TimePoint now, Output &output);

/// Marks a member's state and spreads it.
void setMemberState(State &state, State::MemberRecord &record, MemberState memberState, TimePoint now, Output &output);

void enqueue(State &state, const Item &item);

/// Forgets what has expired.
void expireItems(State &state, TimePoint now);

/// Hashes what must be equal at all members: live members, revision, leaving endpoints and crash suspects.
Digest makeDigest(const State &state);

/// Sends up to maxExchangeDatagrams with the items of the buckets in which the digests differ.
void sendDifferingItems(State &state, const Address &to, const Digest &own, const Digest &other, TimePoint now, Random &random, Output &output);

/// Sends a message. Adds the receiver's own record when others must not think it alive, and items of the queue.
void sendMessage(State &state, const Address &to, const support::InstanceId &receiver, const Message &message, std::span<const Item> first, Output &output);

} // namespace mulberrywall::membership
