#include "mulberrywall/Permits/PeerRpc.h"

#include "PeerRpcClient.h"
#include "PeerRpcServer.h"

#include <boost/system/system_error.hpp>

#include <atomic>

namespace mulberrywall::permits
{

namespace
{

class CapnpPeerRpc : public PeerRpc, public std::enable_shared_from_this<CapnpPeerRpc>
{
public:
    CapnpPeerRpc(boost::asio::io_context &context, const PeerRpcOptions &options, PeerRpcHandlers handlers)
        : context_(context),
          options_(options),
          handlers_(std::move(handlers))
    {
    }
    CapnpPeerRpc(const CapnpPeerRpc &) = delete;
    CapnpPeerRpc &operator=(const CapnpPeerRpc &) = delete;
    CapnpPeerRpc(CapnpPeerRpc &&) = delete;
    CapnpPeerRpc &operator=(CapnpPeerRpc &&) = delete;
    ~CapnpPeerRpc() noexcept override
    {
        stop();
    }

    void listen()
    {
        std::uint16_t port = 0;
        std::string failure;
        loop_.runAndWait([&] {
            KJ_IF_MAYBE (exception, kj::runCatchingExceptions([&] { port = startInLoop(); })) {
                failure = exception->getDescription().cStr();
            }
        });
        if (!failure.empty()) {
            throw boost::system::system_error(make_error_code(boost::system::errc::address_in_use), "cannot listen for peer connections: " + failure);
        }
        localEndpoint_ = {options_.listen.address(), port};
    }

    AcquireTicket acquire(const PeerAddress &peer,
        PermitRequest request,
        std::vector<support::InstanceId> unreachable,
        std::function<void(PeerCallResult<OwnerAnswer>)> handler) override
    {
        const std::uint64_t callId = ++lastCallId_;
        inClient([=, request = std::move(request), unreachable = std::move(unreachable), handler = std::move(handler)](
                     PeerRpcClient &client) mutable { client.acquire(callId, peer, request, unreachable, std::move(handler)); });
        return {this, [weak = weak_from_this(), callId](void *) {
                    if (const auto self = weak.lock()) {
                        self->inClient([callId](PeerRpcClient &client) { client.withdraw(callId); });
                    }
                }};
    }

    void reregister(
        const PeerAddress &peer, std::vector<PoolReregistration> pools, std::function<void(PeerCallResult<std::vector<ReregistrationResult>>)> handler) override
    {
        inClient([callId = ++lastCallId_, peer, pools = std::move(pools), handler = std::move(handler)](
                     PeerRpcClient &client) mutable { client.reregister(callId, peer, pools, std::move(handler)); });
    }

    void fetchConfiguration(const PeerAddress &peer, std::uint64_t minimumRevision, std::function<void(PeerCallResult<ConfigurationDocument>)> handler) override
    {
        inClient([callId = ++lastCallId_, peer, minimumRevision, handler = std::move(handler)](
                     PeerRpcClient &client) mutable { client.fetchConfiguration(callId, peer, minimumRevision, std::move(handler)); });
    }

    void sendProgress() override
    {
        inClient([](PeerRpcClient &client) { client.sendProgress(); });
    }

    void stop() override
    {
        loop_.runAndWait([this] {
            client_ = nullptr;
            server_ = nullptr;
        });
    }

    void post(std::function<void()> task) override
    {
        loop_.post([task = std::move(task)] { task(); });
    }

    boost::asio::ip::tcp::endpoint localEndpoint() const override
    {
        return localEndpoint_;
    }

    PeerRpcCounters counters() override
    {
        PeerRpcCounters counters;
        loop_.runAndWait([&] {
            if (server_.get() != nullptr) {
                counters = server_->counters();
                client_->addTraffic(counters);
            }
        });
        return counters;
    }

private:
    std::uint16_t startInLoop()
    {
        client_ = kj::heap<PeerRpcClient>(loop_,
            context_,
            options_,
            handlers_,
            [weak = weak_from_this()](std::uint64_t permit, configuration::Endpoint endpoint, std::uint8_t enginePriority) {
                return makePermit(weak, permit, std::move(endpoint), enginePriority);
            });
        const PeerRpcServer::Dispatchers dispatchers {
            .deliverAnswer =
                [weak = weak_from_this()](std::uint64_t callId, OwnerAnswer answer) {
                    if (const auto self = weak.lock()) {
                        self->inServer(
                            [callId, answer = std::move(answer)](PeerRpcServer &server) mutable { server.deliverAnswer(callId, std::move(answer)); });
                    }
                },
            .sendCommand =
                [weak = weak_from_this()](std::uint64_t session, std::uint32_t permit, const OwnerCommand &command) {
                    if (const auto self = weak.lock()) {
                        self->inServer([session, permit, command](PeerRpcServer &server) { server.sendCommand(session, permit, command); });
                    }
                },
        };
        server_ = kj::heap<PeerRpcServer>(loop_, options_, handlers_, dispatchers);
        return server_->listen();
    }

    template <typename Task>
    void inServer(Task task)
    {
        loop_.post([this, task = std::move(task)]() mutable {
            if (server_.get() != nullptr) {
                task(*server_);
            }
        });
    }

    static std::shared_ptr<Permit> makePermit(
        const std::weak_ptr<CapnpPeerRpc> &weak, std::uint64_t permit, configuration::Endpoint endpoint, std::uint8_t enginePriority)
    {
        Permit::OwnerCallbacks callbacks {
            .recordProgress =
                [weak, permit](const policy::Progress &progress) {
                    if (const auto self = weak.lock()) {
                        self->inClient([permit, progress](PeerRpcClient &client) { client.recordProgress(permit, progress); });
                    }
                },
            .finish =
                [weak, permit](const policy::Completion &completion) {
                    if (const auto self = weak.lock()) {
                        self->inClient([permit, completion](PeerRpcClient &client) { client.finish(permit, completion); });
                    }
                },
        };
        return std::make_shared<Permit>(std::move(endpoint), enginePriority, std::move(callbacks));
    }

    template <typename Task>
    void inClient(Task task)
    {
        loop_.post([this, task = std::move(task)]() mutable {
            if (client_.get() != nullptr) {
                task(*client_);
            }
        });
    }

    boost::asio::io_context &context_;
    PeerRpcOptions options_;
    PeerRpcHandlers handlers_;
    boost::asio::ip::tcp::endpoint localEndpoint_;
    std::atomic<std::uint64_t> lastCallId_ {0};
    kj::Own<PeerRpcClient> client_;
    kj::Own<PeerRpcServer> server_;
    /// The last member, so that its thread is joined before the objects that it uses are destroyed.
    RpcLoop loop_;
};

} // namespace

std::shared_ptr<PeerRpc> PeerRpc::create(boost::asio::io_context &context, const PeerRpcOptions &options, PeerRpcHandlers handlers)
{
    auto network = std::make_shared<CapnpPeerRpc>(context, options, std::move(handlers));
    network->listen();
    return network;
}

} // namespace mulberrywall::permits
