#pragma once

#include "mulberrywall/Membership/UdpDriver.h"
#include "mulberrywall/Permits/LoadExchange.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mulberrywall::router
{

struct RouterMeshOptions
{
    support::InstanceId instance;
    support::DataCentreId dataCentre;
    boost::asio::ip::udp::endpoint membershipListen;
    boost::asio::ip::udp::endpoint loadListen;
    /// Membership addresses of some other routers.
    std::vector<boost::asio::ip::udp::endpoint> seeds;
};

/// Stores the value under a name unless there is one already; the handler gets the value that is stored, or nothing when
/// the store does not answer.
using AgreeOnValue = std::function<void(std::string candidate, std::function<void(std::optional<std::string>)> handler)>;

/// Routers that decide by themselves and tell each other what they run and which requests crash endpoints.
///
/// The routers authenticate their datagrams with a secret that the first of them puts in the store. Until a router has
/// it, it serves alone.
class RouterMesh : public std::enable_shared_from_this<RouterMesh>
{
public:
    RouterMesh(boost::asio::io_context &context, permits::PoolTable &pools, RouterMeshOptions options, AgreeOnValue agreeOnSecret);

    // Commands
    void start();
    /// Tells the others that this router leaves.
    void leave();
    void stop();

private:
    void askForSecret();
    void join(const std::string &secret);
    void onItem(const membership::Item &item);
    void exchangeSuspects();
    [[nodiscard]] std::vector<boost::asio::ip::udp::endpoint> peerAddresses() const;

    boost::asio::io_context &context_;
    permits::PoolTable &pools_;
    RouterMeshOptions options_;
    AgreeOnValue agreeOnSecret_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<membership::UdpDriver> membership_;
    std::shared_ptr<permits::LoadExchange> loads_;
    std::shared_ptr<void> subscription_;
    bool stopped_ = false;
};

} // namespace mulberrywall::router
