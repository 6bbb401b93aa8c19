#pragma once

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mulberrywall::support
{

/// Appends fields to a datagram: numbers in little-endian order, and names with their length in one byte.
class FieldWriter
{
public:
    explicit FieldWriter(std::vector<std::uint8_t> &target)
        : target_(target)
    {
    }

    template <std::unsigned_integral Number>
    void number(Number value)
    {
        for (std::size_t index = 0; index < sizeof(Number); ++index) {
            target_.push_back(static_cast<std::uint8_t>(value >> (8 * index)));
        }
    }
    /// Appends a name, of which 255 bytes are kept.
    void name(std::string_view text)
    {
        constexpr std::size_t maxBytes = 255;
        const std::string_view bounded = text.substr(0, maxBytes);
        number(static_cast<std::uint8_t>(bounded.size()));
        target_.insert(target_.end(), bounded.begin(), bounded.end());
    }
    void bytes(std::span<const std::uint8_t> value)
    {
        target_.insert(target_.end(), value.begin(), value.end());
    }

private:
    std::vector<std::uint8_t> &target_;
};

/// Reads consecutive fields. After the first invalid or truncated field, good() returns false and all values are 0.
class FieldReader
{
public:
    explicit FieldReader(std::span<const std::uint8_t> source)
        : source_(source)
    {
    }

    template <std::unsigned_integral Number>
    Number number()
    {
        Number value = 0;
        const auto field = take(sizeof(Number));
        for (std::size_t index = 0; index < field.size(); ++index) {
            value = static_cast<Number>(value | static_cast<Number>(field[index]) << (8 * index));
        }
        return value;
    }
    std::string name(std::size_t maxBytes)
    {
        const auto size = number<std::uint8_t>();
        if (size > maxBytes) {
            good_ = false;
        }
        const auto field = take(size);
        return {field.begin(), field.end()};
    }
    std::span<const std::uint8_t> take(std::size_t size)
    {
        if (!good_ || source_.size() < size) {
            good_ = false;
            return {};
        }
        const auto field = source_.first(size);
        source_ = source_.subspan(size);
        return field;
    }
    void fail()
    {
        good_ = false;
    }
    [[nodiscard]] bool good() const
    {
        return good_;
    }
    [[nodiscard]] bool atEnd() const
    {
        return source_.empty();
    }

private:
    std::span<const std::uint8_t> source_;
    bool good_ = true;
};

} // namespace mulberrywall::support
