#include "mulberrywall/Membership/StateMachine.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <queue>

namespace mulberrywall::membership
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Runs several state machines in one process with a simulated clock and a simulated network that can lose datagrams.
class Network
{
public:
    explicit Network(std::size_t size, std::uint64_t seed = 1)
        : random_(seed)
    {
        for (std::size_t index = 0; index < size; ++index) {
            nodes_.push_back({});
            restart(index, 1);
        }
    }

    void restart(std::size_t index, std::uint64_t incarnation)
    {
        MembershipOptions options;
        options.self = {.instance = instanceOf(index),
            .dataCentre = support::DataCentreId(index % 2 == 0 ? "even" : "odd"),
            .address = addressOf(index),
            .incarnation = incarnation};
        options.seeds = {addressOf(0), addressOf(1)};
        nodes_[index] = {.state = createState(options, now_, random_), .running = true};
    }
    void stop(std::size_t index)
    {
        nodes_[index].running = false;
    }
    void resume(std::size_t index)
    {
        nodes_[index].running = true;
    }
    void announce(std::size_t index, const GossipItem &item)
    {
        deliver(index, membership::announce(nodes_[index].state, item, now_));
    }
    void leave(std::size_t index)
    {
        deliver(index, membership::leave(nodes_[index].state, now_, random_));
    }

    /// Advances the clock until the condition holds. Returns the elapsed time, or nothing if the limit was reached first.
    std::optional<milliseconds> runUntil(const std::function<bool()> &condition, milliseconds limit)
    {
        const TimePoint start = now_;
        while (now_ < start + limit) {
            if (condition()) {
                return std::chrono::duration_cast<milliseconds>(now_ - start);
            }
            step();
        }
        return condition() ? std::optional(limit) : std::nullopt;
    }
    void runFor(milliseconds duration)
    {
        runUntil([] { return false; }, duration);
    }

    [[nodiscard]] const MembershipState &state(std::size_t index) const
    {
        return nodes_[index].state;
    }
    [[nodiscard]] bool allRunning(const std::function<bool(const MembershipState &)> &condition) const
    {
        return std::all_of(nodes_.begin(), nodes_.end(), [&condition](const Node &node) { return !node.running || condition(node.state); });
    }
    [[nodiscard]] bool allSeeLiveMembers(std::size_t live) const
    {
        return allRunning([live](const MembershipState &state) { return liveMembers(state).size() == live; });
    }
    [[nodiscard]] std::size_t deathEvents() const
    {
        return deathEvents_;
    }
    [[nodiscard]] std::size_t largestDatagram() const
    {
        return largestDatagram_;
    }

    static support::InstanceId instanceOf(std::size_t index)
    {
        return support::InstanceId("router-" + std::to_string(index));
    }
    static SocketAddress addressOf(std::size_t index)
    {
        return {.port = static_cast<std::uint16_t>(index + 1)};
    }

    double loss = 0.0;
    /// Returns whether the network delivers datagrams from the first to the second node.
    std::function<bool(std::size_t, std::size_t)> connected = [](std::size_t, std::size_t) {
        return true;
    };

private:
    struct Node
    {
        MembershipState state;
        bool running = false;
    };
    struct InFlight
    {
        TimePoint at;
        std::uint64_t order;
        std::size_t from;
        OutgoingDatagram datagram;

        bool operator<(const InFlight &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    void step()
    {
        now_ += milliseconds(10);
        while (!inFlight_.empty() && inFlight_.top().at <= now_) {
            const InFlight next = inFlight_.top();
            inFlight_.pop();
            const std::size_t to = next.datagram.to.port - 1U;
            if (nodes_[to].running) {
                deliver(to, receive(nodes_[to].state, addressOf(next.from), next.datagram.payload, now_, random_));
            }
        }
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            if (nodes_[index].running && nextWakeUp(nodes_[index].state) <= now_) {
                deliver(index, advance(nodes_[index].state, now_, random_));
            }
        }
    }

    void deliver(std::size_t from, CommandOutput output)
    {
        for (const GossipItem &item : output.events) {
            const auto *member = std::get_if<Member>(&item);
            deathEvents_ += member != nullptr && member->state == MemberState::Dead ? 1 : 0;
        }
        for (OutgoingDatagram &datagram : output.datagrams) {
            largestDatagram_ = std::max(largestDatagram_, datagram.payload.size());
            const std::size_t to = datagram.to.port - 1U;
            const bool lost = std::uniform_real_distribution<>(0.0, 1.0)(random_) < loss;
            if (to < nodes_.size() && connected(from, to) && !lost) {
                inFlight_.push({.at = now_ + milliseconds(1 + random_() % 20), .order = ++order_, .from = from, .datagram = std::move(datagram)});
            }
        }
    }

    RandomEngine random_;
    TimePoint now_ {seconds(1'000)};
    std::vector<Node> nodes_;
    std::priority_queue<InFlight> inFlight_;
    std::uint64_t order_ = 0;
    std::size_t deathEvents_ = 0;
    std::size_t largestDatagram_ = 0;
};

std::optional<Member> memberOf(const MembershipState &state, std::size_t index)
{
    const auto found = state.members.find(Network::instanceOf(index));
    return found == state.members.end() ? std::nullopt : std::optional(found->second.member);
}

} // namespace

// Guards against a member that does not discover all others, and against false deaths on a network without loss.
TEST(StateMachineTest, FiftyMembersJoinWithoutFalseDeaths)
{
    Network network(50);
    EXPECT_TRUE(network.runUntil([&] { return network.allSeeLiveMembers(50); }, seconds(15)));
    network.runFor(seconds(60));
    EXPECT_TRUE(network.allSeeLiveMembers(50));
    EXPECT_EQ(network.deathEvents(), 0U);
    EXPECT_EQ(liveMembers(network.state(0), support::DataCentreId("odd")).size(), 25U);
    EXPECT_LE(network.largestDatagram(), MembershipOptions {}.maxDatagramBytes);
}

// Guards against a death that is not detected on a lossy network. Runs with several seeds because the loss is random.
TEST(StateMachineTest, DetectsEveryDeathDespitePacketLoss)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        Network network(50, seed);
        ASSERT_TRUE(network.runUntil([&] { return network.allSeeLiveMembers(50); }, seconds(15)));
        network.loss = 0.1;
        const std::vector<std::size_t> stoppedMembers {3, 17, 31, 44};
        for (const std::size_t stoppedMember : stoppedMembers) {
            network.stop(stoppedMember);
        }
        const auto allDetected = [&] {
            return network.allRunning([&](const MembershipState &state) {
                return std::all_of(stoppedMembers.begin(), stoppedMembers.end(), [&](std::size_t stoppedMember) {
                    return memberOf(state, stoppedMember)->state == MemberState::Dead;
                });
            });
        };
        EXPECT_TRUE(network.runUntil(allDetected, seconds(15))) << "seed " << seed;
        network.loss = 0.0;
        EXPECT_TRUE(network.runUntil([&] { return network.allSeeLiveMembers(46); }, seconds(30))) << "seed " << seed;
    }
}

// Guards against a detection that takes longer than a probe, the suspicion timeout and the gossip of both.
TEST(StateMachineTest, DetectsDeathWithinFiveSeconds)
{
    Network network(50);
    ASSERT_TRUE(network.runUntil([&] { return network.allSeeLiveMembers(50); }, seconds(15)));
    network.stop(7);
    EXPECT_TRUE(network.runUntil([&] { return network.allSeeLiveMembers(49); }, seconds(5)));
}

// Guards against a group that does not merge after a partition, and against live members that stay recorded as dead.
TEST(StateMachineTest, MergesAfterPartition)
{
    Network network(30);
    ASSERT_TRUE(network.runUntil([&] { return network.allSeeLiveMembers(30); }, seconds(15)));
    network.connected = [](std::size_t from, std::size_t to) {
        return (from < 12) == (to < 12);
    };
    const auto split = [&] {
        return network.allRunning([](const MembershipState &state) {
            const bool lower = state.self.address.port <= 12;
            return liveMembers(state).size() == (lower ? 12U : 18U);
        });
    };
    ASSERT_TRUE(network.runUntil(split, seconds(60)));
    network.announce(2, LeavingEndpoint {.endpoint = support::EndpointId("runner"), .version = 1, .incarnation = 4, .timeToLive = seconds(3'600)});
    network.announce(20, ConfigurationRevision {9});
    network.runFor(seconds(60));
    EXPECT_TRUE(split());
    network.connected = [](std::size_t, std::size_t) {
        return true;
    };
    EXPECT_TRUE(network.runUntil([&] { return network.allSeeLiveMembers(30); }, seconds(30)));
    EXPECT_TRUE(network.runUntil(
        [&] {
            return network.allRunning(
                [](const MembershipState &state) { return isLeaving(state, support::EndpointId("runner"), 4) && state.configurationRevision == 9; });
        },
        seconds(30)));
}

// Guards against applying, after a partition, the other side's updates that declare live members dead.
TEST(StateMachineTest, MergeAfterPartitionDeclaresNoDeaths)
{
    Network network(30);
    ASSERT_TRUE(network.runUntil([&] { return network.allSeeLiveMembers(30); }, seconds(15)));
    network.connected = [](std::size_t from, std::size_t to) {
        return (from < 12) == (to < 12);
    };
    network.runFor(seconds(60));
    const std::size_t before = network.deathEvents();
    network.connected = [](std::size_t, std::size_t) {
        return true;
    };
    ASSERT_TRUE(network.runUntil([&] { return network.allSeeLiveMembers(30); }, seconds(30)));
    EXPECT_EQ(network.deathEvents(), before);
}

// Guards against a live member that is suspected and does not refute.
TEST(StateMachineTest, RefutesSuspicion)
{
    Network network(10);
    ASSERT_TRUE(network.runUntil([&] { return network.allSeeLiveMembers(10); }, seconds(15)));
    Member update = *memberOf(network.state(0), 4);
    update.state = MemberState::Suspect;
    network.announce(0, update);
    EXPECT_TRUE(network.runUntil(
        [&] {
            return network.allRunning([&](const MembershipState &state) {
                return state.self.instance == update.instance ? state.self.incarnation > update.incarnation
                                                              : memberOf(state, 4)->incarnation > update.incarnation;
            });
        },
        seconds(5)));
    EXPECT_EQ(network.deathEvents(), 0U);
}

// Guards against a process that declares other members dead when it resumes after a pause.
TEST(StateMachineTest, ResumedMemberDeclaresNoDeaths)
{
    Network network(10);
    ASSERT_TRUE(network.runUntil([&] { return network.allSeeLiveMembers(10); }, seconds(15)));
    network.stop(3);
    ASSERT_TRUE(network.runUntil([&] { return network.allSeeLiveMembers(9); }, seconds(10)));
    const std::size_t before = network.deathEvents();
    network.resume(3);
    EXPECT_TRUE(network.runUntil([&] { return network.allSeeLiveMembers(10); }, seconds(10)));
    EXPECT_EQ(network.deathEvents(), before);
}

// Guards against a restarted process that stays dead for the others because its previous run was declared dead.
TEST(StateMachineTest, RestartedMemberReplacesItsPredecessor)
{
    Network network(10);
    ASSERT_TRUE(network.runUntil([&] { return network.allSeeLiveMembers(10); }, seconds(15)));
    network.stop(5);
    ASSERT_TRUE(network.runUntil([&] { return network.allSeeLiveMembers(9); }, seconds(10)));
    network.restart(5, 2);
    EXPECT_TRUE(network.runUntil([&] { return network.allSeeLiveMembers(10); }, seconds(10)));
}

// Guards against a graceful leave that other members handle as a crash or receive late.
TEST(StateMachineTest, LeaveIsGossipedWithoutSuspicion)
{
    Network network(50);
    ASSERT_TRUE(network.runUntil([&] { return network.allSeeLiveMembers(50); }, seconds(15)));
    network.leave(9);
    EXPECT_TRUE(network.runUntil([&] { return network.allSeeLiveMembers(49); }, seconds(2)));
    EXPECT_EQ(memberOf(network.state(0), 9)->state, MemberState::Left);
    EXPECT_EQ(network.deathEvents(), 0U);
}

// Guards against items that reach only some members or arrive late, and against a stale item that replaces a newer one.
TEST(StateMachineTest, GossipsItemsToAllMembers)
{
    Network network(50);
    ASSERT_TRUE(network.runUntil([&] { return network.allSeeLiveMembers(50); }, seconds(15)));
    network.announce(1, ConfigurationRevision {41});
    network.announce(2, ConfigurationRevision {40});
    network.announce(3, LeavingEndpoint {.endpoint = support::EndpointId("runner"), .version = 1, .incarnation = 4, .timeToLive = seconds(60)});
    network.announce(4, QuarantinedFingerprint {.fingerprint = 99, .crashes = 2, .timeToLive = seconds(60)});
    network.announce(5, QuarantinedFingerprint {.fingerprint = 99, .crashes = 1, .timeToLive = seconds(60)});
    const auto spread = network.runUntil(
        [&] {
            return network.allRunning([](const MembershipState &state) {
                const auto quarantined = state.quarantinedFingerprints.find(99);
                return state.configurationRevision == 41 && isLeaving(state, support::EndpointId("runner"), 4)
                    && quarantined != state.quarantinedFingerprints.end() && quarantined->second.version == 2;
            });
        },
        seconds(10));
    ASSERT_TRUE(spread);
    EXPECT_LE(*spread, seconds(3));
    EXPECT_FALSE(isLeaving(network.state(9), support::EndpointId("runner"), 5)) << "a restarted endpoint is not leaving";
    network.announce(6, LeavingEndpoint {.endpoint = support::EndpointId("runner"), .version = 0, .incarnation = 5, .timeToLive = seconds(60)});
    EXPECT_TRUE(network.runUntil(
        [&] { return network.allRunning([](const MembershipState &state) { return isLeaving(state, support::EndpointId("runner"), 5); }); }, seconds(10)))
        << "a later announcement of a router whose clock is behind is lost";
    network.runFor(seconds(70));
    EXPECT_TRUE(network.allRunning([](const MembershipState &state) { return state.leavingEndpoints.empty() && state.quarantinedFingerprints.empty(); }))
        << "forwarded items must expire after their time to live";
}

// Guards against an old pool load that replaces a newer one, including after the owner has changed.
TEST(StateMachineTest, NewestPoolLoadWins)
{
    Network network(10);
    ASSERT_TRUE(network.runUntil([&] { return network.allSeeLiveMembers(10); }, seconds(15)));
    PoolLoad load {.dataCentre = support::DataCentreId("even"), .pool = support::PoolId("model"), .version = 100, .freeSlots = 1};
    network.announce(1, load);
    const auto allHaveFreeSlots = [&network](std::uint32_t freeSlots) {
        return network.allRunning([freeSlots](const MembershipState &state) {
            const auto loads = poolLoads(state, support::PoolId("model"));
            return loads.size() == 1 && loads[0].freeSlots == freeSlots;
        });
    };
    ASSERT_TRUE(network.runUntil([&] { return allHaveFreeSlots(1); }, seconds(10)));
    load.version = 50;
    load.freeSlots = 2;
    network.announce(2, load);
    EXPECT_TRUE(network.runUntil([&] { return allHaveFreeSlots(2); }, seconds(10)));
}

// Guards against gossip that does not terminate: an idle group may only send probes and digests.
TEST(StateMachineTest, TrafficIsBounded)
{
    Network network(50);
    ASSERT_TRUE(network.runUntil([&] { return network.allSeeLiveMembers(50); }, seconds(15)));
    network.runFor(seconds(60));
    const MembershipCounters before = network.state(10).counters;
    network.runFor(seconds(60));
    const MembershipCounters after = network.state(10).counters;
    EXPECT_LT(after.datagramsSent - before.datagramsSent, 60U * 6U);
    EXPECT_LT(after.bytesSent - before.bytesSent, 60U * 1'000U);
}

// Guards against a malformed datagram that changes the state or is not counted.
TEST(StateMachineTest, CountsMalformedDatagram)
{
    RandomEngine random(1);
    const TimePoint now {seconds(1)};
    MembershipState state = createState({.self = {.instance = support::InstanceId("a")}}, now, random);
    const std::vector<std::uint8_t> garbage(100, 0xff);
    EXPECT_TRUE(receive(state, {}, garbage, now, random).datagrams.empty());
    EXPECT_EQ(state.counters.malformed, 1U);
    EXPECT_TRUE(state.members.empty());
}

} // namespace mulberrywall::membership
