#include "mulberrywall/Policy/Pool.h"

namespace mulberrywall::policy
{

ClassState *findClass(Pool &pool, const support::ClassId &id)
{
    const auto found = pool.classes.find(id);
    return found == pool.classes.end() ? nullptr : &found->second;
}

const ClassState *findClass(const Pool &pool, const support::ClassId &id)
{
    const auto found = pool.classes.find(id);
    return found == pool.classes.end() ? nullptr : &found->second;
}

} // namespace mulberrywall::policy
