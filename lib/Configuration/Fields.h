#pragma once

#include "mulberrywall/Configuration/Model.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <limits>
#include <string_view>

/// Field lists of the configuration structs, with one visit() function per struct. The TOML reader, the JSON codec and the
/// diff are all based on them.
namespace mulberrywall::configuration::fields
{

enum class Presence : std::uint8_t {
    Optional,
    Required,
};

struct FieldOptions
{
    Presence presence = Presence::Optional;
    /// Inclusive range of a number; for a duration in milliseconds.
    double minimum = 0;
    double maximum = std::numeric_limits<double>::max();
};

/// Maximum of a latency target or waiting time in milliseconds: one day.
inline constexpr double maxDurationMs = 24.0 * 3'600 * 1'000;
/// Endpoints map tiers to a one-byte priority. No deployment uses as many as eight tiers.
inline constexpr double maxTier = 7;

template <typename Value>
struct NamedValue
{
    std::string_view name;
    Value value;
};

inline constexpr std::array idempotencyNames {
    NamedValue<Idempotency> {"idempotent", Idempotency::Idempotent},
    NamedValue<Idempotency> {"non-idempotent", Idempotency::NonIdempotent},
};

inline constexpr std::array poolKindNames {
    NamedValue<PoolKind> {"model-engine", PoolKind::ModelEngine},
    NamedValue<PoolKind> {"plain-service", PoolKind::PlainService},
};

inline constexpr std::array endpointSupportNames {
    NamedValue<bool EndpointSupport::*> {"resume", &EndpointSupport::resume},
    NamedValue<bool EndpointSupport::*> {"priorities", &EndpointSupport::priorities},
    NamedValue<bool EndpointSupport::*> {"prefix-cache", &EndpointSupport::prefixCache},
    NamedValue<bool EndpointSupport::*> {"checks-fencing", &EndpointSupport::checksFencing},
    NamedValue<bool EndpointSupport::*> {"checks-orders", &EndpointSupport::checksOrders},
};

template <typename Class, typename Visitor>
requires std::is_same_v<std::remove_const_t<Class>, RequestClass>
void visit(Class &item, Visitor &&visitor)
{
    const FieldOptions duration {.minimum = 1, .maximum = maxDurationMs};
    visitor("tier", item.tier, FieldOptions {.presence = Presence::Required, .maximum = maxTier});
    visitor("first-token", item.targets.timeToFirstToken, duration);
    visitor("between-tokens", item.targets.interTokenLatency, duration);
    visitor("completion", item.targets.completion, duration);
    visitor("minimum-share", item.minimumShare, FieldOptions {.maximum = 1});
    visitor("maximum-wait", item.maximumWait, duration);
    visitor("idempotency", item.idempotency, FieldOptions {});
    visitor("retry-budget-percent", item.retryBudgetPercent, FieldOptions {.maximum = 100});
    visitor("hedge-budget-percent", item.hedgeBudgetPercent, FieldOptions {.maximum = 100});
}

template <typename Class, typename Visitor>
requires std::is_same_v<std::remove_const_t<Class>, Organisation>
void visit(Class &item, Visitor &&visitor)
{
    visitor("key-hashes", item.keyHashes, FieldOptions {.presence = Presence::Required});
    visitor("allowed-classes", item.allowedClasses, FieldOptions {.presence = Presence::Required});
    visitor("weight", item.weight, FieldOptions {.minimum = 0.001, .maximum = 1'000});
    visitor("requests-per-second", item.requestsPerSecond, FieldOptions {.maximum = 1'000'000});
    visitor("concurrent-requests", item.concurrentRequests, FieldOptions {.maximum = 1'000'000});
}

template <typename Class, typename Visitor>
requires std::is_same_v<std::remove_const_t<Class>, Pool>
void visit(Class &item, Visitor &&visitor)
{
    visitor("kind", item.kind, FieldOptions {.presence = Presence::Required});
    visitor("queue-limit", item.queueLimit, FieldOptions {.minimum = 1, .maximum = 1'000'000});
}

template <typename Class, typename Visitor>
requires std::is_same_v<std::remove_const_t<Class>, Endpoint>
void visit(Class &item, Visitor &&visitor)
{
    visitor("address", item.address, FieldOptions {.presence = Presence::Required});
    visitor("port", item.port, FieldOptions {.presence = Presence::Required, .minimum = 1, .maximum = 65'535});
    visitor("pools", item.pools, FieldOptions {.presence = Presence::Required});
    visitor("maximum-concurrency", item.maximumConcurrency, FieldOptions {.minimum = 1, .maximum = 65'536});
    visitor("supports", item.support, FieldOptions {});
}

/// Calls the visitor with the name and the list of items of each section.
template <typename Configuration, typename Visitor>
void visitSections(Configuration &configuration, Visitor &&visitor)
{
    visitor("classes", configuration.classes);
    visitor("organisations", configuration.organisations);
    visitor("pools", configuration.pools);
    visitor("endpoints", configuration.endpoints);
}

} // namespace mulberrywall::configuration::fields
