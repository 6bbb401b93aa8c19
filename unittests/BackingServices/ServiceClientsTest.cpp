#include "BackingServicesFixture.h"

#include "mulberrywall/BackingServices/InstanceList.h"
#include "mulberrywall/BackingServices/ObjectClient.h"
#include "mulberrywall/BackingServices/WeightClient.h"

namespace mulberrywall::backingservices
{

namespace
{

class ServiceClientsTest : public BackingServicesFixture
{
};

// Guards against a commit that applies only some of its operations or ignores a condition.
TEST_F(ServiceClientsTest, CommitIsConditionalAndAtomic)
{
    const CommitResult first = commit({{WriteOperationKind::InsertIfAbsent, "a", "1"}, {WriteOperationKind::Put, "b", "1"}});
    ASSERT_EQ(first.status, CommitStatus::Applied);

    const CommitResult second = commit({{WriteOperationKind::Put, "b", "2"}, {WriteOperationKind::InsertIfAbsent, "a", "2"}});
    ASSERT_EQ(second.status, CommitStatus::Conflict);
    ASSERT_EQ(second.conflicts.size(), 1U);
    EXPECT_EQ(second.conflicts.at(0).operation, 1U);
    EXPECT_EQ(second.conflicts.at(0).current, (Row {"a", first.version, "1"}));
    EXPECT_EQ(read("b").row.value, "1");

    EXPECT_EQ(commit({{WriteOperationKind::PutIfVersion, "a", "3", first.version + 1}}).status, CommitStatus::Conflict);
    EXPECT_EQ(commit({{WriteOperationKind::PutIfVersion, "a", "3", first.version}}).status, CommitStatus::Applied);
    EXPECT_EQ(commit({{WriteOperationKind::DeleteIfVersion, "b", "", first.version}}).status, CommitStatus::Applied);
    EXPECT_EQ(read("b").status, ReadStatus::Absent);
}

// Guards against a scan that returns rows without the prefix.
TEST_F(ServiceClientsTest, ScanReturnsOnlyRowsWithPrefix)
{
    commit({{WriteOperationKind::Put, "x/1", "1"}, {WriteOperationKind::Put, "x/2", "2"}, {WriteOperationKind::Put, "y/1", "3"}});
    const ScanResult result = await<ScanResult>([&](auto handler) { table_.scan("test", "x/", std::move(handler)); });
    ASSERT_EQ(result.rows.size(), 2U);
    EXPECT_EQ(result.rows.at(1).value, "2");
}

// Guards against reporting a lost response as NotApplied, or a refused commit as Unknown.
TEST_F(ServiceClientsTest, DistinguishesUnknownFromNotApplied)
{
    ASSERT_TRUE(standin_->control(R"({"loseAnswers":1})"));
    EXPECT_EQ(commit({{WriteOperationKind::Put, "a", "1"}}).status, CommitStatus::Unknown);
    EXPECT_EQ(read("a").row.value, "1");

    standin_->control(R"({"outage":"refuse"})");
    EXPECT_EQ(commit({{WriteOperationKind::Put, "a", "2"}}).status, CommitStatus::NotApplied);
    EXPECT_EQ(read("a").status, ReadStatus::Unavailable);
    standin_->control(R"({"outage":"drop"})");
    EXPECT_EQ(commit({{WriteOperationKind::Put, "a", "2"}}).status, CommitStatus::Unknown);
    standin_->control(R"({"outage":"none","writesPerSecond":1})");
    CommitStatus status = CommitStatus::Applied;
    while (status == CommitStatus::Applied) {
        status = commit({{WriteOperationKind::Put, "b", "1"}}).status;
    }
    EXPECT_EQ(status, CommitStatus::NotApplied);
    EXPECT_EQ(read("a").row.value, "1");
}

// Guards against reporting a refused connection as Unknown, as if the write might have been applied.
TEST_F(ServiceClientsTest, RefusedConnectionIsNotApplied)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor closed(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
    const TableClient client(pool_.context().get_executor(), {.address = closed.local_endpoint()});
    closed.close();
    const auto result = await<CommitResult>([&](auto handler) { client.commit("test", {{WriteOperationKind::Put, "a", "1"}}, std::move(handler)); });
    EXPECT_EQ(result.status, CommitStatus::NotApplied);
}

// Guards against confusing objects and weights with errors.
TEST_F(ServiceClientsTest, ReadsObjectsAndWeights)
{
    const ObjectClient objects(pool_.context().get_executor(), options_);
    const auto get = [&](std::string_view name) {
        return await<ObjectResult>([&](auto handler) { objects.get(name, std::move(handler)); });
    };
    EXPECT_EQ(await<CommitStatus>([&](auto handler) { objects.put("x", "content", std::move(handler)); }), CommitStatus::Applied);
    EXPECT_EQ(get("x").content, "content");
    EXPECT_EQ(get("y").status, ReadStatus::Absent);

    const WeightClient weights(pool_.context().get_executor(), options_);
    const auto load = [&] {
        return await<WeightResult>([&](auto handler) { weights.get("atlas", std::move(handler)); });
    };
    EXPECT_EQ(load().status, WeightStatus::Found);
    standin_->control(R"({"weightsPerSecond":1})");
    WeightResult last;
    while (last.status != WeightStatus::RateLimited) {
        last = load();
        ASSERT_TRUE(last.status == WeightStatus::Found || last.status == WeightStatus::RateLimited);
    }
    EXPECT_EQ(last.retryAfter, std::chrono::seconds(1));
}

// Guards against a poller that misses a change, or that reports an empty list while the platform is down.
TEST_F(ServiceClientsTest, InstanceListReportsChanges)
{
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::vector<ListedInstance>> reportedLists;
    const auto awaitReports = [&](std::size_t count) {
        std::unique_lock lock(mutex);
        changed.wait(lock, [&] { return reportedLists.size() >= count; });
    };
    const auto poller = InstanceList::start(
        pool_.context().get_executor(), {.service = options_, .interval = std::chrono::milliseconds(5)}, [&](const std::vector<ListedInstance> &instances) {
            const std::lock_guard lock(mutex);
            reportedLists.push_back(instances);
            changed.notify_all();
        });
    awaitReports(1);
    standin_->control(R"({"instances":[{"id":"i1","address":"127.0.0.1","port":7101,"dataCentre":"dc-a","state":"live"}]})");
    awaitReports(2);
    standin_->control(R"({"outage":"drop"})");
    const std::uint64_t dropped = standin_->counter("dropped");
    while (standin_->counter("dropped") < dropped + 3) {
        std::this_thread::yield();
    }
    standin_->control(R"({"outage":"none","instances":[{"id":"i1","address":"127.0.0.1","port":7101,"dataCentre":"dc-a","state":"leaving"}]})");
    awaitReports(3);
    poller->stop();
    pool_.stop();
    pool_.join();
    ASSERT_EQ(reportedLists.size(), 3U);
    EXPECT_TRUE(reportedLists.at(0).empty());
    EXPECT_EQ(reportedLists.at(1).at(0).state, InstanceState::Live);
    EXPECT_EQ(reportedLists.at(2).at(0).state, InstanceState::Leaving);
}

} // namespace

} // namespace mulberrywall::backingservices
