#pragma once

#include "mulberrywall/Http/Server.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstddef>
#include <cstdint>

namespace mulberrywall::http
{

/// Parses a request with a limit on the number of its fields. The body grows only as far as its owner has reserved it, or is discarded.
class RequestParser final : public boost::beast::http::request_parser<boost::beast::http::string_body>
{
public:
    explicit RequestParser(const RequestLimits &limits)
        : maxFields_(limits.maxHeaderFields)
    {
        header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
        body_limit(limits.maxBodyBytes);
    }

    [[nodiscard]] bool hasTooManyFields() const noexcept
    {
        return fields_ > maxFields_;
    }
    /// Returns the number of body bytes that were parsed, including those that were discarded.
    [[nodiscard]] std::size_t bodyBytes() const noexcept
    {
        return bodyBytes_;
    }
    /// Returns the memory of the fields.
    [[nodiscard]] std::size_t fieldMemory() const noexcept
    {
        return fieldMemory_;
    }
    /// From now on the bytes of the body are not stored.
    void discardBody() noexcept
    {
        discards_ = true;
    }
    [[nodiscard]] bool discardsBody() const noexcept
    {
        return discards_;
    }

private:
    /// Memory of a field besides its text.
    static constexpr std::size_t fieldOverheadBytes = 80;

    using Text = boost::beast::string_view;

    void on_field_impl(Field name, Text nameText, Text value, boost::system::error_code &error) override
    {
        ++fields_;
        if (hasTooManyFields()) {
            error = boost::beast::http::error::header_limit;
            return;
        }
        fieldMemory_ += nameText.size() + value.size() + fieldOverheadBytes;
        get().insert(name, nameText, value);
    }

    /// The base class would reserve the declared length here.
    void on_body_init_impl(const boost::optional<std::uint64_t> &, boost::system::error_code &) override
    {
    }

    std::size_t on_body_impl(Text data, boost::system::error_code &) override
    {
        return addToBody(data);
    }

    std::size_t on_chunk_body_impl(std::uint64_t, Text data, boost::system::error_code &) override
    {
        return addToBody(data);
    }

    std::size_t addToBody(Text data)
    {
        bodyBytes_ += data.size();
        if (!discards_) {
            get().body().append(data.data(), data.size());
        }
        return data.size();
    }

    std::size_t maxFields_;
    std::size_t fields_ = 0;
    std::size_t fieldMemory_ = 0;
    std::size_t bodyBytes_ = 0;
    bool discards_ = false;
};

} // namespace mulberrywall::http
