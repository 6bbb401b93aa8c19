#include "Tables.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <numeric>
#include <string>
#include <tuple>

namespace mulberrywall::membership
{

namespace
{

/// A repeated announcement counts as a change only when it prolongs the item by more than this.
constexpr std::chrono::seconds significantExtension {60};

bool isUrgent(const GossipItem &item)
{
    return !std::holds_alternative<PoolLoad>(item);
}

bool sameSubject(const Member &left, const Member &right)
{
    return left.instance == right.instance;
}

bool sameSubject(const ConfigurationRevision &, const ConfigurationRevision &)
{
    return true;
}

bool sameSubject(const LeavingEndpoint &left, const LeavingEndpoint &right)
{
    return left.endpoint == right.endpoint;
}

bool sameSubject(const QuarantinedFingerprint &left, const QuarantinedFingerprint &right)
{
    return left.fingerprint == right.fingerprint;
}

bool sameSubject(const PoolLoad &left, const PoolLoad &right)
{
    return left.dataCentre == right.dataCentre && left.pool == right.pool;
}

bool sameSubject(const GossipItem &left, const GossipItem &right)
{
    return left.index() == right.index()
        && std::visit([&right](const auto &value) { return sameSubject(value, std::get<std::decay_t<decltype(value)>>(right)); }, left);
}

unsigned transmissionLimit(const MembershipState &state)
{
    const auto live = std::count_if(state.members.begin(), state.members.end(), [](const auto &entry) { return isLive(entry.second.member.state); });
    return 3U * static_cast<unsigned>(std::bit_width(static_cast<std::size_t>(live) + 1));
}

void report(MembershipState &state, const GossipItem &item, CommandOutput &output)
{
    output.events.push_back(item);
    enqueue(state, item);
}

void applySelf(MembershipState &state, const Member &claim, CommandOutput &output)
{
    if (state.self.state == MemberState::Left || claim.incarnation < state.self.incarnation
        || (claim.incarnation == state.self.incarnation && claim.state == MemberState::Alive)) {
        return;
    }
    state.self.incarnation = std::min(claim.incarnation + 1, highestVersion);
    ++state.counters.refutations;
    report(state, state.self, output);
}

void addMember(MembershipState &state, const Member &member, TimePoint now, CommandOutput &output)
{
    // The death of a member that was never known here concerns nobody; keeping it would spread old deaths for ever.
    if (!isLive(member.state) || state.members.size() >= state.options.maxMembers) {
        return;
    }
    state.members.emplace(member.instance, MembershipState::MemberRecord {.member = member, .changedAt = now});
    state.probeOrder.push_back(member.instance);
    report(state, member, output);
}

/// After a partition each side holds the other one for dead. Believing that would mark live members dead everywhere,
/// so the member is told, which makes it refute, and is probed next.
void verifyDeath(MembershipState &state, const Member &claim, const Member &known, CommandOutput &output)
{
    const GossipItem item = claim;
    sendMessage(state, known.address, support::InstanceId(), {.type = MessageType::Gossip}, std::span(&item, 1), output);
    state.probeOrder.push_back(known.instance);
}

void apply(MembershipState &state, const Member &claim, ItemSource source, TimePoint now, CommandOutput &output)
{
    if (claim.instance == state.self.instance) {
        applySelf(state, claim, output);
        return;
    }
    const auto found = state.members.find(claim.instance);
    if (found == state.members.end()) {
        addMember(state, claim, now, output);
        return;
    }
    Member &known = found->second.member;
    if (std::tie(claim.incarnation, claim.state) <= std::tie(known.incarnation, known.state)) {
        return;
    }
    if (source == ItemSource::Exchange && claim.state == MemberState::Dead && isLive(known.state)) {
        verifyDeath(state, claim, known, output);
        return;
    }
    if (!isLive(known.state) && isLive(claim.state)) {
        state.probeOrder.push_back(claim.instance);
    }
    known = claim;
    found->second.changedAt = now;
    report(state, known, output);
}

void apply(MembershipState &state, const ConfigurationRevision &item, ItemSource, TimePoint, CommandOutput &output)
{
    if (item.revision <= state.configurationRevision) {
        return;
    }
    state.configurationRevision = item.revision;
    report(state, item, output);
}

/// Returns whether the item changes what is known.
template <typename Key>
bool applyExpiring(
    const MembershipState &state, std::map<Key, MembershipState::ExpiringItem> &items, const Key &key, const MembershipState::ExpiringItem &item, TimePoint now)
{
    if (item.expiresAt <= now) {
        return false;
    }
    const auto found = items.find(key);
    if (found == items.end()) {
        return items.size() < state.options.maxItemsPerType && items.emplace(key, item).second;
    }
    MembershipState::ExpiringItem &known = found->second;
    if (item.version > known.version || (item.version == known.version && item.expiresAt > known.expiresAt + significantExtension)) {
        known = item;
        return true;
    }
    return false;
}

void apply(MembershipState &state, const LeavingEndpoint &item, ItemSource, TimePoint now, CommandOutput &output)
{
    const MembershipState::ExpiringItem expiring {.version = item.version, .incarnation = item.incarnation, .expiresAt = now + item.timeToLive};
    if (applyExpiring(state, state.leavingEndpoints, item.endpoint, expiring, now)) {
        report(state, item, output);
    }
}

void apply(MembershipState &state, const QuarantinedFingerprint &item, ItemSource, TimePoint now, CommandOutput &output)
{
    const MembershipState::ExpiringItem expiring {.version = item.crashes, .expiresAt = now + item.timeToLive};
    if (applyExpiring(state, state.quarantinedFingerprints, item.fingerprint, expiring, now)) {
        report(state, item, output);
    }
}

void apply(MembershipState &state, const PoolLoad &item, ItemSource, TimePoint now, CommandOutput &output)
{
    const auto key = std::pair(item.dataCentre, item.pool);
    const auto found = state.poolLoads.find(key);
    const bool known = found != state.poolLoads.end();
    if (known ? found->second.load.version >= item.version : state.poolLoads.size() >= state.options.maxItemsPerType) {
        return;
    }
    state.poolLoads[key] = {.load = item, .receivedAt = now};
    report(state, item, output);
}

std::uint64_t hashOf(std::string_view subject, std::uint64_t version, std::uint64_t seed)
{
    return XXH64(subject.data(), subject.size(), seed * 0x9e3779b97f4a7c15ULL + version);
}

std::size_t bucketOf(std::string_view subject)
{
    return XXH64(subject.data(), subject.size(), 0) % digestBuckets;
}

std::chrono::seconds remaining(const MembershipState::ExpiringItem &item, TimePoint now)
{
    // Rounds down, so that an item that is passed around cannot live for ever. One that has expired and is not yet
    // removed has no time left; a negative time would be read as a very long one.
    return std::max(std::chrono::floor<std::chrono::seconds>(item.expiresAt - now), std::chrono::seconds(0));
}

std::vector<GossipItem> itemsOfBucket(const MembershipState &state, std::size_t bucket, TimePoint now)
{
    std::vector<GossipItem> items;
    if (bucketOf(state.self.instance.value()) == bucket) {
        items.emplace_back(state.self);
    }
    for (const auto &[instance, record] : state.members) {
        if (bucketOf(instance.value()) == bucket) {
            items.emplace_back(record.member);
        }
    }
    if (bucket == 0 && state.configurationRevision != 0) {
        items.emplace_back(ConfigurationRevision {state.configurationRevision});
    }
    for (const auto &[endpoint, item] : state.leavingEndpoints) {
        if (bucketOf(endpoint.value()) == bucket) {
            items.emplace_back(
                LeavingEndpoint {.endpoint = endpoint, .version = item.version, .incarnation = item.incarnation, .timeToLive = remaining(item, now)});
        }
    }
    for (const auto &[fingerprint, item] : state.quarantinedFingerprints) {
        if (fingerprint % digestBuckets == bucket) {
            items.emplace_back(
                QuarantinedFingerprint {.fingerprint = fingerprint, .crashes = static_cast<std::uint32_t>(item.version), .timeToLive = remaining(item, now)});
        }
    }
    return items;
}

void finishDatagram(MembershipState &state, const SocketAddress &to, std::vector<std::uint8_t> payload, CommandOutput &output)
{
    ++state.counters.datagramsSent;
    state.counters.bytesSent += payload.size();
    output.datagrams.push_back({.to = to, .payload = std::move(payload)});
}

/// Returns the item with the time that is left for it, or nothing when it has expired.
std::optional<GossipItem> withRemainingTime(const MembershipState &state, const GossipItem &item)
{
    if (const auto *leaving = std::get_if<LeavingEndpoint>(&item)) {
        const auto known = state.leavingEndpoints.find(leaving->endpoint);
        if (known == state.leavingEndpoints.end()) {
            return std::nullopt;
        }
        return LeavingEndpoint {.endpoint = leaving->endpoint,
            .version = known->second.version,
            .incarnation = known->second.incarnation,
            .timeToLive = remaining(known->second, state.now)};
    }
    if (const auto *suspect = std::get_if<QuarantinedFingerprint>(&item)) {
        const auto known = state.quarantinedFingerprints.find(suspect->fingerprint);
        if (known == state.quarantinedFingerprints.end()) {
            return std::nullopt;
        }
        return QuarantinedFingerprint {.fingerprint = suspect->fingerprint,
            .crashes = static_cast<std::uint32_t>(known->second.version),
            .timeToLive = remaining(known->second, state.now)};
    }
    return item;
}

/// Fills the rest of a datagram with queued items: urgent ones first, then those that were sent least often.
void appendQueued(MembershipState &state, std::vector<std::uint8_t> &payload)
{
    if (state.queue.empty()) {
        return;
    }
    // Sorts positions, since moving the items costs more than comparing them.
    std::vector<std::size_t> order(state.queue.size());
    std::iota(order.begin(), order.end(), 0U);
    std::stable_sort(order.begin(), order.end(), [&queue = state.queue](std::size_t left, std::size_t right) {
        return std::pair(!isUrgent(queue[left].item), queue[left].transmissions) < std::pair(!isUrgent(queue[right].item), queue[right].transmissions);
    });
    const unsigned limit = transmissionLimit(state);
    bool finished = false;
    for (const std::size_t position : order) {
        MembershipState::QueuedItem &queued = state.queue[position];
        const auto item = withRemainingTime(state, queued.item);
        if (!item) {
            queued.transmissions = limit;
            finished = true;
            continue;
        }
        if (!appendItem(payload, *item, state.options.maxDatagramBytes)) {
            break;
        }
        finished |= ++queued.transmissions >= limit;
    }
    if (finished) {
        std::erase_if(state.queue, [limit](const MembershipState::QueuedItem &queued) { return queued.transmissions >= limit; });
    }
}

} // namespace

void enqueue(MembershipState &state, const GossipItem &item)
{
    const auto found
        = std::find_if(state.queue.begin(), state.queue.end(), [&item](const MembershipState::QueuedItem &queued) { return sameSubject(queued.item, item); });
    if (found == state.queue.end()) {
        state.queue.push_back({.item = item});
        return;
    }
    *found = {.item = item};
}

void applyItem(MembershipState &state, const GossipItem &item, ItemSource source, TimePoint now, CommandOutput &output)
{
    std::visit([&](const auto &value) { apply(state, value, source, now, output); }, item);
}

void setMemberState(MembershipState &state, MembershipState::MemberRecord &record, MemberState memberState, TimePoint now, CommandOutput &output)
{
    record.member.state = memberState;
    record.changedAt = now;
    report(state, record.member, output);
}

void expireItems(MembershipState &state, TimePoint now)
{
    const auto expired = [now](const auto &entry) {
        return entry.second.expiresAt <= now;
    };
    std::erase_if(state.leavingEndpoints, expired);
    std::erase_if(state.quarantinedFingerprints, expired);
    std::erase_if(state.poolLoads, [&](const auto &entry) { return entry.second.receivedAt + state.options.loadLifetime <= now; });
    std::erase_if(
        state.members, [&](const auto &entry) { return !isLive(entry.second.member.state) && entry.second.changedAt + state.options.deadRetention <= now; });
}

Digest makeDigest(const MembershipState &state)
{
    Digest digest {};
    const auto add = [&digest](std::string_view subject, std::uint64_t version, const auto &kind) {
        digest[bucketOf(subject)] ^= hashOf(subject, version, kind);
    };
    if (isLive(state.self.state)) {
        add(state.self.instance.value(), state.self.incarnation, 1U);
    }
    for (const auto &[instance, record] : state.members) {
        if (isLive(record.member.state)) {
            add(instance.value(), record.member.incarnation, 1U);
        }
    }
    for (const auto &[endpoint, item] : state.leavingEndpoints) {
        add(endpoint.value(), item.version, 2U);
    }
    for (const auto &[fingerprint, item] : state.quarantinedFingerprints) {
        digest[fingerprint % digestBuckets] ^= hashOf(std::to_string(fingerprint), item.version, 3U);
    }
    digest[0] ^= hashOf("revision", state.configurationRevision, 4U);
    return digest;
}

void sendDifferingItems(
    MembershipState &state, const SocketAddress &to, const Digest &own, const Digest &other, TimePoint now, RandomEngine &random, CommandOutput &output)
{
    const auto newPayload = [&state] {
        return encodeMessage({.type = MessageType::Items, .sender = state.self.instance});
    };
    // Starts at a random bucket, so that a bounded exchange reaches all buckets in the end.
    const std::size_t start = random() % digestBuckets;
    std::vector<std::uint8_t> payload = newPayload();
    unsigned datagrams = 1;
    bool empty = true;
    for (std::size_t offset = 0; offset < digestBuckets && datagrams <= state.options.maxExchangeDatagrams; ++offset) {
        const std::size_t bucket = (start + offset) % digestBuckets;
        if (own[bucket] == other[bucket]) {
            continue;
        }
        for (const GossipItem &item : itemsOfBucket(state, bucket, now)) {
            if (!appendItem(payload, item, state.options.maxDatagramBytes)) {
                finishDatagram(state, to, std::move(payload), output);
                payload = newPayload();
                ++datagrams;
                appendItem(payload, item, state.options.maxDatagramBytes);
            }
            empty = false;
        }
    }
    if (!empty) {
        finishDatagram(state, to, std::move(payload), output);
    }
}

void sendMessage(MembershipState &state,
    const SocketAddress &to,
    const support::InstanceId &receiver,
    const Message &message,
    std::span<const GossipItem> first,
    CommandOutput &output)
{
    Message complete = message;
    complete.sender = state.self.instance;
    std::vector<std::uint8_t> payload = encodeMessage(complete);
    for (const GossipItem &item : first) {
        appendItem(payload, item, state.options.maxDatagramBytes);
    }
    const auto record = state.members.find(receiver);
    if (record != state.members.end() && record->second.member.state != MemberState::Alive) {
        appendItem(payload, record->second.member, state.options.maxDatagramBytes);
    }
    appendQueued(state, payload);
    finishDatagram(state, to, std::move(payload), output);
}

} // namespace mulberrywall::membership
