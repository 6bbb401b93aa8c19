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

/// Minimum extension of the expiry time for which a repeated announcement is disseminated again.
constexpr std::chrono::seconds significantExtension {60};

bool isUrgent(const GossipItem &item)
{
    return !std::holds_alternative<PoolLoad>(item);
}

bool haveSameKey(const Member &left, const Member &right)
{
    return left.instance == right.instance;
}

bool haveSameKey(const ConfigurationRevision &, const ConfigurationRevision &)
{
    return true;
}

bool haveSameKey(const LeavingEndpoint &left, const LeavingEndpoint &right)
{
    return left.endpoint == right.endpoint;
}

bool haveSameKey(const QuarantinedFingerprint &left, const QuarantinedFingerprint &right)
{
    return left.fingerprint == right.fingerprint;
}

bool haveSameKey(const PoolLoad &left, const PoolLoad &right)
{
    return left.dataCentre == right.dataCentre && left.pool == right.pool;
}

bool haveSameKey(const GossipItem &left, const GossipItem &right)
{
    return left.index() == right.index()
        && std::visit([&right](const auto &value) { return haveSameKey(value, std::get<std::decay_t<decltype(value)>>(right)); }, left);
}

unsigned transmissionLimit(const MembershipState &state)
{
    const auto live = std::count_if(state.members.begin(), state.members.end(), [](const auto &entry) { return isLive(entry.second.member.state); });
    return 3U * static_cast<unsigned>(std::bit_width(static_cast<std::size_t>(live) + 1));
}

void publishChange(MembershipState &state, const GossipItem &item, CommandOutput &output)
{
    output.events.push_back(item);
    enqueue(state, item);
}

void applyUpdateAboutSelf(MembershipState &state, const Member &update, CommandOutput &output)
{
    if (state.self.state == MemberState::Left || update.incarnation < state.self.incarnation
        || (update.incarnation == state.self.incarnation && update.state == MemberState::Alive)) {
        return;
    }
    state.self.incarnation = std::min(update.incarnation + 1, highestVersion);
    ++state.counters.refutations;
    publishChange(state, state.self, output);
}

void addMember(MembershipState &state, const Member &member, TimePoint now, CommandOutput &output)
{
    // Members that are dead or have left and have no record here are ignored: recording them would gossip old deaths
    // without end.
    if (!isLive(member.state) || state.members.size() >= state.options.maxMembers) {
        return;
    }
    state.members.emplace(member.instance, MembershipState::MemberRecord {.member = member, .changedAt = now});
    state.probeOrder.push_back(member.instance);
    publishChange(state, member, output);
}

/// Sends an update that declares a member dead to that member, which makes it refute, and probes the member next.
///
/// After a partition each side has recorded the other side's members as dead. Applying such an update would mark live
/// members as dead everywhere.
void requestRefutation(MembershipState &state, const Member &update, const Member &existing, CommandOutput &output)
{
    const GossipItem item = update;
    sendMessage(state, existing.address, support::InstanceId(), {.type = MessageType::Gossip}, std::span(&item, 1), output);
    state.probeOrder.push_back(existing.instance);
}

void apply(MembershipState &state, const Member &update, ItemSource source, TimePoint now, CommandOutput &output)
{
    if (update.instance == state.self.instance) {
        applyUpdateAboutSelf(state, update, output);
        return;
    }
    const auto found = state.members.find(update.instance);
    if (found == state.members.end()) {
        addMember(state, update, now, output);
        return;
    }
    Member &existing = found->second.member;
    if (std::tie(update.incarnation, update.state) <= std::tie(existing.incarnation, existing.state)) {
        return;
    }
    if (source == ItemSource::Exchange && update.state == MemberState::Dead && isLive(existing.state)) {
        requestRefutation(state, update, existing, output);
        return;
    }
    if (!isLive(existing.state) && isLive(update.state)) {
        state.probeOrder.push_back(update.instance);
    }
    existing = update;
    found->second.changedAt = now;
    publishChange(state, existing, output);
}

void apply(MembershipState &state, const ConfigurationRevision &item, ItemSource, TimePoint, CommandOutput &output)
{
    if (item.revision <= state.configurationRevision) {
        return;
    }
    state.configurationRevision = item.revision;
    publishChange(state, item, output);
}

/// Stores the item if it is newer than the stored one. Returns whether it was stored.
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
    MembershipState::ExpiringItem &existing = found->second;
    if (item.version > existing.version || (item.version == existing.version && item.expiresAt > existing.expiresAt + significantExtension)) {
        existing = item;
        return true;
    }
    return false;
}

void apply(MembershipState &state, const LeavingEndpoint &item, ItemSource, TimePoint now, CommandOutput &output)
{
    const MembershipState::ExpiringItem expiring {.version = item.version, .incarnation = item.incarnation, .expiresAt = now + item.timeToLive};
    if (applyExpiring(state, state.leavingEndpoints, item.endpoint, expiring, now)) {
        publishChange(state, item, output);
    }
}

void apply(MembershipState &state, const QuarantinedFingerprint &item, ItemSource, TimePoint now, CommandOutput &output)
{
    const MembershipState::ExpiringItem expiring {.version = item.crashes, .expiresAt = now + item.timeToLive};
    if (applyExpiring(state, state.quarantinedFingerprints, item.fingerprint, expiring, now)) {
        publishChange(state, item, output);
    }
}

void apply(MembershipState &state, const PoolLoad &item, ItemSource, TimePoint now, CommandOutput &output)
{
    const auto key = std::pair(item.dataCentre, item.pool);
    const auto found = state.poolLoads.find(key);
    const bool isExisting = found != state.poolLoads.end();
    if (isExisting ? found->second.load.version >= item.version : state.poolLoads.size() >= state.options.maxItemsPerType) {
        return;
    }
    state.poolLoads[key] = {.load = item, .receivedAt = now};
    publishChange(state, item, output);
}

std::uint64_t hashOf(std::string_view itemKey, std::uint64_t version, std::uint64_t seed)
{
    return XXH64(itemKey.data(), itemKey.size(), seed * 0x9e3779b97f4a7c15ULL + version);
}

std::size_t bucketOf(std::string_view itemKey)
{
    return XXH64(itemKey.data(), itemKey.size(), 0) % digestBuckets;
}

std::chrono::seconds remainingTimeToLive(const MembershipState::ExpiringItem &item, TimePoint now)
{
    // Rounding down ensures that an item that members forward to each other expires eventually. An expired item that is
    // not yet removed gets 0: a negative time would be decoded as a very long one.
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
                LeavingEndpoint {.endpoint = endpoint, .version = item.version, .incarnation = item.incarnation, .timeToLive = remainingTimeToLive(item, now)});
        }
    }
    for (const auto &[fingerprint, item] : state.quarantinedFingerprints) {
        if (fingerprint % digestBuckets == bucket) {
            items.emplace_back(QuarantinedFingerprint {
                .fingerprint = fingerprint, .crashes = static_cast<std::uint32_t>(item.version), .timeToLive = remainingTimeToLive(item, now)});
        }
    }
    return items;
}

void emitDatagram(MembershipState &state, const SocketAddress &to, std::vector<std::uint8_t> payload, CommandOutput &output)
{
    ++state.counters.datagramsSent;
    state.counters.bytesSent += payload.size();
    output.datagrams.push_back({.to = to, .payload = std::move(payload)});
}

/// Returns the item with its remaining time to live, or nothing if it was removed after its expiry.
std::optional<GossipItem> withRemainingTimeToLive(const MembershipState &state, const GossipItem &item)
{
    if (const auto *leaving = std::get_if<LeavingEndpoint>(&item)) {
        const auto existing = state.leavingEndpoints.find(leaving->endpoint);
        if (existing == state.leavingEndpoints.end()) {
            return std::nullopt;
        }
        return LeavingEndpoint {.endpoint = leaving->endpoint,
            .version = existing->second.version,
            .incarnation = existing->second.incarnation,
            .timeToLive = remainingTimeToLive(existing->second, state.now)};
    }
    if (const auto *quarantined = std::get_if<QuarantinedFingerprint>(&item)) {
        const auto existing = state.quarantinedFingerprints.find(quarantined->fingerprint);
        if (existing == state.quarantinedFingerprints.end()) {
            return std::nullopt;
        }
        return QuarantinedFingerprint {.fingerprint = quarantined->fingerprint,
            .crashes = static_cast<std::uint32_t>(existing->second.version),
            .timeToLive = remainingTimeToLive(existing->second, state.now)};
    }
    return item;
}

/// Fills the rest of a datagram with queued items: pool loads last, and within each group the least often sent first.
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
        const auto item = withRemainingTimeToLive(state, queued.item);
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
        = std::find_if(state.queue.begin(), state.queue.end(), [&item](const MembershipState::QueuedItem &queued) { return haveSameKey(queued.item, item); });
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
    publishChange(state, record.member, output);
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
    const auto add = [&digest](std::string_view itemKey, std::uint64_t version, const auto &kind) {
        digest[bucketOf(itemKey)] ^= hashOf(itemKey, version, kind);
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
    // The first bucket is random, so that exchanges of a bounded size eventually cover all buckets.
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
                emitDatagram(state, to, std::move(payload), output);
                payload = newPayload();
                ++datagrams;
                appendItem(payload, item, state.options.maxDatagramBytes);
            }
            empty = false;
        }
    }
    if (!empty) {
        emitDatagram(state, to, std::move(payload), output);
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
    emitDatagram(state, to, std::move(payload), output);
}

} // namespace mulberrywall::membership
