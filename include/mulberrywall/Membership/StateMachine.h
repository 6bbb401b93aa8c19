#pragma once

#include "mulberrywall/Membership/Types.h"

#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <utility>
#include <vector>

namespace mulberrywall::membership
{

using RandomEngine = std::mt19937_64;

struct MembershipOptions
{
    /// Record of this router. Its incarnation must be higher than in any earlier run; for example the wall-clock time at
    /// startup.
    Member self;
    /// Addresses that are contacted to join the group, at startup and whenever no live member has that address.
    std::vector<SocketAddress> seeds;
    std::chrono::milliseconds probeInterval {500};
    /// Time without an acknowledgement after which other members are requested to probe the target (indirect ping).
    std::chrono::milliseconds probeTimeout {200};
    unsigned indirectProbes = 3;
    /// Number of probe intervals after which a suspected member that has not refuted is declared dead.
    unsigned suspicionPeriods = 3;
    /// Interval of the gossip messages that are sent, in addition to piggybacking, while queued items other than pool loads
    /// exist.
    std::chrono::milliseconds gossipInterval {200};
    /// Number of random members that receive each gossip message.
    unsigned gossipFanout = 2;
    /// Interval of the anti-entropy exchange, which compares state digests with a random member.
    std::chrono::milliseconds exchangeInterval {5'000};
    /// Exchange interval while the last exchange found a difference or no other member is live.
    std::chrono::milliseconds differingExchangeInterval {1'000};
    /// Maximum number of datagrams with items that each side sends in one exchange.
    unsigned maxExchangeDatagrams = 8;
    /// Maximum payload size, excluding the authentication tag and the IP and UDP headers.
    std::size_t maxDatagramBytes = 1'200;
    /// Time for which the record of a dead member is kept and the member is occasionally contacted. It is longer than a
    /// partition of one hour, so that the two sides merge again.
    std::chrono::seconds deadRetention {7'200};
    /// Age at which a received pool load is dropped.
    std::chrono::seconds loadLifetime {30};
    std::size_t maxMembers = 4'096;
    std::size_t maxItemsPerType = 16'384;
};

/// Protocol state of one member. Plain data that only the commands below may change.
struct MembershipState
{
    struct MemberRecord
    {
        Member member;
        /// Time of the last change of the record. The suspicion timeout starts here.
        TimePoint changedAt;
    };
    struct PendingProbe
    {
        std::uint32_t sequence = 0;
        support::InstanceId target;
        TimePoint sentAt;
        bool indirectSent = false;
    };
    /// An indirect ping: a probe that is sent on behalf of another member.
    struct RelayedProbe
    {
        std::uint32_t sequence = 0;
        std::uint32_t requesterSequence = 0;
        SocketAddress requester;
        support::InstanceId target;
        TimePoint expiresAt;
    };
    struct ExpiringItem
    {
        /// Version of the announcement of a leaving endpoint, or crash count of a quarantined fingerprint.
        std::uint64_t version = 0;
        /// Incarnation of a leaving endpoint; 0 if unknown.
        std::uint64_t incarnation = 0;
        TimePoint expiresAt;
    };
    struct LoadRecord
    {
        PoolLoad load;
        TimePoint receivedAt;
    };
    struct QueuedItem
    {
        GossipItem item;
        unsigned transmissions = 0;
    };

    MembershipOptions options;
    Member self;
    /// Records of all other members, including dead ones and those that have left, until deadRetention has passed.
    std::map<support::InstanceId, MemberRecord> members;
    std::uint64_t configurationRevision = 0;
    std::map<support::EndpointId, ExpiringItem> leavingEndpoints;
    std::map<std::uint64_t, ExpiringItem> quarantinedFingerprints;
    std::map<std::pair<support::DataCentreId, support::PoolId>, LoadRecord> poolLoads;
    std::vector<QueuedItem> queue;

    std::vector<support::InstanceId> probeOrder;
    std::optional<PendingProbe> probe;
    std::vector<RelayedProbe> relayedProbes;
    std::uint32_t lastSequence = 0;
    TimePoint nextProbe;
    TimePoint nextGossip;
    TimePoint nextExchange;
    TimePoint lastAdvance;
    /// Time that was passed to the last command.
    TimePoint now;
    bool lastExchangeDiffered = true;
    MembershipCounters counters;
};

struct OutgoingDatagram
{
    SocketAddress to;
    std::vector<std::uint8_t> payload;
};

/// Effects of a command that its caller must carry out.
struct CommandOutput
{
    std::vector<OutgoingDatagram> datagrams;
    /// Items whose value has changed, with the new value. Includes the items that this member announced itself.
    std::vector<GossipItem> events;
};

/// Returns the initial state, without other members. The first call of advance contacts the seeds.
MembershipState createState(const MembershipOptions &options, TimePoint now, RandomEngine &random);

// Commands

/// Runs the timers that are due: probes, suspicion timeouts, gossip and state exchange. Must be called at nextWakeUp.
CommandOutput advance(MembershipState &state, TimePoint now, RandomEngine &random);

/// Handles the payload of an authenticated datagram. A malformed datagram is counted and ignored.
CommandOutput receive(MembershipState &state, const SocketAddress &from, std::span<const std::uint8_t> payload, TimePoint now, RandomEngine &random);

/// Applies an item locally and disseminates it. A pool load and a leaving endpoint get a version above that of the
/// stored item. Any other item is disseminated only if it changes the stored state.
CommandOutput announce(MembershipState &state, GossipItem item, TimePoint now);

/// Announces to other members that this one leaves. The caller must keep calling advance until areUrgentItemsSent
/// returns true, so that the announcement is gossiped.
CommandOutput leave(MembershipState &state, TimePoint now, RandomEngine &random);

// Queries

/// Returns the time at which advance must be called next.
[[nodiscard]] TimePoint nextWakeUp(const MembershipState &state);
/// Returns the live members, ordered by instance. Includes this member unless it has left.
[[nodiscard]] std::vector<Member> liveMembers(const MembershipState &state);
[[nodiscard]] std::vector<Member> liveMembers(const MembershipState &state, const support::DataCentreId &dataCentre);
/// Returns true if this incarnation of an endpoint was announced as leaving. The incarnation 0 means unknown, in the
/// argument as well as in the announcement, and matches every incarnation.
[[nodiscard]] bool isLeaving(const MembershipState &state, const support::EndpointId &endpoint, std::uint64_t incarnation);
[[nodiscard]] std::vector<PoolLoad> poolLoads(const MembershipState &state, const support::PoolId &pool);
/// Returns true if the queue contains no item other than pool loads.
[[nodiscard]] bool areUrgentItemsSent(const MembershipState &state);

} // namespace mulberrywall::membership
