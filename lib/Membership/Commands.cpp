#include "Tables.h"

#include <algorithm>

namespace mulberrywall::membership
{

namespace
{

constexpr std::size_t maxParallelJoinAttempts = 3;
constexpr std::size_t leaveNotificationFanout = 8;

bool hasUrgentItems(const MembershipState &state)
{
    return !areUrgentItemsSent(state);
}

/// Returns up to count random live members, without the excluded one.
std::vector<Member> pickLiveMembers(const MembershipState &state, std::size_t count, const support::InstanceId &excluded, RandomEngine &random)
{
    std::vector<Member> live;
    for (const auto &[instance, record] : state.members) {
        if (isLive(record.member.state) && instance != excluded) {
            live.push_back(record.member);
        }
    }
    std::vector<Member> picked;
    std::sample(live.begin(), live.end(), std::back_inserter(picked), count, random);
    return picked;
}

/// Returns the seeds and the addresses of dead members at which no member is live. Contacting them joins the group at
/// startup and merges it again after a partition.
std::vector<SocketAddress> joinAddresses(const MembershipState &state)
{
    std::vector<SocketAddress> addresses = state.options.seeds;
    for (const auto &[instance, record] : state.members) {
        if (record.member.state == MemberState::Dead) {
            addresses.push_back(record.member.address);
        }
    }
    std::erase_if(addresses, [&state](const SocketAddress &address) {
        return address == state.self.address || std::any_of(state.members.begin(), state.members.end(), [&address](const auto &entry) {
            return isLive(entry.second.member.state) && entry.second.member.address == address;
        });
    });
    return addresses;
}

void sendDigest(MembershipState &state, const SocketAddress &to, const support::InstanceId &receiver, MessageType type, CommandOutput &output)
{
    const GossipItem self = state.self;
    sendMessage(state, to, receiver, {.type = type, .digest = makeDigest(state)}, std::span(&self, 1), output);
}

void startExchange(MembershipState &state, TimePoint now, RandomEngine &random, CommandOutput &output)
{
    const std::vector<Member> live = pickLiveMembers(state, 1, state.self.instance, random);
    for (const Member &member : live) {
        sendDigest(state, member.address, member.instance, MessageType::Digest, output);
    }
    const std::vector<SocketAddress> candidates = joinAddresses(state);
    std::vector<SocketAddress> contacted;
    std::sample(candidates.begin(), candidates.end(), std::back_inserter(contacted), live.empty() ? maxParallelJoinAttempts : 1, random);
    for (const SocketAddress &address : contacted) {
        const auto dead = std::find_if(state.members.begin(), state.members.end(), [&address](const auto &entry) {
            return entry.second.member.state == MemberState::Dead && entry.second.member.address == address;
        });
        sendDigest(state, address, dead == state.members.end() ? support::InstanceId() : dead->first, MessageType::Digest, output);
    }
    const auto interval = state.lastExchangeDiffered || live.empty() ? state.options.differingExchangeInterval : state.options.exchangeInterval;
    state.lastExchangeDiffered = false;
    state.nextExchange = now + interval + interval * static_cast<int>(random() % 21) / 100;
}

/// Returns the next live member to probe, or null if there is none. Each round visits all members in a random order.
const Member *nextProbeTarget(MembershipState &state, RandomEngine &random)
{
    for (int round = 0; round < 2; ++round) {
        while (!state.probeOrder.empty()) {
            const auto found = state.members.find(state.probeOrder.back());
            state.probeOrder.pop_back();
            if (found != state.members.end() && isLive(found->second.member.state)) {
                return &found->second.member;
            }
        }
        for (const auto &[instance, record] : state.members) {
            if (isLive(record.member.state)) {
                state.probeOrder.push_back(instance);
            }
        }
        std::shuffle(state.probeOrder.begin(), state.probeOrder.end(), random);
    }
    return nullptr;
}

void sendProbe(MembershipState &state, const SocketAddress &to, const support::InstanceId &target, std::uint32_t sequence, CommandOutput &output)
{
    sendMessage(state, to, target, {.type = MessageType::Probe, .sequence = sequence, .target = target}, {}, output);
}

void expireProbe(MembershipState &state, TimePoint now, CommandOutput &output)
{
    if (!state.probe) {
        return;
    }
    const auto found = state.members.find(state.probe->target);
    state.probe.reset();
    if (found != state.members.end() && found->second.member.state == MemberState::Alive) {
        setMemberState(state, found->second, MemberState::Suspect, now, output);
    }
}

void startProbe(MembershipState &state, TimePoint now, RandomEngine &random, CommandOutput &output)
{
    const Member *target = nextProbeTarget(state, random);
    if (target == nullptr) {
        return;
    }
    state.probe = MembershipState::PendingProbe {.sequence = ++state.lastSequence, .target = target->instance, .sentAt = now};
    sendProbe(state, target->address, target->instance, state.lastSequence, output);
}

void requestIndirectProbes(MembershipState &state, RandomEngine &random, CommandOutput &output)
{
    state.probe->indirectSent = true;
    const auto target = state.members.find(state.probe->target);
    if (target == state.members.end()) {
        return;
    }
    const Message request {
        .type = MessageType::ProbeRequest, .sequence = state.probe->sequence, .target = target->first, .targetAddress = target->second.member.address};
    for (const Member &helper : pickLiveMembers(state, state.options.indirectProbes, target->first, random)) {
        sendMessage(state, helper.address, helper.instance, request, {}, output);
    }
}

void expireSuspicions(MembershipState &state, TimePoint now, CommandOutput &output)
{
    const auto duration = state.options.probeInterval * state.options.suspicionPeriods;
    for (auto &[instance, record] : state.members) {
        if (record.member.state == MemberState::Suspect && record.changedAt + duration <= now) {
            setMemberState(state, record, MemberState::Dead, now, output);
        }
    }
}

/// Cancels pending probes and restarts the suspicion timeouts. A process that was paused has missed acknowledgements and
/// refutations, so that its timeouts say nothing about the other members.
void restartSuspicionsAfterPause(MembershipState &state, TimePoint now)
{
    state.probe.reset();
    state.relayedProbes.clear();
    for (auto &[instance, record] : state.members) {
        if (record.member.state == MemberState::Suspect) {
            record.changedAt = now;
        }
    }
}

void sendAcknowledgement(MembershipState &state,
    const SocketAddress &to,
    const support::InstanceId &receiver,
    std::uint32_t sequence,
    const support::InstanceId &target,
    CommandOutput &output)
{
    sendMessage(state, to, receiver, {.type = MessageType::Acknowledgement, .sequence = sequence, .target = target}, {}, output);
}

void relayProbe(MembershipState &state, const SocketAddress &from, const Message &message, TimePoint now, CommandOutput &output)
{
    state.relayedProbes.push_back({.sequence = ++state.lastSequence,
        .requesterSequence = message.sequence,
        .requester = from,
        .target = message.target,
        .expiresAt = now + state.options.probeInterval});
    sendProbe(state, message.targetAddress, message.target, state.lastSequence, output);
}

void handleAcknowledgement(MembershipState &state, const Message &message, CommandOutput &output)
{
    if (state.probe && state.probe->sequence == message.sequence && state.probe->target == message.target) {
        state.probe.reset();
        return;
    }
    const auto relayed = std::find_if(state.relayedProbes.begin(), state.relayedProbes.end(), [&message](const MembershipState::RelayedProbe &probe) {
        return probe.sequence == message.sequence && probe.target == message.target;
    });
    if (relayed == state.relayedProbes.end()) {
        return;
    }
    const MembershipState::RelayedProbe probe = *relayed;
    state.relayedProbes.erase(relayed);
    sendAcknowledgement(state, probe.requester, support::InstanceId(), probe.requesterSequence, probe.target, output);
}

void handleDigest(MembershipState &state, const SocketAddress &from, const Message &message, TimePoint now, RandomEngine &random, CommandOutput &output)
{
    const Digest own = makeDigest(state);
    if (own == message.digest) {
        return;
    }
    ++state.counters.differingExchanges;
    sendDifferingItems(state, from, own, message.digest, now, random, output);
    if (message.type == MessageType::Digest) {
        sendDigest(state, from, message.sender, MessageType::DigestResponse, output);
        return;
    }
    state.lastExchangeDiffered = true;
}

} // namespace

MembershipState createState(const MembershipOptions &options, TimePoint now, RandomEngine &random)
{
    MembershipState state;
    state.options = options;
    state.self = options.self;
    state.self.state = MemberState::Alive;
    // A random phase prevents members that start at the same time from probing at the same time.
    state.nextProbe = now + options.probeInterval * static_cast<int>(random() % 100) / 100;
    state.nextGossip = now;
    state.nextExchange = now;
    state.lastAdvance = now;
    enqueue(state, state.self);
    return state;
}

CommandOutput advance(MembershipState &state, TimePoint now, RandomEngine &random)
{
    CommandOutput output;
    state.now = now;
    if (now - state.lastAdvance > 2 * state.options.probeInterval) {
        restartSuspicionsAfterPause(state, now);
    }
    state.lastAdvance = now;
    expireItems(state, now);
    expireSuspicions(state, now, output);
    std::erase_if(state.relayedProbes, [now](const MembershipState::RelayedProbe &probe) { return probe.expiresAt <= now; });
    if (now >= state.nextProbe) {
        expireProbe(state, now, output);
        state.nextProbe = std::max(state.nextProbe + state.options.probeInterval, now + state.options.probeInterval / 2);
        startProbe(state, now, random, output);
    }
    if (state.probe && !state.probe->indirectSent && now >= state.probe->sentAt + state.options.probeTimeout) {
        requestIndirectProbes(state, random, output);
    }
    if (now >= state.nextGossip && hasUrgentItems(state)) {
        state.nextGossip = now + state.options.gossipInterval;
        for (const Member &member : pickLiveMembers(state, state.options.gossipFanout, state.self.instance, random)) {
            sendMessage(state, member.address, member.instance, {.type = MessageType::Gossip}, {}, output);
        }
    }
    if (now >= state.nextExchange) {
        startExchange(state, now, random, output);
    }
    return output;
}

CommandOutput receive(MembershipState &state, const SocketAddress &from, std::span<const std::uint8_t> payload, TimePoint now, RandomEngine &random)
{
    CommandOutput output;
    state.now = now;
    ++state.counters.datagramsReceived;
    state.counters.bytesReceived += payload.size();
    const auto message = decodeMessage(payload);
    if (!message) {
        ++state.counters.malformed;
        return output;
    }
    const ItemSource source = message->type == MessageType::Items ? ItemSource::Exchange : ItemSource::Gossip;
    for (const GossipItem &item : message->items) {
        applyItem(state, item, source, now, output);
    }
    switch (message->type) {
    case MessageType::Probe:
        // The address may have been reassigned, so that the probe is meant for another router.
        if (message->target == state.self.instance) {
            sendAcknowledgement(state, from, message->sender, message->sequence, state.self.instance, output);
        }
        break;
    case MessageType::Acknowledgement:
        handleAcknowledgement(state, *message, output);
        break;
    case MessageType::ProbeRequest:
        relayProbe(state, from, *message, now, output);
        break;
    case MessageType::Digest:
    case MessageType::DigestResponse:
        handleDigest(state, from, *message, now, random, output);
        break;
    case MessageType::Gossip:
    case MessageType::Items:
        break;
    }
    return output;
}

CommandOutput announce(MembershipState &state, GossipItem item, TimePoint now)
{
    CommandOutput output;
    state.now = now;
    if (auto *load = std::get_if<PoolLoad>(&item)) {
        const auto existing = state.poolLoads.find({load->dataCentre, load->pool});
        if (existing != state.poolLoads.end()) {
            load->version = std::max(load->version, std::min(existing->second.load.version + 1, highestVersion));
        }
    }
    if (auto *leaving = std::get_if<LeavingEndpoint>(&item)) {
        // The version is a wall-clock time. A router that adds the incarnation to the announcement of another router may
        // have a clock that is behind.
        const auto existing = state.leavingEndpoints.find(leaving->endpoint);
        if (existing != state.leavingEndpoints.end()) {
            leaving->version = std::max(leaving->version, existing->second.version + 1);
        }
    }
    applyItem(state, item, ItemSource::Gossip, now, output);
    return output;
}

CommandOutput leave(MembershipState &state, TimePoint now, RandomEngine &random)
{
    CommandOutput output;
    state.now = now;
    if (state.self.state == MemberState::Left) {
        return output;
    }
    state.self.state = MemberState::Left;
    enqueue(state, state.self);
    output.events.emplace_back(state.self);
    for (const Member &member : pickLiveMembers(state, leaveNotificationFanout, state.self.instance, random)) {
        sendMessage(state, member.address, member.instance, {.type = MessageType::Gossip}, {}, output);
    }
    state.nextGossip = now + state.options.gossipInterval;
    return output;
}

} // namespace mulberrywall::membership
