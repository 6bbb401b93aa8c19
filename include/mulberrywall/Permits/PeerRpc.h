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
    /// With port 0 the system selects a free port.
    boost::asio::ip::tcp::endpoint listen;
    /// Shared secret of all routers, which a peer must present at login.
    std::string secret;
    support::InstanceId instance;
    std::uint64_t incarnation = 0;
    /// Keep-alive interval. While requests wait or run at a peer, it is pinged at this interval, unless it has answered
    /// another call that was sent within the interval.
    std::chrono::milliseconds pingInterval {300};
    /// A peer that does not answer a ping or a login within this time is considered lost.
    std::chrono::milliseconds pingTimeout {1'000};
    /// A peer that holds permits or waits for them and sends nothing for this long is disconnected, which frees them. The
    /// sum of this time and the check interval must stay below 2 s.
    std::chrono::milliseconds maxSilence {1'800};
    /// Interval at which the server checks each connection for silence.
    std::chrono::milliseconds checkInterval {100};
    /// Connections without waiting requests and permits are closed after this time without messages.
    std::chrono::milliseconds maxIdleTime {30'000};
    /// Maximum number of connections that this server accepts at the same time.
    std::size_t maxConnections = 1'024;
    /// Maximum size of a message that a peer may send to this server.
    std::size_t maxRequestBytes = 1024 * 1024;
    /// Maximum size of an answer that this router accepts from a peer; the largest answers are configurations.
    std::size_t maxAnswerBytes = 16 * 1024 * 1024;
};

/// Name and peer address of another router.
struct PeerAddress
{
    support::InstanceId instance;
    boost::asio::ip::tcp::endpoint address;
};

/// Running requests of one ingress in one pool, which it re-registers with the pool's owner.
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

/// Permits in the order of the re-registered requests, or nothing if the peer does not own the pool.
using ReregistrationResult = std::optional<std::vector<std::shared_ptr<Permit>>>;

/// A revision of the configuration as a JSON document.
struct ConfigurationDocument
{
    std::uint64_t revision = 0;
    std::string json;
};

/// Handlers of calls that other routers make to this one. Called on the peer RPC thread, unless stated otherwise; must not
/// block.
struct PeerRpcHandlers
{
    std::function<AcquireTicket(PermitRequest, const std::vector<support::InstanceId> &unreachable, OwnerAnswerHandler)> acquire;
    std::function<std::vector<ReregistrationResult>(const support::InstanceId &ingress, std::vector<PoolReregistration>)> reregister;
    /// Returns the current configuration, or nothing if its revision is lower than the given one.
    std::function<std::optional<ConfigurationDocument>(std::uint64_t minimumRevision)> fetchConfiguration;
    /// Called by a worker thread after a connection to a peer was lost. Permits that the peer has granted are void, and calls
    /// in progress fail.
    std::function<void(const support::InstanceId &)> peerLost;
};

/// Result of a call if the peer could not be reached or did not answer. A request that waited at the peer has not run.
struct PeerCallFailure
{
    std::string detail;
};

template <typename T>
using PeerCallResult = std::variant<T, PeerCallFailure>;

/// Counters of the peer RPC for the admin status and tests.
struct PeerRpcCounters
{
    std::uint64_t connectionsAccepted = 0;
    std::uint64_t loginsRejected = 0;
    std::uint64_t peersTimedOut = 0;
    /// Permits of this router that other routers hold at present.
    std::uint64_t permitsHeldByPeers = 0;
    /// Calls of acquire from other routers that are waiting at present.
    std::uint64_t acquireCallsWaiting = 0;
    /// Progress messages received from other routers, and the total number of permits reported in them.
    std::uint64_t progressMessagesReceived = 0;
    std::uint64_t progressEntriesReceived = 0;
    /// TCP payload in bytes on the connections that this router has opened and that are still open.
    std::uint64_t clientBytesSent = 0;
    std::uint64_t clientBytesReceived = 0;
};

/// Cap'n Proto RPC between routers, on a dedicated thread. Thread-safe; the result handlers of calls run on worker threads.
class PeerRpc
{
public:
    /// Starts listening immediately. Throws boost::system::system_error if the address is in use.
    static std::shared_ptr<PeerRpc> create(boost::asio::io_context &context, const PeerRpcOptions &options, PeerRpcHandlers handlers);

    PeerRpc() = default;
    PeerRpc(const PeerRpc &) = delete;
    PeerRpc &operator=(const PeerRpc &) = delete;
    PeerRpc(PeerRpc &&) = delete;
    PeerRpc &operator=(PeerRpc &&) = delete;
    /// Closes all connections.
    virtual ~PeerRpc() = default;

    // Commands
    /// Requests a permit from a peer as the owner of the pool. Dropping the ticket withdraws the request.
    [[nodiscard]] virtual AcquireTicket acquire(
        const PeerAddress &peer, PermitRequest request, std::vector<support::InstanceId> unreachable, std::function<void(PeerCallResult<OwnerAnswer>)> handler)
        = 0;
    /// Registers running requests with a peer that owns their pools. The results are in the order of the pools.
    virtual void reregister(
        const PeerAddress &peer, std::vector<PoolReregistration> pools, std::function<void(PeerCallResult<std::vector<ReregistrationResult>>)> handler)
        = 0;
    /// Requests the peer's configuration. The answer has revision 0 if the peer's revision is lower than the given one.
    virtual void fetchConfiguration(const PeerAddress &peer, std::uint64_t minimumRevision, std::function<void(PeerCallResult<ConfigurationDocument>)> handler)
        = 0;
    /// Sends the recorded progress of all permits that other routers have granted, in one message to each owner.
    virtual void sendProgress() = 0;
    /// Closes all connections and stops listening. The result handlers of open calls are not called.
    virtual void stop() = 0;
    /// Runs a task on the peer RPC thread. For tests that block the thread temporarily.
    virtual void post(std::function<void()> task) = 0;

    // Queries
    [[nodiscard]] virtual boost::asio::ip::tcp::endpoint localEndpoint() const = 0;
    /// Returns the current counters. Blocks until the peer RPC thread has collected them.
    [[nodiscard]] virtual PeerRpcCounters counters() = 0;
};

} // namespace mulberrywall::permits
