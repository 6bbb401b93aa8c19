#include "mulberrywall/Support/MemoryBudget.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace mulberrywall::support
{

class MemoryBudgetTest : public testing::Test
{
protected:
    std::unique_ptr<MemoryBudget::Share> open(const std::string &name, std::size_t bytes)
    {
        auto share = budget_->open([this, name] { reclaimed_.push_back(name); });
        share->resize(bytes);
        return share;
    }

    std::shared_ptr<MemoryBudget> budget_ = std::make_shared<MemoryBudget>(100);
    /// Names of the holders that were asked to release their bytes, in order.
    std::vector<std::string> reclaimed_;
};

/// Guards against holders with few bytes that lose them because others hold too many.
TEST_F(MemoryBudgetTest, LargestHoldersRelease)
{
    const auto small = open("small", 10);
    const auto large = open("large", 60);
    const auto medium = open("medium", 30);
    EXPECT_TRUE(reclaimed_.empty());
    small->resize(11);
    EXPECT_EQ(reclaimed_, (std::vector<std::string> {"large"}));
}

/// Guards against more holders being asked than necessary, while those that were asked have not yet released their bytes.
TEST_F(MemoryBudgetTest, BytesThatAreBeingReleasedDoNotCount)
{
    auto first = open("first", 90);
    const auto second = open("second", 20);
    first->resize(95);
    const auto third = open("third", 80);
    EXPECT_EQ(reclaimed_, (std::vector<std::string> {"first"}));
    EXPECT_EQ(budget_->heldBytes(), 195U);
    first.reset();
    EXPECT_EQ(budget_->heldBytes(), 100U);
    third->resize(81);
    EXPECT_EQ(reclaimed_, (std::vector<std::string> {"first", "third"}));
}

/// Guards against a single holder above the limit that is asked again and again, or never.
TEST_F(MemoryBudgetTest, HolderAboveTheLimitIsAskedOnce)
{
    const auto only = open("only", 101);
    only->resize(200);
    EXPECT_EQ(reclaimed_, (std::vector<std::string> {"only"}));
}

/// Guards against the end of requests that run, whose bytes must stay, and against a reclaim without end if no others exist.
TEST_F(MemoryBudgetTest, PinnedHoldersKeepTheirBytes)
{
    const auto running = open("running", 90);
    running->pin();
    const auto writing = open("writing", 20);
    EXPECT_EQ(reclaimed_, (std::vector<std::string> {"writing"}));
    running->resize(200);
    EXPECT_EQ(reclaimed_.size(), 1U);
}

/// Guards against bodies that are read beyond their part of the bound, so that nothing is left for responses.
TEST_F(MemoryBudgetTest, GrowthBeyondTheGivenLimitIsDenied)
{
    const auto response = open("response", 50);
    const auto body = open("body", 0);
    EXPECT_FALSE(body->tryResize(11, 60));
    EXPECT_EQ(budget_->heldBytes(), 50U);
    EXPECT_TRUE(body->tryResize(10, 60));
    EXPECT_TRUE(reclaimed_.empty());
}

/// Guards against holders that lose their bytes although they move, while others hold theirs without moving any.
TEST_F(MemoryBudgetTest, OnlyStalledHoldersAreReclaimedUnderPressure)
{
    const auto moving = open("moving", 60);
    EXPECT_FALSE(budget_->reclaimStalled(std::chrono::minutes(1)));
    EXPECT_TRUE(budget_->reclaimStalled(std::chrono::milliseconds(0)));
    EXPECT_EQ(reclaimed_, (std::vector<std::string> {"moving"}));
}

/// Guards against endpoints that send without end and take the room of requests.
TEST_F(MemoryBudgetTest, ResponsesOfEndpointsHaveABoundOfTheirOwn)
{
    const auto budget = std::make_shared<MemoryBudget>(100, 40);
    const auto request = budget->open([this] { reclaimed_.emplace_back("request"); });
    request->resize(50);
    const auto response = budget->open([this] { reclaimed_.emplace_back("response"); }, MemoryBudget::Holding::FromEndpoint);
    response->resize(41);
    EXPECT_EQ(reclaimed_, (std::vector<std::string> {"response"}));
}

} // namespace mulberrywall::support
