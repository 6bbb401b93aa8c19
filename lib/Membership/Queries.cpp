#include "mulberrywall/Membership/StateMachine.h"

#include <algorithm>

namespace mulberrywall::membership
{

TimePoint nextWakeUp(const MembershipState &state)
{
    TimePoint next = std::min(state.nextProbe, state.nextExchange);
    if (!areUrgentItemsSent(state)) {
        next = std::min(next, state.nextGossip);
    }
    if (state.probe && !state.probe->indirectSent) {
        next = std::min(next, state.probe->sentAt + state.options.probeTimeout);
    }
    for (const auto &[instance, record] : state.members) {
        if (record.member.state == MemberState::Suspect) {
            next = std::min(next, record.changedAt + state.options.probeInterval * state.options.suspicionPeriods);
        }
    }
    return next;
}

std::vector<Member> liveMembers(const MembershipState &state)
{
    std::vector<Member> live;
    if (isLive(state.self.state)) {
        live.push_back(state.self);
    }
    for (const auto &[instance, record] : state.members) {
        if (isLive(record.member.state)) {
            live.push_back(record.member);
        }
    }
    std::sort(live.begin(), live.end(), [](const Member &left, const Member &right) { return left.instance < right.instance; });
    return live;
}

std::vector<Member> liveMembers(const MembershipState &state, const support::DataCentreId &dataCentre)
{
    std::vector<Member> live = liveMembers(state);
    std::erase_if(live, [&dataCentre](const Member &member) { return member.dataCentre != dataCentre; });
    return live;
}

bool isLeaving(const MembershipState &state, const support::EndpointId &endpoint, std::uint64_t incarnation)
{
    const auto found = state.leavingEndpoints.find(endpoint);
    if (found == state.leavingEndpoints.end()) {
        return false;
    }
    const std::uint64_t announced = found->second.incarnation;
    return announced == 0 || incarnation == 0 || announced == incarnation;
}

std::vector<PoolLoad> poolLoads(const MembershipState &state, const support::PoolId &pool)
{
    std::vector<PoolLoad> loads;
    for (const auto &[key, record] : state.poolLoads) {
        if (key.second == pool) {
            loads.push_back(record.load);
        }
    }
    return loads;
}

bool areUrgentItemsSent(const MembershipState &state)
{
    return std::all_of(
        state.queue.begin(), state.queue.end(), [](const MembershipState::QueuedItem &queued) { return std::holds_alternative<PoolLoad>(queued.item); });
}

} // namespace mulberrywall::membership
