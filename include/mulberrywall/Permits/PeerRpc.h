#pragma once

#include "mulberrywall/Permits/OwnedPool.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mulberrywall::permits
{

struct PeerRpcOptions
{
    /// Port 0 lets the system choose one.
    boost::asio::ip::tcp::endpoint listen;
    /// The same at all routers.
    std::string secret;
    support::InstanceId instance;
    std::uint64_t incarnation = 0;
    /// While requests wait or run at a peer, it is asked for a sign of life at this interval, unless it has answered
    /// another call that was sent within the interval.
    std::chrono::milliseconds pingInterval {300};
    /// A peer that does not answer for this long counts as lost.
    std::chrono::milliseconds pingTimeout {1'000};
    /// A peer with requests here that says nothing for this long loses them. With the check interval below 2 s.
    std::chrono::milliseconds silenceLimit {1'800};
    std::chrono::milliseconds checkInterval {100};
    /// Connections without requests are closed after this time.
    std::chrono::milliseconds idleLimit {30'000};
    std::size_t maxConnections = 1'024;
    /// Largest message that a peer may send to this server.
    std::size_t maxRequestBytes = 1024 * 1024;
    /// Largest message that this router accepts as an answer; a configuration is the largest one.
    std::size_t maxAnswerBytes = 16 * 1024 * 1024;
};

/// Names another router and where to reach it.
struct PeerAddress
{
    support::InstanceId instance;
    boost::asio::ip::tcp::endpoint address;
};

/// What one ingress still runs in one pool.
struct PoolReregistration
{
    support::PoolId pool;
    struct ReregisteredRequest
    {
        PermitRequest request;
        support::EndpointId endpoint;
        policy::Progress progress;
    };
    std::vector<ReregisteredRequest> requests;
};

/// Permits in the order of the adopted requests, or nothing when the peer does not own the pool.
using ReregistrationResult = std::optional<std::vector<std::shared_ptr<Permit>>>;

struct ConfigurationDocument
{
    std::uint64_t revision = 0;
    std::string json;
};

/// Answers of this router to other ones. Called in the thread of the peer protocol; must not block.
struct PeerRpcHandlers
{
    std::function<AcquireTicket(PermitRequest, const std::vector<support::InstanceId> &unreachable, OwnerAnswerHandler)> acquire;
    std::function<std::vector<ReregistrationResult>(const support::InstanceId &ingress, std::vector<PoolReregistration>)> reregister;
    /// Returns nothing when this router has no revision as high as the given one.
    std::function<std::optional<ConfigurationDocument>(std::uint64_t minimumRevision)> fetchConfiguration;
    /// The connection to a peer broke: permits it has granted are gone, calls under way fail. Called by a worker.
    std::function<void(const support::InstanceId &)> peerLost;
};

/// The peer could not be reached or did not answer; a request that waited there has not run.
struct PeerCallFailure
{
    std::string detail;
};

template <typename T>
using PeerCallResult = std::variant<T, PeerCallFailure>;

struct PeerRpcCounters
{
    std::uint64_t connectionsAccepted = 0;
    std::uint64_t loginsRejected = 0;
    std::uint64_t peersTimedOut = 0;
    /// Permits held by other routers at the moment.
    std::uint64_t permitsHeldByPeers = 0;
    /// Calls that wait in a queue here at the moment.
    std::uint64_t acquireCallsWaiting = 0;
    /// Messages with progress that other routers have sent, and the reports of single permits in them.
    std::uint64_t progressMessagesReceived = 0;
    std::uint64_t progressEntriesReceived = 0;
    /// TCP payload of the connections that this router has opened and that are open at the moment.
    std::uint64_t clientBytesSent = 0;
    std::uint64_t clientBytesReceived = 0;
};

/// Cap'n Proto RPC between routers, in a thread of its own. Thread-safe; handlers of calls are run by workers.
class PeerRpc
{
public:
    /// Listens at once. Throws boost::system::system_error when the address is taken.
    static std::shared_ptr<PeerRpc> create(boost::asio::io_context &context, const PeerRpcOptions &options, PeerRpcHandlers handlers);

    PeerRpc() = default;
    PeerRpc(const PeerRpc &) = delete;
    PeerRpc &operator=(const PeerRpc &) = delete;
    PeerRpc(PeerRpc &&) = delete;
    PeerRpc &operator=(PeerRpc &&) = delete;
    /// Closes all connections.
    virtual ~PeerRpc() = default;

    // Commands
    /// Asks a peer as the owner of the pool; dropping the ticket withdraws the request.
    [[nodiscard]] virtual AcquireTicket acquire(
        const PeerAddress &peer, PermitRequest request, std::vector<support::InstanceId> unreachable, std::function<void(PeerCallResult<OwnerAnswer>)> handler)
        = 0;
    virtual void reregister(
        const PeerAddress &peer, std::vector<PoolReregistration> pools, std::function<void(PeerCallResult<std::vector<ReregistrationResult>>)> handler)
        = 0;
    /// A revision of 0 in the answer means that the peer has none as high as the given one.
    virtual void fetchConfiguration(const PeerAddress &peer, std::uint64_t minimumRevision, std::function<void(PeerCallResult<ConfigurationDocument>)> handler)
        = 0;
    /// Sends the recorded progress of the permits from other routers, in one message to each owner.
    virtual void sendProgress() = 0;
    /// Closes all connections and stops listening; handlers of open calls are not called.
    virtual void stop() = 0;
    /// Runs a task in the thread of the peer protocol. For tests that stop the thread for a while.
    virtual void post(std::function<void()> task) = 0;

    // Queries
    [[nodiscard]] virtual boost::asio::ip::tcp::endpoint localEndpoint() const = 0;
    /// Waits for the thread of the peer protocol.
    [[nodiscard]] virtual PeerRpcCounters counters() = 0;
};

} // namespace mulberrywall::permits
