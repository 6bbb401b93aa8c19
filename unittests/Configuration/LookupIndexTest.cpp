#include "mulberrywall/Configuration/LookupIndex.h"

#include <gtest/gtest.h>

#include <random>
#include <string>

namespace mulberrywall::configuration
{

/// Draws configurations whose names, keys and prefixes repeat and contain each other.
class RandomSite
{
public:
    explicit RandomSite(unsigned seed)
        : random_(seed)
    {
        for (unsigned index = below(40); index > 0; --index) {
            site_.classes.push_back({.id = support::ClassId(name())});
            site_.pools.push_back({.id = support::PoolId(name())});
            site_.routes.push_back({.host = name(), .prefix = path() + (below(4) == 0 ? "" : "/")});
            Organisation &organisation = site_.organisations.emplace_back();
            for (unsigned key = below(3); key > 0; --key) {
                organisation.keyHashes.push_back(name());
            }
        }
    }

    /// Returns one of few names.
    std::string name()
    {
        return std::string(below(2), 'n') + static_cast<char>('a' + below(6));
    }

    std::string path()
    {
        std::string text;
        for (unsigned segment = below(5); segment > 0; --segment) {
            text += '/' + std::string(below(2), 's') + static_cast<char>('a' + below(2));
        }
        return text;
    }

    [[nodiscard]] const SiteConfiguration &site() const
    {
        return site_;
    }

private:
    unsigned below(unsigned limit)
    {
        return std::uniform_int_distribution<unsigned>(0, limit - 1)(random_);
    }

    std::mt19937 random_;
    SiteConfiguration site_;
};

/// Guards against lookups by the index that find another item than the first one in the lists, or the longest prefix, or none.
TEST(LookupIndex, FindsWhatTheListsContain)
{
    constexpr unsigned seeds = 500;
    constexpr unsigned lookups = 100;
    unsigned found = 0;
    for (unsigned seed = 0; seed < seeds; ++seed) {
        RandomSite random(seed);
        const SiteConfiguration &site = random.site();
        const auto index = makeLookupIndex(site);
        for (unsigned lookup = 0; lookup < lookups; ++lookup) {
            const std::string name = random.name();
            const std::string path = random.path() + "/x";
            const Route *route = findRoute(site, name, path);
            ASSERT_EQ(findIndexedRoute(site, *index, name, path), route) << "seed " << seed << ' ' << name << path;
            ASSERT_EQ(findIndexedClass(site, *index, support::ClassId(name)), findClass(site, support::ClassId(name))) << "seed " << seed << ' ' << name;
            ASSERT_EQ(findIndexedPool(site, *index, support::PoolId(name)), findPool(site, support::PoolId(name))) << "seed " << seed << ' ' << name;
            ASSERT_EQ(findIndexedOrganisation(site, *index, name), findOrganisationByKeyHash(site, name)) << "seed " << seed << ' ' << name;
            found += route == nullptr ? 0 : 1;
        }
    }
    EXPECT_GT(found, seeds);
}

} // namespace mulberrywall::configuration
