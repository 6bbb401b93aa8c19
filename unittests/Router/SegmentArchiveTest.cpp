#include "mulberrywall/Router/SegmentArchive.h"

#include "mulberrywall/Policy/PolicyFunctions.h"
#include "mulberrywall/Support/WorkerPool.h"

#include <boost/asio/post.hpp>

#include <gtest/gtest.h>

#include <mutex>
#include <thread>

namespace mulberrywall::router
{

using namespace std::chrono_literals;
using std::chrono::system_clock;

static StoredSegment makeSegment(const std::string &writer, std::chrono::milliseconds age)
{
    return {.pool = support::PoolId("p"),
        .writer = support::InstanceId(writer),
        .evidence = {.segment = 18'000'000'000'000'000'000U,
            .position = 1,
            .crashes = {{.id = 7, .age = age + 2s}, {.id = 8, .age = age + 1s}, {.id = 9, .age = age}},
            .outputAge = age + 10s}};
}

// Guards against evidence that stays young as long as it is stored, so that a quarantine never ends.
TEST(SegmentRow, AgesGrowWhileItIsStored)
{
    const system_clock::time_point writtenAt = system_clock::now();
    const std::string row = renderSegmentRow(makeSegment("a", 1s), writtenAt);
    const auto same = parseSegmentRow(row, writtenAt - 5s);
    ASSERT_TRUE(same) << "the clock of the reader may be behind";
    EXPECT_EQ(same->pool, support::PoolId("p"));
    EXPECT_EQ(same->writer, support::InstanceId("a"));
    EXPECT_EQ(same->evidence, makeSegment("a", 1s).evidence);
    const auto later = parseSegmentRow(row, writtenAt + 1min);
    ASSERT_TRUE(later);
    EXPECT_EQ(later->evidence.crashes.back().age, 61s);
    EXPECT_EQ(later->evidence.outputAge, 71s);
}

// Guards against a row that cannot be read and ends the process, or quarantines something else.
TEST(SegmentRow, RejectsMalformedRows)
{
    const system_clock::time_point now = system_clock::now();
    const std::string sound = renderSegmentRow(makeSegment("a", 1s), now);
    for (const auto &[part, replacement] : std::vector<std::pair<std::string, std::string>> {{"\"pool\":\"p\"", "\"pool\":7"},
             {"\"position\":1", "\"position\":-1"},
             {"\"id\":7", "\"id\":\"7\""},
             {"\"ageMs\":3000", "\"ageMs\":1e30"},
             {"\"ageMs\":3000", "\"ageMs\":-1"},
             {"\"crashes\":[", "\"crashes\":7,\"other\":["},
             {"\"writtenAtMs\":", "\"writtenAtMs\":-"},
             {"\"segment\":", "\"other\":"}}) {
        std::string malformed = sound;
        ASSERT_NE(malformed.find(part), std::string::npos) << part;
        malformed.replace(malformed.find(part), part.size(), replacement);
        EXPECT_FALSE(parseSegmentRow(malformed, now)) << malformed;
    }
    EXPECT_FALSE(parseSegmentRow("", now));
    EXPECT_FALSE(parseSegmentRow(std::string(100'000, '['), now));
    EXPECT_FALSE(parseSegmentRow(sound.substr(0, sound.size() / 2), now));
}

/// An archive whose rows are in this process, with one pool "p".
class SegmentArchiveTest : public testing::Test
{
protected:
    SegmentArchiveTest()
    {
        configuration_.pools.push_back({.id = support::PoolId("p")});
    }

    ~SegmentArchiveTest() override
    {
        workers_.stop();
        workers_.join();
    }

    RowStore makeStore()
    {
        return {.put = [this](const std::string &key, const std::string & /*value*/, const StoredHandler &handler) { finish("put " + key, handler); },
            .remove =
                [this](const std::string &key, const StoredHandler &handler) {
                    finish("remove " + key, handler);
                }};
    }

    /// Records the command. The first one fails.
    void finish(const std::string &command, const StoredHandler &handler)
    {
        const std::scoped_lock lock(mutex_);
        commands_.push_back(command);
        boost::asio::post(workers_.context(), [handler, isDone = commands_.size() > 1] { handler(isDone); });
    }

    std::vector<std::string> commands()
    {
        const std::scoped_lock lock(mutex_);
        return commands_;
    }

    static TableRow rowOf(const StoredSegment &segment)
    {
        return {.key = segmentRowKey(segment), .value = renderSegmentRow(segment, system_clock::now())};
    }

    std::size_t quarantinedSegments()
    {
        const auto pools = pools_.pools();
        return pools.empty() ? 0 : pools.at(support::PoolId("p"))->quarantinedSegments().size();
    }

    template <typename Condition>
    static bool waitUntil(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + 10s;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(10ms);
        }
        return condition();
    }

    support::WorkerPool workers_ {2};
    std::mutex mutex_;
    std::vector<std::string> commands_;
    configuration::SiteConfiguration configuration_;
    permits::PoolTable pools_ {workers_.context(), policy::standardPolicy()};
    std::shared_ptr<SegmentArchive> archive_ = std::make_shared<SegmentArchive>(workers_.context(), pools_, support::InstanceId("own"), makeStore());
};

// Guards against rows that are lost because they arrive before the configuration, and against hundreds of routers that all store the
// segments which they know from the store or from each other.
TEST_F(SegmentArchiveTest, RecordsSegmentsOnceTheirPoolExistsAndDoesNotStoreThoseOfOthers)
{
    const TableRow malformed {.key = segmentRowKey(makeSegment("b", 1s)), .value = "?"};
    archive_->load(std::vector<TableRow> {malformed, {.key = "peer-secret", .value = "secret"}, rowOf(makeSegment("a", 1s))});
    archive_->start();
    std::this_thread::sleep_for(50ms);
    pools_.configure(configuration_);
    archive_->recordLoaded();
    EXPECT_TRUE(waitUntil([this] { return quarantinedSegments() == 1; }));
    std::this_thread::sleep_for(1'200ms);
    EXPECT_TRUE(commands().empty()) << commands().front();
}

// Guards against rows that stay in the store for ever, also those of the process before, and also if the store fails meanwhile.
TEST_F(SegmentArchiveTest, RemovesItsOwnRowWhenTheQuarantineHasEnded)
{
    pools_.configure(configuration_);
    const TableRow own = rowOf(makeSegment("own", 11min));
    archive_->load(std::vector<TableRow> {own, rowOf(makeSegment("a", 11min))});
    archive_->start();
    EXPECT_TRUE(waitUntil([this] { return commands().size() >= 2; }));
    std::this_thread::sleep_for(1'200ms);
    EXPECT_EQ(commands(), (std::vector<std::string> {"remove " + own.key, "remove " + own.key})) << "the first one fails";
    EXPECT_EQ(quarantinedSegments(), 0U);
}

// Guards against a quarantine that no router may end by a trial after all routers were restarted.
TEST_F(SegmentArchiveTest, ARestartedRouterMayMakeTrialsOfItsOwnSegments)
{
    pools_.configure(configuration_);
    archive_->load(std::vector<TableRow> {rowOf(makeSegment("own", 1s))});
    archive_->start();
    ASSERT_TRUE(waitUntil([this] { return quarantinedSegments() == 1; }));
    EXPECT_TRUE(pools_.pools().at(support::PoolId("p"))->quarantinedSegments().front().sawLatestCrash);
}

} // namespace mulberrywall::router
