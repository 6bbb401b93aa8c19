#include "mulberrywall/Duties/Succession.h"

#include <algorithm>
#include <iterator>

namespace mulberrywall::duties
{

std::vector<membership::Member> dutyCandidates(std::span<const membership::Member> members)
{
    std::vector<membership::Member> candidates;
    std::copy_if(
        members.begin(), members.end(), std::back_inserter(candidates), [](const membership::Member &member) { return membership::isLive(member.state); });
    std::sort(candidates.begin(), candidates.end(), [](const membership::Member &left, const membership::Member &right) {
        if (left.processorPercent != right.processorPercent) {
            return left.processorPercent > right.processorPercent;
        }
        return left.instance < right.instance;
    });
    if (candidates.size() > maximumCandidates) {
        candidates.resize(maximumCandidates);
    }
    return candidates;
}

bool containsInstance(std::span<const membership::Member> members, std::string_view instance)
{
    return std::any_of(members.begin(), members.end(), [instance](const membership::Member &member) { return member.instance.value() == instance; });
}

} // namespace mulberrywall::duties
