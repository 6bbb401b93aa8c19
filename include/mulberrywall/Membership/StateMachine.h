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
    /// This router; its incarnation must be higher than before a restart, for example the wall clock at start.
    Member self;
    /// Addresses that are asked for members at start and whenever no live member has them.
    std::vector<SocketAddress> seeds;
    std::chrono::milliseconds probeInterval {500};
    /// Wait for an answer before other members are asked to probe as well.
    std::chrono::milliseconds probeTimeout {200};
    unsigned indirectProbes = 3;
    unsigned suspicionPeriods = 3;
    /// Items more urgent than pool loads are also sent to some members at this interval while there are any.
    std::chrono::milliseconds gossipInterval {200};
    unsigned gossipFanout = 2;
    /// Interval of the comparison of state with a random member.
    std::chrono::milliseconds exchangeInterval {5'000};
    /// The same while the last comparison found a difference or no other member is known.
    std::chrono::milliseconds differingExchangeInterval {1'000};
    /// Datagrams with items that one comparison may cause on each side.
    unsigned maxExchangeDatagrams = 8;
    /// Without the authentication tag and the IP and UDP headers.
    std::size_t maxDatagramBytes = 1'200;
    /// A dead member stays known, and is contacted now and then, for this long; it covers a partition of an hour.
    std::chrono::seconds deadRetention {7'200};
    /// An announced load that is older than this is forgotten.
    std::chrono::seconds loadLifetime {30};
    std::size_t maxMembers = 4'096;
    std::size_t maxItemsPerType = 16'384;
};

/// State of the protocol at one member. Plain data; change it through the commands only.
struct MembershipState
{
    struct MemberRecord
    {
        Member member;
        /// When the state was last changed; a suspicion runs from here.
        TimePoint changedAt;
    };
    struct PendingProbe
    {
        std::uint32_t sequence = 0;
        support::InstanceId target;
        TimePoint sentAt;
        bool indirectSent = false;
    };
    /// A probe sent on behalf of another member.
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
        /// Version of a leaving endpoint's announcement, or number of crashes.
        std::uint64_t version = 0;
        /// Incarnation of a leaving endpoint; 0 when unknown.
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
    /// All other known members.
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
    /// Time of the last command.
    TimePoint now;
    bool lastExchangeDiffered = true;
    MembershipCounters counters;
};

struct OutgoingDatagram
{
    SocketAddress to;
    std::vector<std::uint8_t> payload;
};

/// What the caller of a command has to carry out.
struct CommandOutput
{
    std::vector<OutgoingDatagram> datagrams;
    /// Items whose current value has changed, with the new value; includes what this member announced itself.
    std::vector<GossipItem> events;
};

/// Returns the state of a member that knows only itself; the first advance contacts the seeds.
MembershipState createState(const MembershipOptions &options, TimePoint now, RandomEngine &random);

// Commands

/// Does what is due: probes, suspicions that end, gossip and state exchange. Call it at nextWakeUp.
CommandOutput advance(MembershipState &state, TimePoint now, RandomEngine &random);

/// Takes an authenticated datagram; a malformed one is counted and ignored.
CommandOutput receive(MembershipState &state, const SocketAddress &from, std::span<const std::uint8_t> payload, TimePoint now, RandomEngine &random);

/// Spreads an item. A pool load and a leaving endpoint get a version above the known one; any other item that is already
/// known is not repeated.
CommandOutput announce(MembershipState &state, GossipItem item, TimePoint now);

/// Tells other members that this one leaves. The caller keeps advancing the state until the announcement has been gossiped.
CommandOutput leave(MembershipState &state, TimePoint now, RandomEngine &random);

// Queries

[[nodiscard]] TimePoint nextWakeUp(const MembershipState &state);
/// Live members including this one unless it has left, ordered by instance.
[[nodiscard]] std::vector<Member> liveMembers(const MembershipState &state);
[[nodiscard]] std::vector<Member> liveMembers(const MembershipState &state, const support::DataCentreId &dataCentre);
/// States whether this incarnation of an endpoint was announced as leaving; 0 stands for an unknown one on either side.
[[nodiscard]] bool isLeaving(const MembershipState &state, const support::EndpointId &endpoint, std::uint64_t incarnation);
[[nodiscard]] std::vector<PoolLoad> poolLoads(const MembershipState &state, const support::PoolId &pool);
/// True when no item more urgent than a pool load waits to be sent.
[[nodiscard]] bool areUrgentItemsSent(const MembershipState &state);

} // namespace mulberrywall::membership
