#include "mulberrywall/Support/Verdict.h"

#include <algorithm>

namespace mulberrywall::support
{

std::string_view toString(Verdict verdict)
{
    switch (verdict) {
    case Verdict::NotRun:
        return "not-run";
    case Verdict::MayHaveRun:
        return "may-have-run";
    case Verdict::Completed:
        return "completed";
    }
    return "may-have-run";
}

Verdict combineVerdicts(Verdict first, Verdict second)
{
    return std::max(first, second);
}

} // namespace mulberrywall::support
