#include "Faults.h"

#include <boost/json/array.hpp>

#include <csignal>
#include <stdexcept>
#include <thread>

namespace mulberrywall::load
{

namespace
{

void setSlowFactor(harness::Deployment &deployment, unsigned engines, double factor)
{
    for (std::size_t index = 0; index < engines; ++index) {
        harness::postJson(deployment.engine(index).port, "/control", {{"slowFactor", factor}});
    }
}

/// Returns the index of the router that owns the pool of the model. Throws std::runtime_error if router 0 does not list it.
std::size_t ownerOfModel(harness::Deployment &deployment)
{
    const boost::json::object status = harness::getJson(deployment.router(0).adminPort, "/v1/status");
    for (const boost::json::value &pool : status.at("pools").as_array()) {
        if (pool.at("pool") == "m") {
            const std::string owner(pool.at("owner").as_string());
            return std::stoul(owner.substr(owner.rfind('-') + 1));
        }
    }
    throw std::runtime_error("router-0 does not list the pool of the model");
}

} // namespace

std::uint64_t injectFaults(harness::Deployment &deployment, const std::vector<Fault> &faults, RouterTargets &routers, Clock::time_point start)
{
    std::uint64_t lostTokens = 0;
    std::size_t owner = 0;
    for (const Fault &fault : faults) {
        std::this_thread::sleep_until(start + std::chrono::duration_cast<Clock::duration>(fault.time));
        harness::Node &lastEngine = deployment.engine(deployment.engineCount() - 1);
        switch (fault.action) {
        case FaultAction::SlowEngines:
            setSlowFactor(deployment, fault.engines, fault.factor);
            break;
        case FaultAction::RestoreEngines:
            setSlowFactor(deployment, fault.engines, 1);
            break;
        case FaultAction::KillEngine:
            lostTokens += harness::countOf(lastEngine, "tokens");
            lastEngine.process->sendSignal(SIGKILL);
            break;
        case FaultAction::RestartEngine:
            deployment.restart(lastEngine);
            break;
        case FaultAction::KillOwner:
            owner = ownerOfModel(deployment);
            routers.live.at(owner) = false;
            deployment.router(owner).process->sendSignal(SIGKILL);
            break;
        case FaultAction::RestartOwner:
            deployment.restart(deployment.router(owner));
            routers.live.at(owner) = true;
            break;
        }
    }
    return lostTokens;
}

} // namespace mulberrywall::load
