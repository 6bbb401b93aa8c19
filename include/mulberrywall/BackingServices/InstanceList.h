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

/// An instance as reported by the instance list, which may lag behind.
struct ListedInstance
{
    support::InstanceId id;
    support::DataCentreId dataCentre;
    /// IP address in text form.
    std::string address;
    /// Restricts the entry to the endpoint on this port of the address; 0 means all endpoints of the address.
    std::uint16_t port = 0;
    InstanceState state = InstanceState::Live;

    friend bool operator==(const ListedInstance &, const ListedInstance &) = default;
};

struct InstanceListOptions
{
    BackingServiceOptions service;
    std::chrono::milliseconds interval {1'000};
};

/// Polls the instance list of the platform until stopped.
class InstanceList
{
public:
    /// Starts polling. Calls the handler with the whole list after the first successful read and after each change, on a
    /// strand of the poller. While the list cannot be read, the last list stays valid and the handler is not called.
    static std::shared_ptr<InstanceList> start(
        const boost::asio::any_io_executor &executor, const InstanceListOptions &options, std::function<void(const std::vector<ListedInstance> &)> handler);

    InstanceList() = default;
    InstanceList(const InstanceList &) = delete;
    InstanceList &operator=(const InstanceList &) = delete;
    InstanceList(InstanceList &&) = delete;
    InstanceList &operator=(InstanceList &&) = delete;
    virtual ~InstanceList() = default;

    /// Stops polling. Thread-safe; a handler call that is already running may still be in progress on return.
    virtual void stop() = 0;
};

} // namespace mulberrywall::backingservices
