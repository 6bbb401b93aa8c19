#pragma once

#include "mulberrywall/BackingServices/BackingServiceOptions.h"
#include "mulberrywall/Support/Ids.h"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace mulberrywall::backingservices
{

enum class InstanceState : std::uint8_t {
    Live,
    Leaving,
};

/// An instance as the platform's lagging list has it.
struct ListedInstance
{
    support::InstanceId id;
    support::DataCentreId dataCentre;
    /// IP address in text form.
    std::string address;
    /// Limits the entry to one endpoint of the address; 0 means all of them.
    std::uint16_t port = 0;
    InstanceState state = InstanceState::Live;

    friend bool operator==(const ListedInstance &, const ListedInstance &) = default;
};

struct InstanceListOptions
{
    BackingServiceOptions service;
    std::chrono::milliseconds interval {1'000};
};

/// Polls the instance list until it is stopped.
class InstanceList
{
public:
    /// Calls the handler with the whole list after the first read and after each change, on a strand of the poller.
    /// While the platform is down the last list stays valid and the handler is not called.
    static std::shared_ptr<InstanceList> start(
        const boost::asio::any_io_executor &executor, const InstanceListOptions &options, std::function<void(const std::vector<ListedInstance> &)> handler);

    InstanceList() = default;
    InstanceList(const InstanceList &) = delete;
    InstanceList &operator=(const InstanceList &) = delete;
    InstanceList(InstanceList &&) = delete;
    InstanceList &operator=(InstanceList &&) = delete;
    virtual ~InstanceList() = default;

    /// Thread-safe. A handler that runs at this moment may still end.
    virtual void stop() = 0;
};

} // namespace mulberrywall::backingservices
