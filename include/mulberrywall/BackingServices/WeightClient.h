#pragma once

#include "mulberrywall/BackingServices/BackingServiceOptions.h"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <functional>
#include <string>
#include <string_view>

namespace mulberrywall::backingservices
{

enum class WeightStatus : std::uint8_t {
    Found,
    Absent,
    /// The rate limit was exceeded; retry after retryAfter.
    RateLimited,
    Unavailable,
};

struct WeightResult
{
    WeightStatus status = WeightStatus::Unavailable;
    std::string content;
    std::chrono::seconds retryAfter {0};
    std::string detail;
};

/// Client of the rate-limited weight store. Thread-safe. Each handler runs once, on a separate strand.
class WeightClient
{
public:
    WeightClient(boost::asio::any_io_executor executor, const BackingServiceOptions &options);

    /// Reads the weights with the given name.
    void get(std::string_view name, std::function<void(WeightResult)> handler) const;

private:
    boost::asio::any_io_executor executor_;
    BackingServiceOptions options_;
};

} // namespace mulberrywall::backingservices
