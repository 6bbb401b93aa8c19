#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace mulberrywall::support
{

/// A string identifier. The tag makes identifiers of different kinds distinct types.
template <typename Tag>
class Identifier
{
public:
    Identifier() = default;
    explicit Identifier(std::string value)
        : value_(std::move(value))
    {
    }

    [[nodiscard]] const std::string &value() const noexcept
    {
        return value_;
    }
    [[nodiscard]] bool empty() const noexcept
    {
        return value_.empty();
    }

    friend bool operator==(const Identifier &, const Identifier &) = default;
    friend std::strong_ordering operator<=>(const Identifier &left, const Identifier &right) noexcept
    {
        return left.value_.compare(right.value_) <=> 0;
    }
    friend std::ostream &operator<<(std::ostream &stream, const Identifier &id)
    {
        return stream << id.value_;
    }

private:
    std::string value_;
};

using ClassId = Identifier<struct ClassTag>;
using DataCentreId = Identifier<struct DataCentreTag>;
using EndpointId = Identifier<struct EndpointTag>;
using InstanceId = Identifier<struct InstanceTag>;
using OrganisationId = Identifier<struct OrganisationTag>;
using RequestId = Identifier<struct RequestTag>;
/// Name of a model or plain service. Together with the data centre it identifies a pool.
using PoolId = Identifier<struct PoolTag>;

/// Service tier of a class; tier 0 is the highest.
using Tier = std::uint8_t;

/// Returns a random identifier of 128 bits as 32 hexadecimal digits.
std::string makeRandomId();

} // namespace mulberrywall::support

template <typename Tag>
struct std::hash<mulberrywall::support::Identifier<Tag>>
{
    std::size_t operator()(const mulberrywall::support::Identifier<Tag> &id) const noexcept
    {
        return std::hash<std::string> {}(id.value());
    }
};
