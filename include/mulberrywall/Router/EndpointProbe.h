#pragma once

#include "mulberrywall/Configuration/Model.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>

namespace mulberrywall::router
{

enum class ProbeResult : std::uint8_t {
    /// The endpoint accepts connections. What it answers does not matter.
    Alive,
    /// The endpoint's instance responds, but the connection fails, for example because no process
    /// listens.
    Crashed,
    /// No response in time or no route: the network or the instance failed, or the process hangs.
    Unknown,
};

/// Checks whether an endpoint whose connection broke has crashed.
///
/// A model engine must send something in response to a request for its state. For a plain service the probe only connects,
/// because a plain service executes every request. The handler is called once on the executor, after
/// 300 ms at the latest.
void probeEndpoint(const boost::asio::any_io_executor &executor,
    const boost::asio::ip::tcp::endpoint &endpoint,
    configuration::PoolKind kind,
    std::function<void(ProbeResult)> handler);

} // namespace mulberrywall::router
