#pragma once

#include "RpcLoop.h"

#include "mulberrywall/Permits/PeerRpc.h"

#include <map>
#include <unordered_map>

namespace mulberrywall::permits
{

/// Calls other routers. Lives in the thread of the loop.
class PeerRpcClient final : private kj::TaskSet::ErrorHandler
{
public:
    /// Makes a permit whose operations come back to the functions below, from any thread.
    using PermitMaker = std::function<std::shared_ptr<Permit>(std::uint64_t permit, configuration::Endpoint endpoint, std::uint8_t enginePriority)>;

    PeerRpcClient(RpcLoop &loop, boost::asio::io_context &context, const PeerRpcOptions &options, const PeerRpcHandlers &handlers, PermitMaker makePermit);
    ~PeerRpcClient() noexcept(false);
    PeerRpcClient(const PeerRpcClient &) = delete;
    PeerRpcClient &operator=(const PeerRpcClient &) = delete;
    PeerRpcClient(PeerRpcClient &&) = delete;
    PeerRpcClient &operator=(PeerRpcClient &&) = delete;

    void acquire(std::uint64_t call,
        const PeerAddress &peer,
        const PermitRequest &request,
        const std::vector<support::InstanceId> &unreachable,
        std::function<void(PeerCallResult<OwnerAnswer>)> handler);
    void withdraw(std::uint64_t call);
    void reregister(std::uint64_t call,
        const PeerAddress &peer,
        const std::vector<PoolReregistration> &pools,
        std::function<void(PeerCallResult<std::vector<ReregistrationResult>>)> handler);
    void fetchConfiguration(
        std::uint64_t call, const PeerAddress &peer, std::uint64_t minimumRevision, std::function<void(PeerCallResult<ConfigurationDocument>)> handler);
    /// Keeps the progress until sendProgress.
    void recordProgress(std::uint64_t permit, const policy::Progress &progress);
    void sendProgress();
    void finish(std::uint64_t permit, const policy::Completion &completion);
    void addTraffic(PeerRpcCounters &counters);

private:
    struct Connection;
    struct Call;
    struct HeldPermit;
    class HolderService;
    /// Permits by their numbers on one connection.
    using NumberedPermits = std::unordered_map<std::uint32_t, std::weak_ptr<Permit>>;
    struct PermitAnswer
    {
        std::uint32_t number = 0;
        configuration::Endpoint endpoint;
        std::uint8_t enginePriority = 0;
        std::uint64_t outputTokens = 0;
    };
    using ConnectionKey = std::pair<support::InstanceId, boost::asio::ip::tcp::endpoint>;

    void taskFailed(kj::Exception &&exception) override;
    Connection &connectionTo(const PeerAddress &peer);
    kj::Promise<void> connect(Connection &connection);
    kj::Promise<void> pingWhileNeeded(Connection &connection);
    void lose(const ConnectionKey &key, const std::string &detail);
    template <typename Answer, typename Request, typename Decode>
    void start(std::uint64_t call, Connection &connection, Request request, Decode decodeAnswer, std::function<void(PeerCallResult<Answer>)> handler);
    void end(std::uint64_t call);
    template <typename Reader>
    std::shared_ptr<Permit> hold(Connection &connection, Reader permit, PermitAnswer answer);
    template <typename Request>
    void sendAndNote(Connection &connection, Request request);
    void sendProgressTo(Connection &connection);

    RpcLoop &loop_;
    boost::asio::io_context &context_;
    const PeerRpcOptions &options_;
    const PeerRpcHandlers &handlers_;
    PermitMaker makePermit_;
    std::uint64_t lastPermit_ = 0;
    std::map<ConnectionKey, kj::Own<Connection>> connections_;
    std::unordered_map<std::uint64_t, Call> calls_;
    std::unordered_map<std::uint64_t, HeldPermit> permits_;
    kj::TaskSet tasks_;
};

} // namespace mulberrywall::permits
