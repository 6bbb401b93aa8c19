#include "PeerRpcServer.h"

#include "PeerRpcCodec.h"

#include "mulberrywall/Support/Log.h"

#include <capnp/rpc-twoparty.h>
#include <kj/debug.h>
#include <openssl/crypto.h>

#include <chrono>
#include <unordered_map>

namespace mulberrywall::permits
{

using std::chrono::steady_clock;

static kj::Duration toKjDuration(std::chrono::milliseconds duration)
{
    return duration.count() * kj::MILLISECONDS;
}

static bool matchesSecret(capnp::Text::Reader given, const std::string &secret)
{
    return given.size() == secret.size() && CRYPTO_memcmp(given.begin(), secret.data(), secret.size()) == 0;
}

/// State of the server that calls and permits use and that may outlive it.
struct PeerRpcServer::SharedServerState
{
    const PeerRpcOptions &options;
    const PeerRpcHandlers &handlers;
    Dispatchers dispatchers;
    PeerRpcCounters counters;
    std::uint64_t lastCallId = 0;
    std::uint64_t lastSession = 0;
    std::unordered_map<std::uint64_t, PeerSession *> sessions;
    std::unordered_map<std::uint64_t, kj::Own<kj::PromiseFulfiller<kj::Own<OwnerAnswer>>>> calls;
};

/// State of the router at the other end of a connection.
struct PeerRpcServer::PeerSession
{
    struct GrantedPermit
    {
        std::shared_ptr<Permit> permit;
        /// Number of output tokens reported so far.
        std::uint64_t outputTokens = 0;
    };

    std::uint64_t number = 0;
    support::InstanceId instance;
    std::uint32_t lastPermit = 0;
    std::unordered_map<std::uint32_t, GrantedPermit> permits;
    /// Set by the login and dropped with the connection.
    kj::Maybe<rpc::Holder::Client> holder;
    steady_clock::time_point lastReceivedAt = steady_clock::now();
    bool loggedIn = false;
    bool loginRejected = false;
    /// Number of waiting calls and held permits. The silence limit applies only while there are any.
    unsigned openCallsAndPermits = 0;
};

struct PeerRpcServer::ServerConnection
{
    ServerConnection(PeerRpcServer &server,
        std::shared_ptr<PeerSession> peerSession,
        kj::Own<kj::AsyncIoStream> acceptedStream,
        capnp::Capability::Client bootstrap,
        const capnp::ReaderOptions &options)
        : owner(server),
          session(std::move(peerSession)),
          stream(kj::mv(acceptedStream)),
          network(*stream, capnp::rpc::twoparty::Side::SERVER, options),
          rpcSystem(capnp::makeRpcServer(network, kj::mv(bootstrap)))
    {
        ++owner.connections_;
        owner.shared_->sessions.emplace(session->number, session.get());
    }
    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;
    ServerConnection(ServerConnection &&) = delete;
    ServerConnection &operator=(ServerConnection &&) = delete;
    ~ServerConnection()
    {
        owner.shared_->sessions.erase(session->number);
        // Services that were exported over the connection keep the session alive, so it must not hold a capability that keeps
        // the connection alive.
        session->holder = nullptr;
        --owner.connections_;
    }

    PeerRpcServer &owner;
    std::shared_ptr<PeerSession> session;
    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpcSystem;
};

class PeerRpcServer::PermitService final : public rpc::Permit::Server
{
public:
    PermitService(std::shared_ptr<SharedServerState> shared, std::shared_ptr<PeerSession> session, std::shared_ptr<Permit> permit, std::uint64_t outputTokens)
        : shared_(std::move(shared)),
          session_(std::move(session)),
          permit_(std::move(permit)),
          number_(++session_->lastPermit)
    {
        session_->permits.emplace(number_, PeerSession::GrantedPermit {.permit = permit_, .outputTokens = outputTokens});
        permit_->setCommandHandler([route = shared_->dispatchers.sendCommand, session = session_->number, number = number_](
                                       const OwnerCommand &command) { route(session, number, command); });
        ++session_->openCallsAndPermits;
        ++shared_->counters.permitsHeldByPeers;
    }
    PermitService(const PermitService &) = delete;
    PermitService &operator=(const PermitService &) = delete;
    PermitService(PermitService &&) = delete;
    PermitService &operator=(PermitService &&) = delete;
    ~PermitService() noexcept(false)
    {
        session_->permits.erase(number_);
        --session_->openCallsAndPermits;
        --shared_->counters.permitsHeldByPeers;
    }

    /// Returns the number of the permit, which is unique within its session.
    [[nodiscard]] std::uint32_t number() const
    {
        return number_;
    }

    kj::Promise<void> finish(FinishContext context) override
    {
        session_->lastReceivedAt = steady_clock::now();
        const auto params = context.getParams();
        permit_->finish({.outcome = fromWire(params.getOutcome()),
            .outputTokens = params.getOutputTokens(),
            .sinceLatestToken = std::chrono::milliseconds(params.getSinceLatestTokenMs()),
            .sinceFirstToken = std::chrono::milliseconds(params.getSinceFirstTokenMs()),
            .refusesFor = std::chrono::milliseconds(params.getRefusesForMs())});
        return kj::READY_NOW;
    }

private:
    std::shared_ptr<SharedServerState> shared_;
    std::shared_ptr<PeerSession> session_;
    std::shared_ptr<Permit> permit_;
    std::uint32_t number_;
};

class PeerRpcServer::PeerService final : public rpc::Peer::Server
{
public:
    PeerService(std::shared_ptr<SharedServerState> shared, std::shared_ptr<PeerSession> session)
        : shared_(std::move(shared)),
          session_(std::move(session))
    {
    }

    kj::Promise<void> acquire(AcquireContext context) override
    {
        session_->lastReceivedAt = steady_clock::now();
        context.allowCancellation();
        const auto request = context.getParams().getRequest();
        const std::uint64_t callId = ++shared_->lastCallId;
        auto answer = kj::newPromiseAndFulfiller<kj::Own<OwnerAnswer>>();
        shared_->calls.emplace(callId, kj::mv(answer.fulfiller));
        ++session_->openCallsAndPermits;
        ++shared_->counters.acquireCallsWaiting;
        auto cleanUp = kj::defer([shared = shared_, session = session_, callId] {
            shared->calls.erase(callId);
            --session->openCallsAndPermits;
            --shared->counters.acquireCallsWaiting;
        });
        // The handler may run on any thread and outlive the server, so it must not own objects of the event loop.
        AcquireTicket ticket = shared_->handlers.acquire(decode(request),
            decodeUnreachable(request),
            [route = shared_->dispatchers.deliverAnswer, callId](OwnerAnswer result) { route(callId, std::move(result)); });
        return answer.promise
            .then([this, context](kj::Own<OwnerAnswer> result) mutable { encodeAnswer(std::move(*result), context.getResults().initAnswer()); })
            .attach(kj::mv(ticket), kj::mv(cleanUp));
    }

    kj::Promise<void> adopt(AdoptContext context) override
    {
        session_->lastReceivedAt = steady_clock::now();
        std::vector<PoolReregistration> pools;
        for (const auto reregistration : context.getParams().getPools()) {
            pools.push_back(decode(reregistration));
        }
        const std::vector<ReregistrationResult> reregistered = shared_->handlers.reregister(session_->instance, pools);
        auto results = context.getResults().initAdopted(reregistered.size());
        for (unsigned index = 0; index < results.size(); ++index) {
            if (!reregistered[index]) {
                continue;
            }
            results[index].setAccepted(true);
            auto permits = results[index].initPermits(reregistered[index]->size());
            auto numbers = results[index].initNumbers(reregistered[index]->size());
            for (unsigned position = 0; position < permits.size(); ++position) {
                auto permit
                    = kj::heap<PermitService>(shared_, session_, (*reregistered[index])[position], pools[index].requests[position].progress.outputTokens);
                numbers.set(position, permit->number());
                permits.set(position, kj::mv(permit));
            }
        }
        return kj::READY_NOW;
    }

    kj::Promise<void> fetchConfiguration(FetchConfigurationContext context) override
    {
        session_->lastReceivedAt = steady_clock::now();
        const auto document = shared_->handlers.fetchConfiguration(context.getParams().getMinimumRevision());
        if (document) {
            context.getResults().setRevision(document->revision);
            context.getResults().setJson(document->json.c_str());
        }
        return kj::READY_NOW;
    }

    kj::Promise<void> ping(PingContext) override
    {
        session_->lastReceivedAt = steady_clock::now();
        return kj::READY_NOW;
    }

    kj::Promise<void> reportProgress(ReportProgressContext context) override
    {
        session_->lastReceivedAt = steady_clock::now();
        const auto params = context.getParams();
        ++shared_->counters.progressMessagesReceived;
        shared_->counters.progressEntriesReceived += params.getProgress().size();
        std::unordered_map<std::uint32_t, std::chrono::milliseconds> firstTokens;
        for (const auto firstToken : params.getFirstTokens()) {
            firstTokens.emplace(firstToken.getPermit(), firstToken.getSinceFirstTokenMs());
        }
        for (const auto progress : params.getProgress()) {
            const auto granted = session_->permits.find(progress.getPermit());
            if (granted == session_->permits.end()) {
                continue;
            }
            const auto firstToken = firstTokens.find(progress.getPermit());
            granted->second.outputTokens += progress.getNewTokens();
            granted->second.permit->recordProgress({.outputTokens = granted->second.outputTokens,
                .sinceLatestToken = std::chrono::milliseconds(progress.getSinceLatestTokenMs()),
                .sinceFirstToken = firstToken == firstTokens.end() ? std::chrono::milliseconds(0) : firstToken->second});
        }
        return kj::READY_NOW;
    }

private:
    void encodeAnswer(OwnerAnswer result, rpc::Answer::Builder builder)
    {
        if (auto *permit = std::get_if<std::shared_ptr<Permit>>(&result)) {
            auto granted = builder.initGranted();
            encode((*permit)->endpoint(), granted.initEndpoint());
            granted.setEnginePriority((*permit)->enginePriority());
            auto service = kj::heap<PermitService>(shared_, session_, std::move(*permit), 0);
            granted.setNumber(service->number());
            granted.setPermit(kj::mv(service));
            return;
        }
        if (const auto *rejection = std::get_if<PermitRejection>(&result)) {
            auto rejected = builder.initRefused();
            rejected.setReason(toWire(rejection->reason));
            rejected.setRetryAfterMs(static_cast<std::uint32_t>(rejection->retryAfter.count()));
            rejected.setDetail(rejection->detail.c_str());
            return;
        }
        builder.setMoved(std::get<PoolMoved>(result).owner.value().c_str());
    }

    std::shared_ptr<SharedServerState> shared_;
    std::shared_ptr<PeerSession> session_;
};

class PeerRpcServer::LoginService final : public rpc::Login::Server
{
public:
    LoginService(std::shared_ptr<SharedServerState> shared, std::shared_ptr<PeerSession> session)
        : shared_(std::move(shared)),
          session_(std::move(session))
    {
    }

    kj::Promise<void> login(LoginContext context) override
    {
        const auto params = context.getParams();
        session_->lastReceivedAt = steady_clock::now();
        if (!matchesSecret(params.getSecret(), shared_->options.secret)) {
            session_->loginRejected = true;
            ++shared_->counters.loginsRejected;
            support::log(support::Severity::Warning, "rejected a peer with a wrong secret; give all routers the same --peer-secret");
            return KJ_EXCEPTION(FAILED, "the secret is wrong; give all routers the same secret");
        }
        session_->loggedIn = true;
        session_->holder = params.getHolder();
        session_->instance = support::InstanceId(params.getInstance().cStr());
        context.getResults().setPeer(kj::heap<PeerService>(shared_, session_));
        return kj::READY_NOW;
    }

private:
    std::shared_ptr<SharedServerState> shared_;
    std::shared_ptr<PeerSession> session_;
};

PeerRpcServer::PeerRpcServer(RpcLoop &loop, const PeerRpcOptions &options, const PeerRpcHandlers &handlers, Dispatchers dispatchers)
    : loop_(loop),
      options_(options),
      shared_(std::make_shared<SharedServerState>(SharedServerState {.options = options, .handlers = handlers, .dispatchers = std::move(dispatchers)})),
      tasks_(*this)
{
}

std::uint16_t PeerRpcServer::listen()
{
    receiver_ = loop_.io().provider->getNetwork().getSockaddr(options_.listen.data(), static_cast<unsigned>(options_.listen.size()))->listen();
    tasks_.add(acceptNext());
    return static_cast<std::uint16_t>(receiver_->getPort());
}

void PeerRpcServer::deliverAnswer(std::uint64_t callId, OwnerAnswer answer)
{
    const auto found = shared_->calls.find(callId);
    if (found != shared_->calls.end()) {
        found->second->fulfill(kj::heap<OwnerAnswer>(std::move(answer)));
    }
}

void PeerRpcServer::sendCommand(std::uint64_t session, std::uint32_t permit, const OwnerCommand &command)
{
    const auto found = shared_->sessions.find(session);
    if (found == shared_->sessions.end() || !found->second->permits.contains(permit)) {
        return;
    }
    KJ_IF_MAYBE (holder, found->second->holder) {
        if (const auto *cancellation = std::get_if<policy::Cancellation>(&command)) {
            auto message = holder->cancelRequest();
            message.setPermit(permit);
            message.setReason(toWire(cancellation->reason));
            tasks_.add(message.send().ignoreResult());
            return;
        }
        auto message = holder->changePriorityRequest();
        message.setPermit(permit);
        message.setEnginePriority(std::get<policy::PriorityChange>(command).enginePriority);
        tasks_.add(message.send().ignoreResult());
    }
}

const PeerRpcCounters &PeerRpcServer::counters() const
{
    return shared_->counters;
}

void PeerRpcServer::taskFailed(kj::Exception &&exception)
{
    support::log(support::Severity::Info, "a peer connection ended", {{"error", exception.getDescription().cStr()}});
}

kj::Promise<void> PeerRpcServer::acceptNext()
{
    return receiver_->accept().then([this](kj::Own<kj::AsyncIoStream> stream) {
        serve(kj::mv(stream));
        return acceptNext();
    });
}

void PeerRpcServer::serve(kj::Own<kj::AsyncIoStream> stream)
{
    if (connections_ >= options_.maxConnections) {
        support::log(
            support::Severity::Warning, "closed a new peer connection because the limit of connections is reached", {{"limit", options_.maxConnections}});
        return;
    }
    ++shared_->counters.connectionsAccepted;
    capnp::ReaderOptions options;
    options.traversalLimitInWords = options_.maxRequestBytes / sizeof(capnp::word);
    auto session = std::make_shared<PeerSession>();
    session->number = ++shared_->lastSession;
    auto connection = kj::heap<ServerConnection>(*this, session, kj::mv(stream), kj::heap<LoginService>(shared_, session), options);
    auto ended = connection->network.onDisconnect().exclusiveJoin(monitorSession(session));
    tasks_.add(ended.attach(kj::mv(connection)));
}

kj::Promise<void> PeerRpcServer::monitorSession(const std::shared_ptr<PeerSession> &session)
{
    return loop_.io().provider->getTimer().afterDelay(toKjDuration(options_.checkInterval)).then([this, session]() -> kj::Promise<void> {
        if (shouldClose(*session)) {
            return kj::READY_NOW;
        }
        return monitorSession(session);
    });
}

bool PeerRpcServer::shouldClose(const PeerSession &session)
{
    const auto silence = steady_clock::now() - session.lastReceivedAt;
    if (session.loginRejected) {
        return true;
    }
    if (silence > options_.maxSilence && (session.openCallsAndPermits > 0 || !session.loggedIn)) {
        ++shared_->counters.peersTimedOut;
        support::log(support::Severity::Warning,
            "a peer exceeded the silence limit; closing its connection and freeing its permits",
            {{"peer", session.instance.value()}});
        return true;
    }
    return silence > options_.maxIdleTime;
}

} // namespace mulberrywall::permits
