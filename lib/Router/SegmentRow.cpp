#include "mulberrywall/Router/SegmentRow.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

#include <xxhash.h>

#include <algorithm>
#include <exception>

namespace mulberrywall::router
{

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::system_clock;

static constexpr std::string_view keyPrefix = "crashing-segment-";

std::string segmentRowKey(const StoredSegment &segment)
{
    const std::string name = segment.writer.value() + '\n' + segment.pool.value() + '\n' + std::to_string(segment.evidence.segment);
    return std::string(keyPrefix) + std::to_string(XXH3_64bits(name.data(), name.size()));
}

bool isSegmentRowKey(std::string_view key)
{
    return key.starts_with(keyPrefix);
}

static std::uint64_t millisecondsOf(system_clock::time_point time)
{
    return static_cast<std::uint64_t>(std::chrono::floor<milliseconds>(time.time_since_epoch()).count());
}

std::string renderSegmentRow(const StoredSegment &segment, system_clock::time_point now)
{
    json::array crashes;
    for (const policy::SegmentCrash &crash : segment.evidence.crashes) {
        crashes.push_back({{"id", crash.id}, {"ageMs", crash.age.count()}});
    }
    json::object object {{"pool", segment.pool.value()},
        {"writer", segment.writer.value()},
        {"writtenAtMs", millisecondsOf(now)},
        {"segment", segment.evidence.segment},
        {"position", segment.evidence.position},
        {"crashes", std::move(crashes)}};
    if (segment.evidence.outputAge) {
        object["outputAgeMs"] = segment.evidence.outputAge->count();
    }
    return json::serialize(object);
}

static StoredSegment readSegment(const json::object &object, system_clock::time_point now)
{
    // The clock of this instance may be behind that of the writer.
    const std::uint64_t readAt = millisecondsOf(now);
    const milliseconds stored {readAt - std::min(readAt, json::value_to<std::uint64_t>(object.at("writtenAtMs")))};
    const auto readAge = [stored](const json::value &age) {
        return stored + milliseconds(json::value_to<std::uint32_t>(age));
    };
    StoredSegment segment {.pool = support::PoolId(json::value_to<std::string>(object.at("pool"))),
        .writer = support::InstanceId(json::value_to<std::string>(object.at("writer"))),
        .evidence = {.segment = json::value_to<std::uint64_t>(object.at("segment")), .position = json::value_to<std::uint32_t>(object.at("position"))}};
    for (const json::value &crash : object.at("crashes").as_array()) {
        segment.evidence.crashes.push_back({.id = json::value_to<std::uint64_t>(crash.at("id")), .age = readAge(crash.at("ageMs"))});
    }
    if (const json::value *outputAge = object.if_contains("outputAgeMs")) {
        segment.evidence.outputAge = readAge(*outputAge);
    }
    return segment;
}

std::optional<StoredSegment> parseSegmentRow(std::string_view value, system_clock::time_point now)
{
    json::error_code error;
    const json::value document = json::parse({value.data(), value.size()}, error);
    if (error || !document.is_object()) {
        return std::nullopt;
    }
    try {
        return readSegment(document.get_object(), now);
    } catch (const std::exception &) {
        // A member is missing, has another type or is out of range.
        return std::nullopt;
    }
}

} // namespace mulberrywall::router
