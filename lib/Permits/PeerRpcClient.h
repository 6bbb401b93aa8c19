#pragma once

#include "RpcLoop.h"

#include "mulberrywall/Permits/PeerRpc.h"

#include <map>
#include <unordered_map>

namespace mulberrywall::permits
{

/// Client of other routers. To be used on the thread of the loop only.
class PeerRpcClient final : private kj::TaskSet::ErrorHandler
{
public:
    /// Creates a permit whose callbacks lead to recordProgress and finish below; they may be called on any thread.
    using PermitFactory = std::function<std::shared_ptr<Permit>(std::uint64_t permit, configuration::Endpoint endpoint, std::uint8_t enginePriority)>;

    PeerRpcClient(RpcLoop &loop, boost::asio::io_context &context, const PeerRpcOptions &options, const PeerRpcHandlers &handlers, PermitFactory makePermit);
    ~PeerRpcClient() noexcept(false);
    PeerRpcClient(const PeerRpcClient &) = delete;
    PeerRpcClient &operator=(const PeerRpcClient &) = delete;
    PeerRpcClient(PeerRpcClient &&) = delete;
    PeerRpcClient &operator=(PeerRpcClient &&) = delete;

    void acquire(std::uint64_t callId,
        const PeerAddress &peer,
        const PermitRequest &request,
        const std::vector<support::InstanceId> &unreachable,
        std::function<void(PeerCallResult<OwnerAnswer>)> handler);
    void withdraw(std::uint64_t callId);
    void reregister(std::uint64_t callId,
        const PeerAddress &peer,
        const std::vector<PoolReregistration> &pools,
        std::function<void(PeerCallResult<std::vector<ReregistrationResult>>)> handler);
    void fetchConfiguration(
        std::uint64_t callId, const PeerAddress &peer, std::uint64_t minimumRevision, std::function<void(PeerCallResult<ConfigurationDocument>)> handler);
    /// Stores the progress until the next call of sendProgress.
    void recordProgress(std::uint64_t permit, const policy::Progress &progress);
    /// Sends the stored progress, in one message on each connection.
    void sendProgress();
    void finish(std::uint64_t permit, const policy::Completion &completion);
    /// Adds the traffic of all open connections to the counters.
    void addTraffic(PeerRpcCounters &counters);

private:
    struct ClientConnection;
    struct PendingCall;
    struct RemotePermit;
    class HolderService;
    /// Permits by their numbers, which are unique on one connection.
    using PermitsByNumber = std::unordered_map<std::uint32_t, std::weak_ptr<Permit>>;
    struct GrantDetails
    {
        std::uint32_t number = 0;
        configuration::Endpoint endpoint;
        std::uint8_t enginePriority = 0;
        std::uint64_t outputTokens = 0;
    };
    using ConnectionKey = std::pair<support::InstanceId, boost::asio::ip::tcp::endpoint>;

    void taskFailed(kj::Exception &&exception) override;
    ClientConnection &connectionTo(const PeerAddress &peer);
    kj::Promise<void> connect(ClientConnection &connection);
    kj::Promise<void> pingWhileNeeded(ClientConnection &connection);
    void dropConnection(const ConnectionKey &key, const std::string &detail);
    template <typename Answer, typename Request, typename Decode>
    void startCall(
        std::uint64_t callId, ClientConnection &connection, Request request, Decode decodeAnswer, std::function<void(PeerCallResult<Answer>)> handler);
    void endCall(std::uint64_t callId);
    template <typename Reader>
    std::shared_ptr<Permit> addRemotePermit(ClientConnection &connection, Reader permit, GrantDetails answer);
    template <typename Request>
    void sendAndRecordAnswer(ClientConnection &connection, Request request);
    void sendProgressTo(ClientConnection &connection);

    RpcLoop &loop_;
    boost::asio::io_context &context_;
    const PeerRpcOptions &options_;
    const PeerRpcHandlers &handlers_;
    PermitFactory makePermit_;
    std::uint64_t lastPermit_ = 0;
    std::map<ConnectionKey, kj::Own<ClientConnection>> connections_;
    std::unordered_map<std::uint64_t, PendingCall> calls_;
    std::unordered_map<std::uint64_t, RemotePermit> permits_;
    kj::TaskSet tasks_;
};

} // namespace mulberrywall::permits
