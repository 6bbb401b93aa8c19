#pragma once

#include "mulberrywall/BackingServices/BackingServiceOptions.h"
#include "mulberrywall/BackingServices/TableClient.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace mulberrywall::backingservices
{

struct ObjectResult
{
    ReadStatus status = ReadStatus::Unavailable;
    std::string content;
    std::string detail;
};

/// Client of the object store. Thread-safe. Each handler runs once, on a separate strand.
class ObjectClient
{
public:
    ObjectClient(boost::asio::any_io_executor executor, const BackingServiceOptions &options);

    /// Writes an object. Passes Applied, NotApplied or Unknown to the handler.
    void put(std::string_view name, std::string content, std::function<void(CommitStatus)> handler) const;
    /// Reads an object.
    void get(std::string_view name, std::function<void(ObjectResult)> handler) const;

private:
    boost::asio::any_io_executor executor_;
    BackingServiceOptions options_;
};

} // namespace mulberrywall::backingservices
