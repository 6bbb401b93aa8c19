#pragma once

#include "mulberrywall/Configuration/Model.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>

namespace mulberrywall::router
{

enum class ProbeResult : std::uint8_t {
    /// The endpoint accepts connections.
    Alive,
    /// The endpoint's instance answers, but no process listens.
    Crashed,
    /// Nothing answered in time: a lost network, instance or process that hangs.
    Unknown,
};

/// Finds out whether an endpoint that broke a connection has crashed.
///
/// A model engine has to answer a request for its state. A plain service is only connected to, because every request to
/// it is a run. The handler is called once on the executor, after 300 ms at the latest.
void probeEndpoint(const boost::asio::any_io_executor &executor,
    const boost::asio::ip::tcp::endpoint &endpoint,
    configuration::PoolKind kind,
    std::function<void(ProbeResult)> handler);

} // namespace mulberrywall::router
