#include "UsageCodec.h"

#include "mulberrywall/Support/BinaryFields.h"

#include <algorithm>

namespace mulberrywall::metering
{

namespace
{

using support::FieldReader;
using support::FieldWriter;
using Bytes = std::vector<std::uint8_t>;

constexpr std::uint8_t protocolVersion = 1;

enum class DatagramType : std::uint8_t {
    Message = 1,
    Acknowledgement = 2,
};

enum class SectionType : std::uint8_t {
    Window = 1,
    Demand = 2,
};

/// Maximum size of the counts in one section. Small sections fill datagrams well.
constexpr std::size_t maxSectionBytes = 400;

/// Collects sections in datagrams of a maximum size that all begin with the same header.
class DatagramPacker
{
public:
    DatagramPacker(Bytes header, std::size_t maxBytes)
        : header_(std::move(header)),
          maxBytes_(maxBytes),
          datagrams_ {header_}
    {
    }

    void append(const Bytes &section)
    {
        if (datagrams_.back().size() + section.size() > maxBytes_) {
            datagrams_.push_back(header_);
        }
        datagrams_.back().insert(datagrams_.back().end(), section.begin(), section.end());
    }
    std::vector<Bytes> take()
    {
        return std::move(datagrams_);
    }

private:
    Bytes header_;
    std::size_t maxBytes_;
    std::vector<Bytes> datagrams_;
};

std::uint64_t toNumber(TrueTime time)
{
    return static_cast<std::uint64_t>(time.time_since_epoch().count());
}

/// Reads a time. Later ones than the year 2500 would overflow computations in nanoseconds.
TrueTime readTime(FieldReader &reader)
{
    constexpr std::uint64_t maximum = 16'725'225'600'000;
    const auto value = reader.number<std::uint64_t>();
    if (value > maximum) {
        reader.fail();
        return {};
    }
    return TrueTime(std::chrono::milliseconds(static_cast<std::int64_t>(value)));
}

/// Reads a window number. Later ones than the time limit above with windows of 1 ms would overflow the computation of their times.
WindowNumber readWindow(FieldReader &reader)
{
    constexpr WindowNumber maximum = 16'725'225'600'000;
    const auto value = reader.number<std::uint64_t>();
    if (value > maximum) {
        reader.fail();
        return 0;
    }
    return value;
}

void writeWindowHeader(FieldWriter &writer, const WindowCounts &window, std::size_t counts)
{
    writer.number(static_cast<std::uint8_t>(SectionType::Window));
    writer.number(std::uint64_t {window.window});
    writer.number(static_cast<std::uint8_t>(window.closed ? 1 : 0));
    writer.number(window.total);
    writer.number(static_cast<std::uint16_t>(counts));
}

void appendWindow(DatagramPacker &packer, const WindowCounts &window)
{
    auto next = window.counts.begin();
    do {
        Bytes counts;
        FieldWriter writer(counts);
        std::size_t size = 0;
        for (; next != window.counts.end() && counts.size() < maxSectionBytes; ++next, ++size) {
            writer.name(next->first.value());
            writer.number(next->second);
        }
        Bytes section;
        FieldWriter sectionWriter(section);
        writeWindowHeader(sectionWriter, window, size);
        sectionWriter.bytes(counts);
        packer.append(section);
    } while (next != window.counts.end());
}

void appendDemand(DatagramPacker &packer, const PoolDemand &demand)
{
    Bytes section;
    FieldWriter writer(section);
    writer.number(static_cast<std::uint8_t>(SectionType::Demand));
    writer.name(demand.pool.value());
    writer.number(demand.promptTokensAccepted);
    writer.number(demand.promptTokensRefused);
    writer.number(demand.outputTokens);
    writer.number(demand.requestsStarted);
    writer.number(demand.requestsRefused);
    writer.number(demand.waiting);
    packer.append(section);
}

WindowCounts readWindowCounts(FieldReader &reader)
{
    WindowCounts window {.window = readWindow(reader)};
    window.closed = reader.number<std::uint8_t>() != 0;
    window.total = reader.number<std::uint32_t>();
    const auto size = reader.number<std::uint16_t>();
    for (unsigned index = 0; index < size && reader.good(); ++index) {
        support::OrganisationId organisation(reader.name(maxNameBytes));
        const auto requests = reader.number<std::uint32_t>();
        window.counts.emplace_back(std::move(organisation), requests);
    }
    return window;
}

PoolDemand readDemand(FieldReader &reader)
{
    PoolDemand demand;
    demand.pool = support::PoolId(reader.name(maxNameBytes));
    demand.promptTokensAccepted = reader.number<std::uint64_t>();
    demand.promptTokensRefused = reader.number<std::uint64_t>();
    demand.outputTokens = reader.number<std::uint64_t>();
    demand.requestsStarted = reader.number<std::uint64_t>();
    demand.requestsRefused = reader.number<std::uint64_t>();
    demand.waiting = reader.number<std::uint32_t>();
    return demand;
}

UsageMessage readMessage(FieldReader &reader)
{
    UsageMessage message;
    message.instance = support::InstanceId(reader.name(maxNameBytes));
    message.dataCentre = support::DataCentreId(reader.name(maxNameBytes));
    message.incarnation = reader.number<std::uint64_t>();
    message.sequence = reader.number<std::uint64_t>();
    message.anchoredTime = readTime(reader);
    message.firstWindow = readWindow(reader);
    while (reader.good() && !reader.atEnd()) {
        switch (reader.number<std::uint8_t>()) {
        case static_cast<std::uint8_t>(SectionType::Window):
            message.windows.push_back(readWindowCounts(reader));
            break;
        case static_cast<std::uint8_t>(SectionType::Demand):
            message.demand.push_back(readDemand(reader));
            break;
        default:
            reader.fail();
        }
    }
    return message;
}

UsageAcknowledgement readAcknowledgement(FieldReader &reader)
{
    UsageAcknowledgement acknowledgement;
    acknowledgement.instance = support::InstanceId(reader.name(maxNameBytes));
    acknowledgement.incarnation = reader.number<std::uint64_t>();
    acknowledgement.countsIncarnation = reader.number<std::uint64_t>();
    acknowledgement.time = readTime(reader);
    acknowledgement.clocks = reader.number<std::uint16_t>();
    while (reader.good() && !reader.atEnd()) {
        WindowProgress progress {.window = readWindow(reader)};
        progress.closed = reader.number<std::uint8_t>() != 0;
        progress.total = reader.number<std::uint32_t>();
        acknowledgement.windows.push_back(progress);
    }
    return acknowledgement;
}

} // namespace

std::vector<std::vector<std::uint8_t>> encode(const UsageMessage &message, std::size_t maxBytes)
{
    Bytes header;
    FieldWriter writer(header);
    writer.number(protocolVersion);
    writer.number(static_cast<std::uint8_t>(DatagramType::Message));
    writer.name(message.instance.value());
    writer.name(message.dataCentre.value());
    writer.number(message.incarnation);
    writer.number(message.sequence);
    writer.number(toNumber(message.anchoredTime));
    writer.number(std::uint64_t {message.firstWindow});
    DatagramPacker packer(std::move(header), maxBytes);
    for (const WindowCounts &window : message.windows) {
        appendWindow(packer, window);
    }
    for (const PoolDemand &demand : message.demand) {
        appendDemand(packer, demand);
    }
    return packer.take();
}

std::vector<std::uint8_t> encode(const UsageAcknowledgement &acknowledgement)
{
    Bytes payload;
    FieldWriter writer(payload);
    writer.number(protocolVersion);
    writer.number(static_cast<std::uint8_t>(DatagramType::Acknowledgement));
    writer.name(acknowledgement.instance.value());
    writer.number(acknowledgement.incarnation);
    writer.number(acknowledgement.countsIncarnation);
    writer.number(toNumber(acknowledgement.time));
    writer.number(acknowledgement.clocks);
    for (const WindowProgress &progress : acknowledgement.windows) {
        writer.number(std::uint64_t {progress.window});
        writer.number(static_cast<std::uint8_t>(progress.closed ? 1 : 0));
        writer.number(progress.total);
    }
    return payload;
}

std::optional<UsageDatagram> decodeUsageDatagram(std::span<const std::uint8_t> payload)
{
    FieldReader reader(payload);
    if (reader.number<std::uint8_t>() != protocolVersion) {
        return std::nullopt;
    }
    std::optional<UsageDatagram> result;
    switch (reader.number<std::uint8_t>()) {
    case static_cast<std::uint8_t>(DatagramType::Message):
        result = readMessage(reader);
        break;
    case static_cast<std::uint8_t>(DatagramType::Acknowledgement):
        result = readAcknowledgement(reader);
        break;
    default:
        return std::nullopt;
    }
    return reader.good() ? result : std::nullopt;
}

} // namespace mulberrywall::metering
