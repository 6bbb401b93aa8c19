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

} // namespace mulberrywall::support
