#include "PeerRpcClient.h"

#include "PeerRpcCodec.h"
#include "SocketTraffic.h"

#include "mulberrywall/Support/Log.h"

#include <boost/asio/post.hpp>

#include <capnp/rpc-twoparty.h>
#include <kj/debug.h>
#include <kj/io.h>

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace mulberrywall::permits
{

using std::chrono::steady_clock;

static kj::Duration toKjDuration(std::chrono::milliseconds duration)
{
    return duration.count() * kj::MILLISECONDS;
}

/// Connects from the address of this router's listener, so that firewalls between data centres see one address per router.
static kj::Promise<kj::Own<kj::AsyncIoStream>> connectFrom(
    kj::AsyncIoContext &io, const boost::asio::ip::address &source, const boost::asio::ip::tcp::endpoint &target)
{
    const auto size = static_cast<unsigned>(target.size());
    if (source.is_unspecified() || source.is_v4() != target.address().is_v4()) {
        auto resolved = io.provider->getNetwork().getSockaddr(target.data(), size);
        return resolved->connect().attach(kj::mv(resolved));
    }
    int descriptor = -1;
    KJ_SYSCALL(descriptor = ::socket(target.data()->sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    kj::AutoCloseFd socket(descriptor);
    // KJ sets the same option on the sockets that it creates itself. Without it, a permit waits for a delayed acknowledgement
    // of up to 40 ms.
    const int enabled = 1;
    KJ_SYSCALL(::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled)));
    const boost::asio::ip::tcp::endpoint local(source, 0);
    KJ_SYSCALL(::bind(socket, local.data(), static_cast<socklen_t>(local.size())));
    return io.lowLevelProvider->wrapConnectingSocketFd(kj::mv(socket), target.data(), size);
}

struct PeerRpcClient::ClientConnection
{
    PeerAddress peer;
    kj::Own<kj::AsyncIoStream> stream;
    kj::Own<capnp::TwoPartyVatNetwork> network;
    kj::Own<capnp::RpcSystem<capnp::rpc::twoparty::VatId>> rpcSystem;
    /// Usable immediately; calls are queued until the login has succeeded.
    rpc::Peer::Client service = nullptr;
    /// Number of calls in progress and permits held on this connection.
    unsigned openCallsAndPermits = 0;
    steady_clock::time_point lastUsed = steady_clock::now();
    /// Send time of the latest call that was answered. Since then each side has received a message of the other. Shared with
    /// calls that end after the connection.
    std::shared_ptr<steady_clock::time_point> confirmedAliveAt = std::make_shared<steady_clock::time_point>();
    /// Shared with the service that the peer calls, which is destroyed some events after the connection.
    std::shared_ptr<PermitsByNumber> permits = std::make_shared<PermitsByNumber>();
    /// Keys of permits with progress that was not sent yet.
    std::vector<std::uint64_t> permitsWithProgress;

    [[nodiscard]] ConnectionKey key() const
    {
        return {peer.instance, peer.address};
    }
};

struct PeerRpcClient::PendingCall
{
    ClientConnection *connection;
    kj::Promise<void> answer;
    std::function<void(PeerCallFailure)> fail;
    bool answered = false;
};

struct PeerRpcClient::RemotePermit
{
    ClientConnection *connection;
    rpc::Permit::Client service;
    std::uint32_t number = 0;
    /// Number of output tokens that were reported to the owner.
    std::uint64_t reportedTokens = 0;
    policy::Progress progress;
    bool hasUnreportedProgress = false;
};

/// Passes the commands of an owner to the permits that it has granted.
class PeerRpcClient::HolderService final : public rpc::Holder::Server
{
public:
    explicit HolderService(std::shared_ptr<PermitsByNumber> permits)
        : permits_(std::move(permits))
    {
    }

    kj::Promise<void> cancel(CancelContext context) override
    {
        const auto params = context.getParams();
        return pass(params.getPermit(), policy::Cancellation {.reason = fromWire(params.getReason())});
    }

    kj::Promise<void> changePriority(ChangePriorityContext context) override
    {
        const auto params = context.getParams();
        return pass(params.getPermit(), policy::PriorityChange {.enginePriority = params.getEnginePriority()});
    }

private:
    kj::Promise<void> pass(std::uint32_t number, const OwnerCommand &command)
    {
        // Deferred until other pending events are processed, because the answer that grants the permit may have been received
        // but not processed yet.
        return kj::evalLast([permits = permits_, number, command] {
            const auto found = permits->find(number);
            const auto permit = found == permits->end() ? nullptr : found->second.lock();
            if (permit) {
                permit->command(command);
            }
        });
    }

    std::shared_ptr<PermitsByNumber> permits_;
};

/// Converts an age to its encoding in milliseconds, limited to the range of 16 bits.
static std::uint16_t toWireMs(std::chrono::milliseconds age)
{
    return static_cast<std::uint16_t>(std::clamp<std::int64_t>(age.count(), 0, std::numeric_limits<std::uint16_t>::max()));
}

PeerRpcClient::PeerRpcClient(
    RpcLoop &loop, boost::asio::io_context &context, const PeerRpcOptions &options, const PeerRpcHandlers &handlers, PermitFactory makePermit)
    : loop_(loop),
      context_(context),
      options_(options),
      handlers_(handlers),
      makePermit_(std::move(makePermit)),
      tasks_(*this)
{
}

PeerRpcClient::~PeerRpcClient() noexcept(false) = default;

void PeerRpcClient::taskFailed(kj::Exception &&exception)
{
    support::log(support::Severity::Debug, "an RPC call to a peer failed", {{"error", exception.getDescription().cStr()}});
}

PeerRpcClient::ClientConnection &PeerRpcClient::connectionTo(const PeerAddress &peer)
{
    const ConnectionKey key {peer.instance, peer.address};
    const auto found = connections_.find(key);
    if (found != connections_.end()) {
        found->second->lastUsed = steady_clock::now();
        return *found->second;
    }
    auto created = kj::heap<ClientConnection>();
    ClientConnection &connection = *created;
    connection.peer = peer;
    connections_.emplace(key, kj::mv(created));
    auto connected = connect(connection).fork();
    connection.service = rpc::Peer::Client(connected.addBranch().then([&connection] { return connection.service; }));
    // Resolved at the end of the connection. The connection is removed in a later event, because the continuations that are
    // running now still refer to it.
    auto ended = connected.addBranch().then([this, &connection] { return connection.network->onDisconnect().exclusiveJoin(pingWhileNeeded(connection)); });
    tasks_.add(
        ended
            .then([] { return std::string("the peer has closed the connection"); },
                [](kj::Exception &&exception) { return std::string(exception.getDescription().cStr()); })
            .then([this, key](std::string detail) { tasks_.add(kj::evalLater([this, key, detail = std::move(detail)] { dropConnection(key, detail); })); }));
    return connection;
}

kj::Promise<void> PeerRpcClient::connect(ClientConnection &connection)
{
    kj::Timer &timer = loop_.io().provider->getTimer();
    // An exception during the creation of the socket must end this connection only, like a refused connection.
    auto opened = kj::evalNow([&] { return connectFrom(loop_.io(), options_.listen.address(), connection.peer.address); });
    auto connected = opened.then([this, &connection](kj::Own<kj::AsyncIoStream> stream) {
        capnp::ReaderOptions options;
        options.traversalLimitInWords = options_.maxAnswerBytes / sizeof(capnp::word);
        connection.stream = kj::mv(stream);
        connection.network = kj::heap<capnp::TwoPartyVatNetwork>(*connection.stream, capnp::rpc::twoparty::Side::CLIENT, options);
        connection.rpcSystem = kj::heap<capnp::RpcSystem<capnp::rpc::twoparty::VatId>>(capnp::makeRpcClient(*connection.network));
        capnp::MallocMessageBuilder vatMessage;
        auto vat = vatMessage.initRoot<capnp::rpc::twoparty::VatId>();
        vat.setSide(capnp::rpc::twoparty::Side::SERVER);
        auto request = connection.rpcSystem->bootstrap(vat).castAs<rpc::Login>().loginRequest();
        request.setSecret(options_.secret.c_str());
        request.setInstance(options_.instance.value().c_str());
        request.setIncarnation(options_.incarnation);
        request.setHolder(kj::heap<HolderService>(connection.permits));
        return request.send();
    });
    return timer.timeoutAfter(toKjDuration(options_.pingTimeout), kj::mv(connected)).then([&connection](capnp::Response<rpc::Login::LoginResults> &&response) {
        connection.service = response.getPeer();
    });
}

kj::Promise<void> PeerRpcClient::pingWhileNeeded(ClientConnection &connection)
{
    kj::Timer &timer = loop_.io().provider->getTimer();
    return timer.afterDelay(toKjDuration(options_.pingInterval)).then([this, &connection, &timer]() -> kj::Promise<void> {
        if (connection.openCallsAndPermits > 0) {
            connection.lastUsed = steady_clock::now();
            // An answered call replaces the ping: pings on busy connections would take half of the bytes that a node may spend
            // on control traffic.
            if (connection.lastUsed - *connection.confirmedAliveAt < options_.pingInterval) {
                return pingWhileNeeded(connection);
            }
            return timer.timeoutAfter(toKjDuration(options_.pingTimeout), connection.service.pingRequest().send().ignoreResult()).then([this, &connection] {
                return pingWhileNeeded(connection);
            });
        }
        // Closes an idle connection earlier than the peer does, so that no call is sent on a connection that the peer is about
        // to close.
        if (steady_clock::now() - connection.lastUsed > options_.maxIdleTime / 2) {
            return kj::READY_NOW;
        }
        return pingWhileNeeded(connection);
    });
}

void PeerRpcClient::dropConnection(const ConnectionKey &key, const std::string &detail)
{
    const auto found = connections_.find(key);
    if (found == connections_.end()) {
        return;
    }
    const kj::Own<ClientConnection> connection = kj::mv(found->second);
    connections_.erase(found);
    const std::string text = "router '" + key.first.value() + "' cannot be reached: " + detail;
    std::erase_if(permits_, [&connection](const auto &entry) { return entry.second.connection == connection.get(); });
    for (auto &[id, pendingCall] : calls_) {
        if (pendingCall.connection == connection.get() && !pendingCall.answered) {
            pendingCall.answered = true;
            pendingCall.fail({text});
        }
    }
    std::erase_if(calls_, [&connection](const auto &entry) { return entry.second.connection == connection.get(); });
    if (connection->openCallsAndPermits > 0) {
        support::log(support::Severity::Warning, "lost the connection to a peer", {{"peer", key.first.value()}, {"error", detail}});
    }
    boost::asio::post(context_, [handler = handlers_.peerLost, instance = key.first] {
        if (handler) {
            handler(instance);
        }
    });
}

template <typename Answer, typename Request, typename Decode>
void PeerRpcClient::startCall(
    std::uint64_t callId, ClientConnection &connection, Request request, Decode decodeAnswer, std::function<void(PeerCallResult<Answer>)> handler)
{
    const auto reply = [this, handler](PeerCallResult<Answer> result) {
        boost::asio::post(context_, [handler, result = std::move(result)]() mutable { handler(std::move(result)); });
    };
    auto answer = request.send().then(
        [this, callId, decodeAnswer, reply, confirmedAliveAt = connection.confirmedAliveAt, sentAt = steady_clock::now()](auto &&response) mutable {
            *confirmedAliveAt = std::max(*confirmedAliveAt, sentAt);
            const auto found = calls_.find(callId);
            if (found == calls_.end() || found->second.answered) {
                return;
            }
            found->second.answered = true;
            reply(decodeAnswer(response));
            tasks_.add(kj::evalLater([this, callId] { endCall(callId); }));
        },
        [this, callId, reply](kj::Exception &&exception) {
            const auto found = calls_.find(callId);
            if (found == calls_.end() || found->second.answered) {
                return;
            }
            found->second.answered = true;
            reply(PeerCallFailure {exception.getDescription().cStr()});
            tasks_.add(kj::evalLater([this, callId] { endCall(callId); }));
        });
    ++connection.openCallsAndPermits;
    calls_.emplace(callId, PendingCall {.connection = &connection, .answer = answer.eagerlyEvaluate(nullptr), .fail = [reply](PeerCallFailure failure) {
                                            reply(std::move(failure));
                                        }});
}

void PeerRpcClient::endCall(std::uint64_t callId)
{
    const auto found = calls_.find(callId);
    if (found == calls_.end()) {
        return;
    }
    --found->second.connection->openCallsAndPermits;
    calls_.erase(found);
}

template <typename Reader>
std::shared_ptr<Permit> PeerRpcClient::addRemotePermit(ClientConnection &connection, Reader permit, GrantDetails answer)
{
    const std::uint64_t key = ++lastPermit_;
    permits_.emplace(key, RemotePermit {.connection = &connection, .service = permit, .number = answer.number, .reportedTokens = answer.outputTokens});
    ++connection.openCallsAndPermits;
    auto remotePermit = makePermit_(key, std::move(answer.endpoint), answer.enginePriority);
    connection.permits->insert_or_assign(answer.number, remotePermit);
    return remotePermit;
}

void PeerRpcClient::acquire(std::uint64_t callId,
    const PeerAddress &peer,
    const PermitRequest &request,
    const std::vector<support::InstanceId> &unreachable,
    std::function<void(PeerCallResult<OwnerAnswer>)> handler)
{
    ClientConnection &connection = connectionTo(peer);
    auto message = connection.service.acquireRequest();
    encode(request, unreachable, message.initRequest());
    const auto decodeAnswer = [this, &connection](const capnp::Response<rpc::Peer::AcquireResults> &response) -> OwnerAnswer {
        const auto answer = response.getAnswer();
        switch (answer.which()) {
        case rpc::Answer::GRANTED: {
            const auto granted = answer.getGranted();
            return addRemotePermit(connection,
                granted.getPermit(),
                {.number = granted.getNumber(), .endpoint = decode(granted.getEndpoint()), .enginePriority = granted.getEnginePriority()});
        }
        case rpc::Answer::REFUSED: {
            const auto rejected = answer.getRefused();
            return PermitRejection {.reason = fromWire(rejected.getReason()),
                .retryAfter = std::chrono::milliseconds(rejected.getRetryAfterMs()),
                .detail = rejected.getDetail().cStr()};
        }
        case rpc::Answer::MOVED:
            return PoolMoved {support::InstanceId(answer.getMoved().cStr())};
        }
        return PoolMoved {};
    };
    startCall<OwnerAnswer>(callId, connection, kj::mv(message), decodeAnswer, std::move(handler));
}

void PeerRpcClient::withdraw(std::uint64_t callId)
{
    endCall(callId);
}

void PeerRpcClient::reregister(std::uint64_t callId,
    const PeerAddress &peer,
    const std::vector<PoolReregistration> &pools,
    std::function<void(PeerCallResult<std::vector<ReregistrationResult>>)> handler)
{
    ClientConnection &connection = connectionTo(peer);
    auto message = connection.service.adoptRequest();
    auto list = message.initPools(pools.size());
    std::vector<std::vector<GrantDetails>> expected;
    for (unsigned index = 0; index < list.size(); ++index) {
        encode(pools[index], list[index]);
        expected.emplace_back();
        for (const PoolReregistration::ReregisteredRequest &running : pools[index].requests) {
            expected.back().push_back({.endpoint = {.id = running.endpoint}, .outputTokens = running.progress.outputTokens});
        }
    }
    const auto decodeAnswer = [this, &connection, expected = std::move(expected)](const capnp::Response<rpc::Peer::AdoptResults> &response) {
        std::vector<ReregistrationResult> reregistered(expected.size());
        const auto answers = response.getAdopted();
        for (unsigned index = 0; index < std::min<std::size_t>(answers.size(), reregistered.size()); ++index) {
            const auto permits = answers[index].getPermits();
            const auto numbers = answers[index].getNumbers();
            if (!answers[index].getAccepted() || permits.size() != expected[index].size() || numbers.size() != permits.size()) {
                continue;
            }
            reregistered[index].emplace();
            for (unsigned position = 0; position < permits.size(); ++position) {
                GrantDetails permit = expected[index][position];
                permit.number = numbers[position];
                reregistered[index]->push_back(addRemotePermit(connection, rpc::Permit::Client(permits[position]), std::move(permit)));
            }
        }
        return reregistered;
    };
    startCall<std::vector<ReregistrationResult>>(callId, connection, kj::mv(message), decodeAnswer, std::move(handler));
}

void PeerRpcClient::fetchConfiguration(
    std::uint64_t callId, const PeerAddress &peer, std::uint64_t minimumRevision, std::function<void(PeerCallResult<ConfigurationDocument>)> handler)
{
    ClientConnection &connection = connectionTo(peer);
    auto message = connection.service.fetchConfigurationRequest();
    message.setMinimumRevision(minimumRevision);
    const auto decodeAnswer = [](const capnp::Response<rpc::Peer::FetchConfigurationResults> &response) {
        return ConfigurationDocument {.revision = response.getRevision(), .json = response.getJson().cStr()};
    };
    startCall<ConfigurationDocument>(callId, connection, kj::mv(message), decodeAnswer, std::move(handler));
}

template <typename Request>
void PeerRpcClient::sendAndRecordAnswer(ClientConnection &connection, Request request)
{
    tasks_.add(request.send().ignoreResult().then(
        [confirmedAliveAt = connection.confirmedAliveAt, sentAt = steady_clock::now()] { *confirmedAliveAt = std::max(*confirmedAliveAt, sentAt); }));
}

void PeerRpcClient::recordProgress(std::uint64_t permit, const policy::Progress &progress)
{
    const auto found = permits_.find(permit);
    if (found == permits_.end()) {
        return;
    }
    RemotePermit &remotePermit = found->second;
    remotePermit.progress = progress;
    if (!std::exchange(remotePermit.hasUnreportedProgress, true)) {
        remotePermit.connection->permitsWithProgress.push_back(permit);
    }
}

void PeerRpcClient::sendProgress()
{
    for (auto &[key, connection] : connections_) {
        sendProgressTo(*connection);
    }
}

void PeerRpcClient::sendProgressTo(ClientConnection &connection)
{
    std::vector<RemotePermit *> withNewTokens;
    std::vector<const RemotePermit *> withFirstToken;
    for (const std::uint64_t permit : std::exchange(connection.permitsWithProgress, {})) {
        const auto found = permits_.find(permit);
        if (found == permits_.end()) {
            continue;
        }
        found->second.hasUnreportedProgress = false;
        if (found->second.progress.outputTokens > found->second.reportedTokens) {
            withNewTokens.push_back(&found->second);
        }
        if (found->second.reportedTokens == 0) {
            withFirstToken.push_back(&found->second);
        }
    }
    if (withNewTokens.empty()) {
        return;
    }
    auto message = connection.service.reportProgressRequest();
    auto list = message.initProgress(withNewTokens.size());
    for (unsigned index = 0; index < list.size(); ++index) {
        RemotePermit &remotePermit = *withNewTokens[index];
        // Tokens beyond the range of the field are sent with the next progress message.
        const std::uint64_t newTokens
            = std::min<std::uint64_t>(remotePermit.progress.outputTokens - remotePermit.reportedTokens, std::numeric_limits<std::uint16_t>::max());
        remotePermit.reportedTokens += newTokens;
        list[index].setPermit(remotePermit.number);
        list[index].setNewTokens(static_cast<std::uint16_t>(newTokens));
        list[index].setSinceLatestTokenMs(toWireMs(remotePermit.progress.sinceLatestToken));
    }
    auto firstTokens = message.initFirstTokens(withFirstToken.size());
    for (unsigned index = 0; index < firstTokens.size(); ++index) {
        firstTokens[index].setPermit(withFirstToken[index]->number);
        firstTokens[index].setSinceFirstTokenMs(toWireMs(withFirstToken[index]->progress.sinceFirstToken));
    }
    sendAndRecordAnswer(connection, kj::mv(message));
}

void PeerRpcClient::finish(std::uint64_t permit, const policy::Completion &completion)
{
    const auto found = permits_.find(permit);
    if (found == permits_.end()) {
        return;
    }
    auto message = found->second.service.finishRequest();
    message.setOutcome(toWire(completion.outcome));
    message.setOutputTokens(completion.outputTokens);
    message.setSinceLatestTokenMs(toWireMs(completion.sinceLatestToken));
    message.setSinceFirstTokenMs(toWireMs(completion.sinceFirstToken));
    message.setRefusesForMs(static_cast<std::uint32_t>(completion.refusesFor.count()));
    sendAndRecordAnswer(*found->second.connection, kj::mv(message));
    --found->second.connection->openCallsAndPermits;
    found->second.connection->permits->erase(found->second.number);
    permits_.erase(found);
}

void PeerRpcClient::addTraffic(PeerRpcCounters &counters)
{
    for (auto &[key, connection] : connections_) {
        if (connection->stream.get() == nullptr) {
            continue;
        }
        const SocketTraffic traffic = trafficOf(*connection->stream);
        counters.clientBytesSent += traffic.bytesSent;
        counters.clientBytesReceived += traffic.bytesReceived;
    }
}

} // namespace mulberrywall::permits
