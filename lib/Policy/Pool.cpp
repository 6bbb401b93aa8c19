#include "mulberrywall/Policy/Pool.h"

namespace mulberrywall::policy
{

ClassState *findClass(Pool &pool, const support::ClassId &id)
{
    const auto found = pool.classes.find(id);
    if (found != pool.classes.end()) {
        return &found->second;
    }
    const auto spec = pool.classSet->specs.find(id);
    if (spec == pool.classSet->specs.end()) {
        return nullptr;
    }
    return &pool.classes.emplace(id, ClassState {.spec = spec->second}).first->second;
}

const ClassState *findClass(const Pool &pool, const support::ClassId &id)
{
    const auto found = pool.classes.find(id);
    return found == pool.classes.end() ? nullptr : &found->second;
}

} // namespace mulberrywall::policy
