#include "Codec.h"

#include "mulberrywall/Support/BinaryFields.h"

#include <algorithm>

namespace mulberrywall::membership
{

namespace
{

/// Version of the encoding. Version 2 added the incarnation of leaving endpoints, version 3 the CPU share of members. A
/// member ignores datagrams of other versions.
constexpr std::uint8_t protocolVersion = 3;

class Writer : public support::FieldWriter
{
public:
    using support::FieldWriter::FieldWriter;

    void name(std::string_view text)
    {
        support::FieldWriter::name(text.substr(0, maxNameBytes));
    }
    void address(const SocketAddress &value)
    {
        bytes(value.ip);
        number(value.port);
    }
};

class Reader : public support::FieldReader
{
public:
    using support::FieldReader::FieldReader;

    std::string name()
    {
        return support::FieldReader::name(maxNameBytes);
    }
    SocketAddress address()
    {
        SocketAddress value;
        const auto field = take(value.ip.size());
        std::copy(field.begin(), field.end(), value.ip.begin());
        value.port = number<std::uint16_t>();
        return value;
    }
};

void write(Writer &writer, const Member &member)
{
    writer.name(member.instance.value());
    writer.name(member.dataCentre.value());
    writer.address(member.address);
    writer.address(member.peerAddress);
    writer.number(member.incarnation);
    writer.number(static_cast<std::uint8_t>(member.state));
    writer.number(member.processorPercent);
}

void write(Writer &writer, const ConfigurationRevision &item)
{
    writer.number(item.revision);
}

void write(Writer &writer, const LeavingEndpoint &item)
{
    writer.name(item.endpoint.value());
    writer.number(item.version);
    writer.number(item.incarnation);
    writer.number(static_cast<std::uint32_t>(item.timeToLive.count()));
}

void write(Writer &writer, const QuarantinedFingerprint &item)
{
    writer.number(item.fingerprint);
    writer.number(item.crashes);
    writer.number(static_cast<std::uint32_t>(item.timeToLive.count()));
}

void write(Writer &writer, const PoolLoad &item)
{
    writer.name(item.dataCentre.value());
    writer.name(item.pool.value());
    writer.number(item.version);
    writer.number(item.waiting);
    writer.number(item.running);
    writer.number(item.freeSlots);
    writer.number(item.endpoints);
}

Member readMember(Reader &reader)
{
    Member member;
    member.instance = support::InstanceId(reader.name());
    member.dataCentre = support::DataCentreId(reader.name());
    member.address = reader.address();
    member.peerAddress = reader.address();
    member.incarnation = reader.number<std::uint64_t>();
    const auto state = reader.number<std::uint8_t>();
    if (state > static_cast<std::uint8_t>(MemberState::Left) || member.instance.empty() || member.incarnation > highestVersion) {
        reader.fail();
        return member;
    }
    member.state = static_cast<MemberState>(state);
    member.processorPercent = reader.number<std::uint16_t>();
    return member;
}

LeavingEndpoint readLeavingEndpoint(Reader &reader)
{
    LeavingEndpoint item;
    item.endpoint = support::EndpointId(reader.name());
    item.version = reader.number<std::uint64_t>();
    item.incarnation = reader.number<std::uint64_t>();
    item.timeToLive = std::chrono::seconds(reader.number<std::uint32_t>());
    return item;
}

QuarantinedFingerprint readQuarantinedFingerprint(Reader &reader)
{
    QuarantinedFingerprint item;
    item.fingerprint = reader.number<std::uint64_t>();
    item.crashes = reader.number<std::uint32_t>();
    item.timeToLive = std::chrono::seconds(reader.number<std::uint32_t>());
    return item;
}

PoolLoad readPoolLoad(Reader &reader)
{
    PoolLoad item;
    item.dataCentre = support::DataCentreId(reader.name());
    item.pool = support::PoolId(reader.name());
    item.version = reader.number<std::uint64_t>();
    if (item.version > highestVersion) {
        reader.fail();
    }
    item.waiting = reader.number<std::uint32_t>();
    item.running = reader.number<std::uint32_t>();
    item.freeSlots = reader.number<std::uint32_t>();
    item.endpoints = reader.number<std::uint32_t>();
    return item;
}

std::optional<GossipItem> readItem(Reader &reader)
{
    switch (reader.number<std::uint8_t>()) {
    case 0:
        return readMember(reader);
    case 1:
        return ConfigurationRevision {reader.number<std::uint64_t>()};
    case 2:
        return readLeavingEndpoint(reader);
    case 3:
        return readQuarantinedFingerprint(reader);
    case 4:
        return readPoolLoad(reader);
    default:
        return std::nullopt;
    }
}

} // namespace

std::vector<std::uint8_t> encodeMessage(const Message &message)
{
    std::vector<std::uint8_t> payload;
    Writer writer(payload);
    writer.number(protocolVersion);
    writer.number(static_cast<std::uint8_t>(message.type));
    writer.name(message.sender.value());
    switch (message.type) {
    case MessageType::ProbeRequest:
        writer.address(message.targetAddress);
        [[fallthrough]];
    case MessageType::Probe:
    case MessageType::Acknowledgement:
        writer.number(message.sequence);
        writer.name(message.target.value());
        break;
    case MessageType::Digest:
    case MessageType::DigestResponse:
        for (const std::uint64_t bucket : message.digest) {
            writer.number(bucket);
        }
        break;
    case MessageType::Gossip:
    case MessageType::Items:
        break;
    }
    return payload;
}

bool appendItem(std::vector<std::uint8_t> &payload, const GossipItem &item, std::size_t maxBytes)
{
    const std::size_t before = payload.size();
    Writer writer(payload);
    writer.number(static_cast<std::uint8_t>(item.index()));
    std::visit([&writer](const auto &value) { write(writer, value); }, item);
    if (payload.size() <= maxBytes) {
        return true;
    }
    payload.resize(before);
    return false;
}

std::optional<Message> decodeMessage(std::span<const std::uint8_t> payload)
{
    Reader reader(payload);
    if (reader.number<std::uint8_t>() != protocolVersion) {
        return std::nullopt;
    }
    const auto type = reader.number<std::uint8_t>();
    if (type < static_cast<std::uint8_t>(MessageType::Probe) || type > static_cast<std::uint8_t>(MessageType::Items)) {
        return std::nullopt;
    }
    Message message;
    message.type = static_cast<MessageType>(type);
    message.sender = support::InstanceId(reader.name());
    switch (message.type) {
    case MessageType::ProbeRequest:
        message.targetAddress = reader.address();
        [[fallthrough]];
    case MessageType::Probe:
    case MessageType::Acknowledgement:
        message.sequence = reader.number<std::uint32_t>();
        message.target = support::InstanceId(reader.name());
        break;
    case MessageType::Digest:
    case MessageType::DigestResponse:
        for (std::uint64_t &bucket : message.digest) {
            bucket = reader.number<std::uint64_t>();
        }
        break;
    case MessageType::Gossip:
    case MessageType::Items:
        break;
    }
    while (reader.good() && !reader.atEnd()) {
        auto item = readItem(reader);
        if (!item) {
            return std::nullopt;
        }
        message.items.push_back(std::move(*item));
    }
    if (!reader.good()) {
        return std::nullopt;
    }
    return message;
}

} // namespace mulberrywall::membership
