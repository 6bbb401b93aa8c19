#pragma once

#include "mulberrywall/Http/Message.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstddef>
#include <string_view>

namespace mulberrywall::http
{

/// Parses a response and rejects folded field lines with bad_field.
///
/// Beast's parser appends a line that begins with a blank or a tab to the value of the line before it. If an endpoint puts a blank
/// before the name of a field, that field would be missed, for example one that frames the body, and the other one be changed.
class ResponseParser final : public boost::beast::http::response_parser<boost::beast::http::buffer_body>
{
public:
    /// The parser must be fed from this buffer, which must outlive it.
    explicit ResponseParser(const boost::beast::flat_buffer &buffer)
        : buffer_(buffer)
    {
    }

private:
    using Text = boost::beast::string_view;

    void on_field_impl(Field name, Text nameText, Text value, boost::system::error_code &error) override
    {
        if (isFolded(nameText)) {
            error = boost::beast::http::error::bad_field;
            return;
        }
        get().insert(name, nameText, value);
    }

    /// Returns whether the line of the field with this name goes on behind its end. Beast parses a field once the first byte of the next
    /// line was received, and passes the name as a part of the buffer. A name elsewhere could not be checked and counts as folded.
    [[nodiscard]] bool isFolded(Text nameText) const
    {
        const std::string_view received(static_cast<const char *>(buffer_.data().data()), buffer_.size());
        const auto nameEnd = static_cast<std::size_t>(nameText.data() + nameText.size() - received.data());
        const std::size_t lineEnd = received.find('\n', nameEnd);
        const std::size_t next = lineEnd == std::string_view::npos ? received.size() : lineEnd + 1;
        return next >= received.size() || received[next] == ' ' || received[next] == '\t';
    }

    const boost::beast::flat_buffer &buffer_;
};

} // namespace mulberrywall::http
