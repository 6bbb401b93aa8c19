// Measures the traffic and CPU time per member of the membership protocol for groups of increasing size. Prints one JSON
// object per measurement.
//
// Arguments: seconds to measure each group of UDP drivers (0 skips them), simulated seconds to measure each group of state
// machines.
#include "mulberrywall/Membership/UdpDriver.h"
#include "mulberrywall/Support/WorkerPool.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <sys/resource.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <queue>
#include <thread>

namespace mulberrywall::membership
{

namespace
{

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Bytes of a datagram that the counters do not include: authentication tag (16), IPv4 and UDP headers (28).
constexpr double datagramOverheadBytes = 16 + 28;

/// Returns the user and system time of this process.
double cpuSeconds()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    const auto toSeconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * 1e-6;
    };
    return toSeconds(usage.ru_utime) + toSeconds(usage.ru_stime);
}

MembershipOptions makeOptions(std::size_t index)
{
    MembershipOptions options;
    options.self = {.instance = support::InstanceId("router-dc" + std::to_string(index % 4) + "-" + std::to_string(index)),
        .dataCentre = support::DataCentreId("dc" + std::to_string(index % 4)),
        .incarnation = 1};
    return options;
}

struct Traffic
{
    double datagrams = 0;
    double bytes = 0;

    void add(const MembershipCounters &counters, double sign)
    {
        datagrams += sign * static_cast<double>(counters.datagramsSent + counters.datagramsReceived);
        bytes += sign * static_cast<double>(counters.bytesSent + counters.bytesReceived);
    }
};

json::object describe(std::string_view kind, std::size_t members, const Traffic &traffic, double cpu, double duration)
{
    const double memberSeconds = duration * static_cast<double>(members);
    return {{"kind", kind},
        {"members", members},
        {"seconds", duration},
        {"datagramsPerSecondPerMember", traffic.datagrams / memberSeconds},
        {"bytesPerSecondPerMember", (traffic.bytes + traffic.datagrams * datagramOverheadBytes) / memberSeconds},
        {"cpuPercentOfCorePerMember", cpu / memberSeconds * 100}};
}

json::object measureDrivers(std::size_t members, seconds duration)
{
    support::WorkerPool workers(2);
    std::vector<std::shared_ptr<UdpDriver>> drivers;
    for (std::size_t index = 0; index < members; ++index) {
        UdpDriverOptions options {.listen = {asio::ip::address_v4::loopback(), 0}, .secret = "secret", .protocol = makeOptions(index)};
        if (!drivers.empty()) {
            options.protocol.seeds = {toAddress(drivers.front()->localEndpoint())};
        }
        drivers.push_back(UdpDriver::create(workers.context(), options));
        drivers.back()->start();
    }
    const auto complete = [&] {
        return std::all_of(drivers.begin(), drivers.end(), [&](const auto &driver) { return driver->liveMembers().size() == members; });
    };
    while (!complete()) {
        std::this_thread::sleep_for(milliseconds(50));
    }
    // Leaves time for the gossip about the joins to end, so that the measurement shows an idle group.
    std::this_thread::sleep_for(seconds(8));
    Traffic traffic;
    for (const auto &driver : drivers) {
        traffic.add(driver->counters(), -1);
    }
    const double cpuBefore = cpuSeconds();
    std::this_thread::sleep_for(duration);
    const double cpu = cpuSeconds() - cpuBefore;
    for (const auto &driver : drivers) {
        traffic.add(driver->counters(), 1);
        driver->stop();
    }
    workers.stop();
    workers.join();
    return describe("udp drivers, idle", members, traffic, cpu, static_cast<double>(duration.count()));
}

/// Membership state machines that exchange datagrams in memory, with a latency of 1 ms of the simulated clock.
class Simulation
{
public:
    explicit Simulation(std::size_t members)
    {
        for (std::size_t index = 0; index < members; ++index) {
            MembershipOptions options = makeOptions(index);
            options.self.address.port = static_cast<std::uint16_t>(index + 1);
            options.seeds = {{.port = 1}, {.port = 2}};
            states_.push_back(createState(options, now_, random_));
            wakeUps_.push_back(now_);
        }
    }

    /// Advances the simulated clock by the duration in steps of 10 ms. With announcesLoads, the owner of each of 88 pools
    /// announces the load of its pool once a second.
    void run(milliseconds duration, bool announcesLoads)
    {
        for (const TimePoint end = now_ + duration; now_ < end; now_ += milliseconds(10)) {
            while (!inFlight_.empty() && inFlight_.front().first <= now_) {
                const auto [arrival, message] = std::move(inFlight_.front());
                inFlight_.pop();
                const std::size_t index = message.datagram.to.port - 1U;
                send(message.datagram.to, receive(states_[index], message.from, message.datagram.payload, now_, random_));
                wakeUps_[index] = nextWakeUp(states_[index]);
            }
            for (std::size_t index = 0; index < states_.size(); ++index) {
                if (wakeUps_[index] <= now_) {
                    send(states_[index].self.address, advance(states_[index], now_, random_));
                    wakeUps_[index] = nextWakeUp(states_[index]);
                }
            }
            if (announcesLoads && now_.time_since_epoch() % seconds(1) == milliseconds(0)) {
                announceLoads();
            }
        }
    }
    [[nodiscard]] bool isComplete() const
    {
        return std::all_of(states_.begin(), states_.end(), [this](const MembershipState &state) { return liveMembers(state).size() == states_.size(); });
    }
    void addTraffic(Traffic &traffic, double sign) const
    {
        for (const MembershipState &state : states_) {
            traffic.add(state.counters, sign);
        }
    }

private:
    struct DatagramInFlight
    {
        SocketAddress from;
        OutgoingDatagram datagram;
    };

    void send(const SocketAddress &from, CommandOutput output)
    {
        for (OutgoingDatagram &datagram : output.datagrams) {
            inFlight_.emplace(now_ + milliseconds(1), DatagramInFlight {.from = from, .datagram = std::move(datagram)});
        }
    }
    void announceLoads()
    {
        for (std::size_t pool = 0; pool < 88; ++pool) {
            MembershipState &owner = states_[pool * 7 % states_.size()];
            send(owner.self.address,
                announce(owner,
                    PoolLoad {.dataCentre = support::DataCentreId("dc" + std::to_string(pool % 4)),
                        .pool = support::PoolId("model-" + std::to_string(pool / 4)),
                        .freeSlots = static_cast<std::uint32_t>(random_() % 100)},
                    now_));
        }
    }

    RandomEngine random_ {1};
    TimePoint now_ {seconds(1'000)};
    std::vector<MembershipState> states_;
    std::vector<TimePoint> wakeUps_;
    std::queue<std::pair<TimePoint, DatagramInFlight>> inFlight_;
};

json::object measureSimulation(std::size_t members, seconds duration, bool announcesLoads)
{
    Simulation simulation(members);
    unsigned joinSeconds = 0;
    while (!simulation.isComplete() && joinSeconds < 300) {
        simulation.run(seconds(1), false);
        ++joinSeconds;
    }
    simulation.run(seconds(20), announcesLoads);
    Traffic traffic;
    simulation.addTraffic(traffic, -1);
    const double cpuBefore = cpuSeconds();
    simulation.run(duration, announcesLoads);
    const double cpu = cpuSeconds() - cpuBefore;
    simulation.addTraffic(traffic, 1);
    json::object result = describe(
        announcesLoads ? "state machines, 88 pool loads a second" : "state machines, idle", members, traffic, cpu, static_cast<double>(duration.count()));
    result["secondsUntilAllKnowAll"] = joinSeconds;
    return result;
}

} // namespace

} // namespace mulberrywall::membership

int main(int argc, char **argv)
{
    using namespace mulberrywall::membership;
    const seconds driverDuration(argc > 1 ? std::atoi(argv[1]) : 10);
    const seconds simulatedDuration(argc > 2 ? std::atoi(argv[2]) : 30);
    const auto print = [](const boost::json::object &result) {
        std::cout << boost::json::serialize(result) << std::endl;
    };
    for (const std::size_t members : {3U, 6U, 12U, 24U}) {
        if (driverDuration == seconds(0)) {
            break;
        }
        print(measureDrivers(members, driverDuration));
    }
    for (const std::size_t members : {24U, 50U, 100U, 200U, 400U}) {
        print(measureSimulation(members, simulatedDuration, false));
    }
    print(measureSimulation(400, simulatedDuration, true));
    return EXIT_SUCCESS;
}
