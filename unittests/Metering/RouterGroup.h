#pragma once

#include "mulberrywall/Metering/AcknowledgedCounts.h"
#include "mulberrywall/Metering/ReportQueue.h"
#include "mulberrywall/Metering/UsageCounter.h"
#include "mulberrywall/Metering/UsageLedger.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace mulberrywall::metering
{

struct RouterGroupOptions
{
    std::uint64_t seed = 1;
    std::size_t routers = 12;
    std::size_t dataCentres = 3;
    /// Requests per second of each router, over organisations with shares of 0.5, 0.3 and 0.2.
    double requestRate = 20.0;
    double lossProbability = 0.0;
    double duplicateProbability = 0.0;
    /// Datagrams are delayed by a random time up to this one, so that they overtake each other.
    std::chrono::milliseconds maxDelay {2};
    /// Error of the system clock at the start, by router; later routers have none.
    std::vector<std::chrono::milliseconds> clockErrors;
    /// False if the clocks are not to be corrected, so that counts are exact whatever the delays.
    bool exchangesClocks = true;
    double responseLossProbability = 0.0;
    /// Planted fault: a new holder does not read what is stored.
    bool successorIgnoresStore = false;
};

/// Routers that exchange counts, a store and a control API, all as plain calls in one thread with a counted time.
class RouterGroup
{
public:
    static constexpr std::chrono::milliseconds window {5'000};

    explicit RouterGroup(const RouterGroupOptions &options);

    // Commands
    void run(std::chrono::milliseconds duration);
    void kill(std::size_t router);
    /// Starts a new process of a killed router.
    void restart(std::size_t router);
    /// Cuts all links between the data centre and the others, or restores them.
    void setPartitioned(std::size_t dataCentre, bool partitioned);
    void setApiSilent(bool silent);
    /// Kills the holder directly after the next batch was stored, before it sends a report.
    void killHolderAfterStoring();
    /// Kills the holder directly after the API has accepted its next report.
    void killHolderAfterSending();

    // Queries
    [[nodiscard]] WindowNumber openWindow() const;
    [[nodiscard]] std::size_t holder() const;
    /// Returns the bodies that the API accepted for a window, without repetitions of the same body.
    [[nodiscard]] std::vector<std::string> accepted(WindowNumber number) const;
    /// Returns the number of windows for which different bodies were accepted.
    [[nodiscard]] std::size_t conflicts() const;
    /// Returns the largest relative error of an organisation's count, or 1 if the window was not reported in time.
    [[nodiscard]] double worstError(WindowNumber number) const;
    /// Returns the number of calls that the API received, with or without response.
    [[nodiscard]] std::size_t calls() const
    {
        return calls_;
    }
    [[nodiscard]] std::size_t storedRows() const
    {
        return rows_.size();
    }

private:
    struct Router
    {
        support::InstanceId instance;
        std::size_t dataCentre = 0;
        std::unique_ptr<UsageCounter> counter;
        UsageLedger ledger;
        ReportQueue queue;
        std::map<std::size_t, AcknowledgedCounts> acknowledged;
        std::chrono::milliseconds sendPhase {0};
        std::uint64_t sequence = 0;
        bool alive = true;
        TrueTime killedAt;
    };
    struct Packet
    {
        std::size_t from = 0;
        std::size_t to = 0;
        std::vector<std::uint8_t> payload;
    };
    struct Call
    {
        std::string body;
        TrueTime at;
    };

    void startProcess(std::size_t router);
    void step();
    void serve(Router &router);
    void sendCounts(std::size_t router);
    void post(std::size_t from, std::size_t to, const std::vector<std::uint8_t> &payload);
    void deliver(const Packet &packet);
    void stepHolder();
    void takeOver(std::size_t router);
    void storeAndSend(Router &router);
    SendOutcome callApi(const UsageReport &report);
    [[nodiscard]] BootTime bootTime() const;
    [[nodiscard]] bool isConnected(std::size_t from, std::size_t to) const;
    [[nodiscard]] std::vector<std::size_t> candidates() const;
    [[nodiscard]] std::vector<support::InstanceId> liveRouters(std::size_t viewer) const;
    bool chance(double probability);

    RouterGroupOptions options_;
    std::mt19937_64 random_;
    TrueTime now_;
    std::vector<Router> routers_;
    std::vector<bool> partitioned_;
    std::multimap<TrueTime, Packet> packets_;
    std::map<WindowNumber, std::map<std::string, std::uint64_t>> truth_;
    std::map<WindowNumber, std::string> rows_;
    std::optional<WindowNumber> highestStored_;
    std::map<WindowNumber, std::vector<Call>> accepted_;
    std::size_t calls_ = 0;
    bool apiSilent_ = false;
    bool killAfterStoring_ = false;
    bool killAfterSending_ = false;
    std::size_t holder_ = 0;
    TrueTime holderStartsAt_;
    bool holderStarted_ = false;
};

} // namespace mulberrywall::metering
