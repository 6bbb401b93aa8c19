#include "mulberrywall/Router/EndpointStatement.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string_view>

namespace mulberrywall::router
{

using Seconds = std::chrono::duration<double>;

static constexpr std::chrono::minutes longestRefusal {10};

static std::optional<std::chrono::milliseconds> parseSeconds(std::string_view text)
{
    double seconds = 0.0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds, std::chars_format::fixed);
    const bool isNumber = error == std::errc() && end == text.data() + text.size() && std::isfinite(seconds);
    if (!isNumber || std::signbit(seconds)) {
        return std::nullopt;
    }
    return std::chrono::ceil<std::chrono::milliseconds>(std::min(Seconds(seconds), Seconds(longestRefusal)));
}

EndpointStatement readRefusalTime(const http::ResponseHeader &responseHeader)
{
    EndpointStatement statement;
    if (responseHeader.result() != http::Status::service_unavailable) {
        return statement;
    }
    const auto [first, last] = responseHeader.equal_range(http::Field::retry_after);
    for (auto field = first; field != last; ++field) {
        const auto time = parseSeconds({field->value().data(), field->value().size()});
        statement.isTimeMalformed = statement.isTimeMalformed || !time;
        if (time && *time > statement.refusesFor.value_or(std::chrono::milliseconds(0))) {
            statement.refusesFor = time;
        }
    }
    return statement;
}

} // namespace mulberrywall::router
