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

static kj::Duration toKj(std::chrono::milliseconds duration)
{
    return duration.count() * kj::MILLISECONDS;
}

/// Connects from the address of the own listener, so that firewalls between data centres see one address per router.
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
    // As on the sockets that KJ makes itself; otherwise a permit waits for a delayed acknowledgement of up to 40 ms.
    const int enabled = 1;
    KJ_SYSCALL(::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled)));
    const boost::asio::ip::tcp::endpoint local(source, 0);
    KJ_SYSCALL(::bind(socket, local.data(), static_cast<socklen_t>(local.size())));
    return io.lowLevelProvider->wrapConnectingSocketFd(kj::mv(socket), target.data(), size);
}

struct PeerRpcClient::Connection
{
    PeerAddress peer;
    kj::Own<kj::AsyncIoStream> stream;
    kj::Own<capnp::TwoPartyVatNetwork> network;
    kj::Own<capnp::RpcSystem<capnp::rpc::twoparty::VatId>> rpcSystem;
    /// Usable from the start; calls wait until the login has succeeded.
    rpc::Peer::Client service = nullptr;
    /// Calls under way and permits held.
    unsigned atStake = 0;
    steady_clock::time_point lastUsed = steady_clock::now();
    /// When the latest call that was answered had been sent: both sides have heard of each other since. Shared with calls
    /// that end after the connection.
    std::shared_ptr<steady_clock::time_point> provenAt = std::make_shared<steady_clock::time_point>();
    /// Shared with the service that the peer calls, which ends some events after the connection.
    std::shared_ptr<NumberedPermits> permits = std::make_shared<NumberedPermits>();
    /// Permits with progress that was not sent yet.
    std::vector<std::uint64_t> progressed;

    [[nodiscard]] ConnectionKey key() const
    {
        return {peer.instance, peer.address};
    }
};

struct PeerRpcClient::Call
{
    Connection *connection;
    kj::Promise<void> answer;
    std::function<void(PeerCallFailure)> fail;
    bool answered = false;
};

struct PeerRpcClient::HeldPermit
{
    Connection *connection;
    rpc::Permit::Client service;
    std::uint32_t number = 0;
    /// As sent to the owner.
    std::uint64_t sentTokens = 0;
    policy::Progress progress;
    bool progressed = false;
};

/// Carries the commands of an owner to the permits that came from it.
class PeerRpcClient::HolderService final : public rpc::Holder::Server
{
public:
    explicit HolderService(std::shared_ptr<NumberedPermits> permits)
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
        // Last, because the answer that grants the permit may have been received but not processed yet.
        return kj::evalLast([permits = permits_, number, command] {
            const auto found = permits->find(number);
            const auto permit = found == permits->end() ? nullptr : found->second.lock();
            if (permit) {
                permit->command(command);
            }
        });
    }

    std::shared_ptr<NumberedPermits> permits_;
};

/// Longer ages are sent as the longest one.
static std::uint16_t toWireMs(std::chrono::milliseconds age)
{
    return static_cast<std::uint16_t>(std::clamp<std::int64_t>(age.count(), 0, std::numeric_limits<std::uint16_t>::max()));
}

PeerRpcClient::PeerRpcClient(
    RpcLoop &loop, boost::asio::io_context &context, const PeerRpcOptions &options, const PeerRpcHandlers &handlers, PermitMaker makePermit)
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
    support::log(support::Severity::Debug, "a call to a peer failed", {{"error", exception.getDescription().cStr()}});
}

PeerRpcClient::Connection &PeerRpcClient::connectionTo(const PeerAddress &peer)
{
    const ConnectionKey key {peer.instance, peer.address};
    const auto found = connections_.find(key);
    if (found != connections_.end()) {
        found->second->lastUsed = steady_clock::now();
        return *found->second;
    }
    auto created = kj::heap<Connection>();
    Connection &connection = *created;
    connection.peer = peer;
    connections_.emplace(key, kj::mv(created));
    auto connected = connect(connection).fork();
    connection.service = rpc::Peer::Client(connected.addBranch().then([&connection] { return connection.service; }));
    // Ends with the connection; everything it refers to is removed in a later event, after its own has ended.
    auto ended = connected.addBranch().then([this, &connection] { return connection.network->onDisconnect().exclusiveJoin(pingWhileNeeded(connection)); });
    tasks_.add(ended
                   .then([] { return std::string("the peer has closed the connection"); },
                       [](kj::Exception &&exception) { return std::string(exception.getDescription().cStr()); })
                   .then([this, key](std::string detail) { tasks_.add(kj::evalLater([this, key, detail = std::move(detail)] { lose(key, detail); })); }));
    return connection;
}

kj::Promise<void> PeerRpcClient::connect(Connection &connection)
{
    kj::Timer &timer = loop_.io().provider->getTimer();
    // A failure to make the socket has to end this connection only, like a refused connection.
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
    return timer.timeoutAfter(toKj(options_.pingTimeout), kj::mv(connected)).then([&connection](capnp::Response<rpc::Login::LoginResults> &&response) {
        connection.service = response.getPeer();
    });
}

kj::Promise<void> PeerRpcClient::pingWhileNeeded(Connection &connection)
{
    kj::Timer &timer = loop_.io().provider->getTimer();
    return timer.afterDelay(toKj(options_.pingInterval)).then([this, &connection, &timer]() -> kj::Promise<void> {
        if (connection.atStake > 0) {
            connection.lastUsed = steady_clock::now();
            // Pings of busy connections would be half of the bytes that a node may spend on control.
            if (connection.lastUsed - *connection.provenAt < options_.pingInterval) {
                return pingWhileNeeded(connection);
            }
            return timer.timeoutAfter(toKj(options_.pingTimeout), connection.service.pingRequest().send().ignoreResult()).then([this, &connection] {
                return pingWhileNeeded(connection);
            });
        }
        // Closes before the peer does, so that no call meets a connection that is about to close.
        if (steady_clock::now() - connection.lastUsed > options_.idleLimit / 2) {
            return kj::READY_NOW;
        }
        return pingWhileNeeded(connection);
    });
}

void PeerRpcClient::lose(const ConnectionKey &key, const std::string &detail)
{
    const auto found = connections_.find(key);
    if (found == connections_.end()) {
        return;
    }
    const kj::Own<Connection> connection = kj::mv(found->second);
    connections_.erase(found);
    const std::string text = "router '" + key.first.value() + "' cannot be reached: " + detail;
    std::erase_if(permits_, [&connection](const auto &entry) { return entry.second.connection == connection.get(); });
    for (auto &[number, call] : calls_) {
        if (call.connection == connection.get() && !call.answered) {
            call.answered = true;
            call.fail({text});
        }
    }
    std::erase_if(calls_, [&connection](const auto &entry) { return entry.second.connection == connection.get(); });
    if (connection->atStake > 0) {
        support::log(support::Severity::Warning, "lost a peer", {{"peer", key.first.value()}, {"error", detail}});
    }
    boost::asio::post(context_, [handler = handlers_.peerLost, instance = key.first] {
        if (handler) {
            handler(instance);
        }
    });
}

template <typename Answer, typename Request, typename Decode>
void PeerRpcClient::start(std::uint64_t call, Connection &connection, Request request, Decode decodeAnswer, std::function<void(PeerCallResult<Answer>)> handler)
{
    const auto reply = [this, handler](PeerCallResult<Answer> result) {
        boost::asio::post(context_, [handler, result = std::move(result)]() mutable { handler(std::move(result)); });
    };
    auto answer = request.send().then(
        [this, call, decodeAnswer, reply, provenAt = connection.provenAt, sentAt = steady_clock::now()](auto &&response) mutable {
            *provenAt = std::max(*provenAt, sentAt);
            const auto found = calls_.find(call);
            if (found == calls_.end() || found->second.answered) {
                return;
            }
            found->second.answered = true;
            reply(decodeAnswer(response));
            tasks_.add(kj::evalLater([this, call] { end(call); }));
        },
        [this, call, reply](kj::Exception &&exception) {
            const auto found = calls_.find(call);
            if (found == calls_.end() || found->second.answered) {
                return;
            }
            found->second.answered = true;
            reply(PeerCallFailure {exception.getDescription().cStr()});
            tasks_.add(kj::evalLater([this, call] { end(call); }));
        });
    ++connection.atStake;
    calls_.emplace(call, Call {.connection = &connection, .answer = answer.eagerlyEvaluate(nullptr), .fail = [reply](PeerCallFailure failure) {
                                   reply(std::move(failure));
                               }});
}

void PeerRpcClient::end(std::uint64_t call)
{
    const auto found = calls_.find(call);
    if (found == calls_.end()) {
        return;
    }
    --found->second.connection->atStake;
    calls_.erase(found);
}

template <typename Reader>
std::shared_ptr<Permit> PeerRpcClient::hold(Connection &connection, Reader permit, PermitAnswer answer)
{
    const std::uint64_t key = ++lastPermit_;
    permits_.emplace(key, HeldPermit {.connection = &connection, .service = permit, .number = answer.number, .sentTokens = answer.outputTokens});
    ++connection.atStake;
    auto held = makePermit_(key, std::move(answer.endpoint), answer.enginePriority);
    connection.permits->insert_or_assign(answer.number, held);
    return held;
}

void PeerRpcClient::acquire(std::uint64_t call,
    const PeerAddress &peer,
    const PermitRequest &request,
    const std::vector<support::InstanceId> &unreachable,
    std::function<void(PeerCallResult<OwnerAnswer>)> handler)
{
    Connection &connection = connectionTo(peer);
    auto message = connection.service.acquireRequest();
    encode(request, unreachable, message.initRequest());
    const auto decodeAnswer = [this, &connection](const capnp::Response<rpc::Peer::AcquireResults> &response) -> OwnerAnswer {
        const auto answer = response.getAnswer();
        switch (answer.which()) {
        case rpc::Answer::GRANTED: {
            const auto granted = answer.getGranted();
            return hold(connection,
                granted.getPermit(),
                {.number = granted.getNumber(), .endpoint = decode(granted.getEndpoint()), .enginePriority = granted.getEnginePriority()});
        }
        case rpc::Answer::REFUSED: {
            const auto refused = answer.getRefused();
            return PermitRejection {.reason = fromWire(refused.getReason()),
                .retryAfter = std::chrono::milliseconds(refused.getRetryAfterMs()),
                .detail = refused.getDetail().cStr()};
        }
        case rpc::Answer::MOVED:
            return PoolMoved {support::InstanceId(answer.getMoved().cStr())};
        }
        return PoolMoved {};
    };
    start<OwnerAnswer>(call, connection, kj::mv(message), decodeAnswer, std::move(handler));
}

void PeerRpcClient::withdraw(std::uint64_t call)
{
    end(call);
}

void PeerRpcClient::reregister(std::uint64_t call,
    const PeerAddress &peer,
    const std::vector<PoolReregistration> &pools,
    std::function<void(PeerCallResult<std::vector<ReregistrationResult>>)> handler)
{
    Connection &connection = connectionTo(peer);
    auto message = connection.service.adoptRequest();
    auto list = message.initPools(pools.size());
    std::vector<std::vector<PermitAnswer>> expected;
    for (unsigned index = 0; index < list.size(); ++index) {
        encode(pools[index], list[index]);
        expected.emplace_back();
        for (const PoolReregistration::ReregisteredRequest &running : pools[index].requests) {
            expected.back().push_back({.endpoint = {.id = running.endpoint}, .outputTokens = running.progress.outputTokens});
        }
    }
    const auto decodeAnswer = [this, &connection, expected = std::move(expected)](const capnp::Response<rpc::Peer::AdoptResults> &response) {
        std::vector<ReregistrationResult> adopted(expected.size());
        const auto answers = response.getAdopted();
        for (unsigned index = 0; index < std::min<std::size_t>(answers.size(), adopted.size()); ++index) {
            const auto permits = answers[index].getPermits();
            const auto numbers = answers[index].getNumbers();
            if (!answers[index].getAccepted() || permits.size() != expected[index].size() || numbers.size() != permits.size()) {
                continue;
            }
            adopted[index].emplace();
            for (unsigned position = 0; position < permits.size(); ++position) {
                PermitAnswer permit = expected[index][position];
                permit.number = numbers[position];
                adopted[index]->push_back(hold(connection, rpc::Permit::Client(permits[position]), std::move(permit)));
            }
        }
        return adopted;
    };
    start<std::vector<ReregistrationResult>>(call, connection, kj::mv(message), decodeAnswer, std::move(handler));
}

void PeerRpcClient::fetchConfiguration(
    std::uint64_t call, const PeerAddress &peer, std::uint64_t minimumRevision, std::function<void(PeerCallResult<ConfigurationDocument>)> handler)
{
    Connection &connection = connectionTo(peer);
    auto message = connection.service.fetchConfigurationRequest();
    message.setMinimumRevision(minimumRevision);
    const auto decodeAnswer = [](const capnp::Response<rpc::Peer::FetchConfigurationResults> &response) {
        return ConfigurationDocument {.revision = response.getRevision(), .json = response.getJson().cStr()};
    };
    start<ConfigurationDocument>(call, connection, kj::mv(message), decodeAnswer, std::move(handler));
}

template <typename Request>
void PeerRpcClient::sendAndNote(Connection &connection, Request request)
{
    tasks_.add(request.send().ignoreResult().then([provenAt = connection.provenAt, sentAt = steady_clock::now()] { *provenAt = std::max(*provenAt, sentAt); }));
}

void PeerRpcClient::recordProgress(std::uint64_t permit, const policy::Progress &progress)
{
    const auto found = permits_.find(permit);
    if (found == permits_.end()) {
        return;
    }
    HeldPermit &held = found->second;
    held.progress = progress;
    if (!std::exchange(held.progressed, true)) {
        held.connection->progressed.push_back(permit);
    }
}

void PeerRpcClient::sendProgress()
{
    for (auto &[key, connection] : connections_) {
        sendProgressTo(*connection);
    }
}

void PeerRpcClient::sendProgressTo(Connection &connection)
{
    std::vector<HeldPermit *> changed;
    std::vector<const HeldPermit *> started;
    for (const std::uint64_t permit : std::exchange(connection.progressed, {})) {
        const auto found = permits_.find(permit);
        if (found == permits_.end()) {
            continue;
        }
        found->second.progressed = false;
        if (found->second.progress.outputTokens > found->second.sentTokens) {
            changed.push_back(&found->second);
        }
        if (found->second.sentTokens == 0) {
            started.push_back(&found->second);
        }
    }
    if (changed.empty()) {
        return;
    }
    auto message = connection.service.reportProgressRequest();
    auto list = message.initProgress(changed.size());
    for (unsigned index = 0; index < list.size(); ++index) {
        HeldPermit &held = *changed[index];
        // More tokens than fit are sent with the next progress.
        const std::uint64_t newTokens = std::min<std::uint64_t>(held.progress.outputTokens - held.sentTokens, std::numeric_limits<std::uint16_t>::max());
        held.sentTokens += newTokens;
        list[index].setPermit(held.number);
        list[index].setNewTokens(static_cast<std::uint16_t>(newTokens));
        list[index].setSinceLatestTokenMs(toWireMs(held.progress.sinceLatestToken));
    }
    auto firstTokens = message.initFirstTokens(started.size());
    for (unsigned index = 0; index < firstTokens.size(); ++index) {
        firstTokens[index].setPermit(started[index]->number);
        firstTokens[index].setSinceFirstTokenMs(toWireMs(started[index]->progress.sinceFirstToken));
    }
    sendAndNote(connection, kj::mv(message));
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
    sendAndNote(*found->second.connection, kj::mv(message));
    --found->second.connection->atStake;
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
