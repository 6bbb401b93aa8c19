#include "mulberrywall/Router/RecentChanges.h"
#include "mulberrywall/Router/TableDigest.h"

#include <gtest/gtest.h>

#include <string>

namespace mulberrywall::router
{

using std::chrono::milliseconds;
using support::BootClock;

/// Changes that hundreds of routers need at the same time, each of which reports how far its copy is.
class RecentChangesTest : public testing::Test
{
protected:
    void record(std::uint64_t sinceVersion, std::uint64_t version, const std::string &key, std::size_t bytes = 0)
    {
        recordChanges(recent_, {.sinceVersion = sinceVersion, .version = version, .rows = {{.key = key, .value = std::string(bytes, 'x')}}}, now_);
    }

    /// Returns the version that a copy has after the changes which it is passed on.
    [[nodiscard]] std::uint64_t versionAfter(std::uint64_t version) const
    {
        const std::vector<permits::TableChanges> changes = changesAfter(recent_, version, now_, now_);
        return changes.empty() ? version : changes.front().version;
    }

    BootClock::time_point now_ {std::chrono::seconds(100)};
    RecentChanges recent_;
};

TEST_F(RecentChangesTest, StartAtTheVersionOfTheReceiver)
{
    record(1, 3, "a");
    record(3, 6, "b");
    const std::vector<permits::TableChanges> expected {{.sinceVersion = 4, .version = 6, .rows = {{.key = "b"}}}};
    EXPECT_EQ(changesAfter(recent_, 4, now_, now_), expected);
    EXPECT_TRUE(changesAfter(recent_, 6, now_, now_).empty());
}

/// Guards against a copy that lacks a change because later ones were passed on without it.
TEST_F(RecentChangesTest, LeaveNoGap)
{
    record(1, 3, "a");
    record(5, 6, "b");
    EXPECT_EQ(versionAfter(1), 3U);
    EXPECT_EQ(versionAfter(3), 3U);
    EXPECT_EQ(versionAfter(0), 0U);
    now_ += recent_.options.lifetime + milliseconds(1);
    EXPECT_EQ(versionAfter(5), 5U);
}

/// Guards against a change that is passed on although the peers are about to read it themselves.
TEST_F(RecentChangesTest, EndAtTheRequestedTime)
{
    record(1, 3, "a");
    const BootClock::time_point firstRecordedAt = now_;
    now_ += milliseconds(1);
    record(3, 6, "b");
    const std::vector<permits::TableChanges> expected {{.sinceVersion = 1, .version = 3, .rows = {{.key = "a"}}}};
    EXPECT_EQ(changesAfter(recent_, 1, firstRecordedAt, now_), expected);
    EXPECT_TRUE(changesAfter(recent_, 3, firstRecordedAt, now_).empty());
}

/// Guards against hundreds of routers that each read the endpoints from the store after the start, when all endpoints register
/// and their entries do not fit into one datagram.
TEST_F(RecentChangesTest, BringACopyForwardInSteps)
{
    const std::size_t bytes = recent_.options.maximumBytes / 3;
    for (std::uint64_t version = 1; version <= 6; ++version) {
        record(version - 1, version, "i-" + std::to_string(version), bytes);
    }
    EXPECT_EQ(versionAfter(0), 2U);
    EXPECT_EQ(versionAfter(2), 4U);
    EXPECT_EQ(versionAfter(4), 6U);
}

TEST(TableDigest, FindsWhatDiffersFromThePreviousRead)
{
    using permits::TableRow;
    TableDigest digest;
    recordRows(digest, std::vector<TableRow> {{.key = "a", .value = "1"}, {.key = "b", .value = "1"}, {.key = "c"}});
    recordRows(digest, std::vector<TableRow> {{.key = "b", .deleted = true}});
    const std::vector<TableRow> table {{.key = "a", .value = "2"}, {.key = "d"}};
    const std::vector<TableRow> expected {{.key = "a", .value = "2"}, {.key = "d"}, {.key = "c", .deleted = true}};
    EXPECT_EQ(replaceRows(digest, table), expected);
    EXPECT_TRUE(replaceRows(digest, table).empty());
}

} // namespace mulberrywall::router
