// Measures the cost of a permit from a pool of the same router and of another router, and of a round trip between the event
// loops of the worker threads and the peer protocol.
#include "mulberrywall/Membership/UdpDriver.h"
#include "mulberrywall/Permits/RoutedPermits.h"
#include "mulberrywall/Support/WorkerPool.h"

#include <benchmark/benchmark.h>

#include <sys/resource.h>

#include <semaphore>

namespace mulberrywall::permits
{

namespace
{

using std::chrono::steady_clock;

/// Two routers in one process. Rendezvous hashing selects the one that owns the pool; the other one is the ingress.
class TwoRouters
{
public:
    TwoRouters()
    {
        configuration::SiteConfiguration site;
        site.classes = {{.id = support::ClassId("chat")}};
        site.organisations = {{.id = support::OrganisationId("org")}};
        site.pools = {{.id = support::PoolId("model"), .queueLimit = 1'024}};
        for (int index = 0; index < 25; ++index) {
            site.endpoints.push_back({.id = support::EndpointId("runner-" + std::to_string(index)),
                .address = "10.0.0.1",
                .port = 8'000,
                .pools = {support::PoolId("model")},
                .maximumConcurrency = 64});
        }
        for (const std::string name : {"one", "two"}) {
            poolTables_.push_back(std::make_unique<PoolTable>(workers_.context(), policy::standardPolicy()));
            poolTables_.back()->configure(site);
            RoutedPermitOptions options;
            options.ownership = {.instance = support::InstanceId(name), .dataCentre = dataCentre_};
            options.peers = {.listen = {boost::asio::ip::address_v4::loopback(), 0}, .secret = "secret", .instance = support::InstanceId(name)};
            permits_.push_back(RoutedPermits::create(workers_.context(), *poolTables_.back(), view(), options, {}));
            members_.push_back({.instance = support::InstanceId(name),
                .dataCentre = dataCentre_,
                .peerAddress = membership::toAddress(permits_.back()->peers().localEndpoint())});
        }
        const bool firstOwns = ownerOf(members_, dataCentre_, support::PoolId("model"))->instance == members_[0].instance;
        owner_ = permits_[firstOwns ? 0 : 1].get();
        ingress_ = permits_[firstOwns ? 1 : 0].get();
        for (const auto &router : permits_) {
            router->start();
        }
    }
    TwoRouters(const TwoRouters &) = delete;
    TwoRouters &operator=(const TwoRouters &) = delete;
    TwoRouters(TwoRouters &&) = delete;
    TwoRouters &operator=(TwoRouters &&) = delete;
    ~TwoRouters()
    {
        for (const auto &router : permits_) {
            router->stop();
        }
        workers_.stop();
        workers_.join();
    }

    RoutedPermits &owner()
    {
        return *owner_;
    }
    RoutedPermits &ingress()
    {
        return *ingress_;
    }

private:
    MembershipView view()
    {
        return {.liveMembers = [this] { return members_; },
            .poolLoads =
                [](const support::PoolId &) {
                    return std::vector<membership::PoolLoad>();
                }};
    }

    support::DataCentreId dataCentre_ {"a"};
    std::vector<membership::Member> members_;
    support::WorkerPool workers_ {2};
    std::vector<std::unique_ptr<PoolTable>> poolTables_;
    std::vector<std::shared_ptr<RoutedPermits>> permits_;
    RoutedPermits *owner_ = nullptr;
    RoutedPermits *ingress_ = nullptr;
};

PermitRequest makeRequest()
{
    PermitRequest request {.request = support::RequestId("0123456789abcdef0123456789abcdef"), .pool = support::PoolId("model")};
    request.submission = {.requestClass = support::ClassId("chat"),
        .organisation = support::OrganisationId("org"),
        .fingerprint = 1,
        .prefixHash = 2,
        .promptTokens = 500,
        .deadline = steady_clock::now() + std::chrono::seconds(30)};
    return request;
}

/// Returns the user and system time of this process.
double cpuSeconds()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * 1e-6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

/// Acquires and finishes the given number of permits with a fixed number of concurrent requests. Blocks until the last one.
void runPermits(const PermitSource &source, std::size_t count, std::size_t concurrency)
{
    std::counting_semaphore<> freeSlots(static_cast<std::ptrdiff_t>(concurrency));
    // Destroying a ticket cancels its request, so all tickets are kept until the end.
    std::vector<AcquireTicket> tickets;
    tickets.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        freeSlots.acquire();
        tickets.push_back(source.acquire(makeRequest(), [&freeSlots](PermitResult result) {
            if (auto *permit = std::get_if<std::shared_ptr<Permit>>(&result)) {
                (*permit)->finish({.outcome = policy::AttemptOutcome::Completed, .outputTokens = 10});
            }
            freeSlots.release();
        }));
    }
    for (std::size_t index = 0; index < concurrency; ++index) {
        freeSlots.acquire();
    }
}

void measure(benchmark::State &state, RoutedPermits &permits)
{
    const PermitSource source = permits.source();
    const auto concurrency = static_cast<std::size_t>(state.range(0));
    runPermits(source, 1'000, concurrency);
    const PeerRpcCounters before = permits.peers().counters();
    const double cpuBefore = cpuSeconds();
    std::size_t total = 0;
    for (auto _ : state) {
        runPermits(source, 1'000, concurrency);
        total += 1'000;
    }
    const PeerRpcCounters after = permits.peers().counters();
    const auto permitsDone = static_cast<double>(total);
    state.SetItemsProcessed(static_cast<std::int64_t>(total));
    state.counters["cpuMicrosecondsPerPermit"] = (cpuSeconds() - cpuBefore) * 1e6 / permitsDone;
    state.counters["bytesToOwnerPerPermit"] = static_cast<double>(after.clientBytesSent - before.clientBytesSent) / permitsDone;
    state.counters["bytesFromOwnerPerPermit"] = static_cast<double>(after.clientBytesReceived - before.clientBytesReceived) / permitsDone;
}

void benchmarkLocalPermit(benchmark::State &state)
{
    TwoRouters routers;
    measure(state, routers.owner());
}
BENCHMARK(benchmarkLocalPermit)->Arg(1)->Arg(64)->UseRealTime();

void benchmarkRemotePermit(benchmark::State &state)
{
    TwoRouters routers;
    measure(state, routers.ingress());
}
BENCHMARK(benchmarkRemotePermit)->Arg(1)->Arg(64)->UseRealTime();

/// Measures a round trip from the calling thread to the thread of the peer protocol, without a call to a peer.
void benchmarkCrossing(benchmark::State &state)
{
    TwoRouters routers;
    for (auto _ : state) {
        std::binary_semaphore done(0);
        routers.owner().peers().post([&done] { done.release(); });
        done.acquire();
    }
}
BENCHMARK(benchmarkCrossing)->UseRealTime();

} // namespace

} // namespace mulberrywall::permits

BENCHMARK_MAIN();
