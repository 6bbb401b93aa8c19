#include "mulberrywall/BackingServices/WeightClient.h"

#include "ServiceRequest.h"

#include <charconv>

namespace mulberrywall::backingservices
{

using http::Status;
using http::Verb;

namespace
{

/// Delay after a rate-limited response without a valid Retry-After field.
constexpr std::chrono::seconds defaultRetryAfter {1};

std::chrono::seconds retryAfterOf(const http::BufferedResponse &response)
{
    const std::string_view text = http::fieldValue(response.header, "Retry-After");
    unsigned seconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    return error == std::errc() ? std::chrono::seconds(seconds) : defaultRetryAfter;
}

WeightResult interpret(http::BufferedResponse response)
{
    if (!isComplete(response)) {
        return {.status = WeightStatus::Unavailable, .detail = describeFailure(response)};
    }
    if (response.status == Status::ok) {
        return {.status = WeightStatus::Found, .content = std::move(response.body)};
    }
    if (response.status == Status::not_found) {
        return {.status = WeightStatus::Absent};
    }
    if (response.status == Status::too_many_requests) {
        return {.status = WeightStatus::RateLimited, .retryAfter = retryAfterOf(response), .detail = describeFailure(response)};
    }
    return {.status = WeightStatus::Unavailable, .detail = describeFailure(response)};
}

} // namespace

WeightClient::WeightClient(boost::asio::any_io_executor executor, const BackingServiceOptions &options)
    : executor_(std::move(executor)),
      options_(options)
{
}

void WeightClient::get(std::string_view name, std::function<void(WeightResult)> handler) const
{
    http::Request request(Verb::get, "/v1/weights/" + std::string(name), 11);
    sendRequest(
        executor_, options_, std::move(request), [handler = std::move(handler)](http::BufferedResponse response) { handler(interpret(std::move(response))); });
}

} // namespace mulberrywall::backingservices
