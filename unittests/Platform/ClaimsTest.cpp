#include "PlatformFixture.h"

#include "mulberrywall/Platform/ClaimBatch.h"

#include <atomic>

namespace mulberrywall::platform
{

namespace
{

ClaimRequest request(const std::string &attempt, const std::string &key = "key", const std::string &body = "body")
{
    return {.organisation = support::OrganisationId("harbour"), .keyHash = key, .attemptId = attempt, .bodyHash = body};
}

class ClaimsTest : public PlatformFixture
{
protected:
    ClaimsTest()
        : batch_(ClaimBatch::create(pool_.context().get_executor(), {.platform = options_, .interval = std::chrono::milliseconds(5)}))
    {
    }

    ClaimResult claim(const ClaimRequest &claimRequest)
    {
        return await<ClaimResult>([&](auto handler) { batch_->claim(claimRequest, std::move(handler)); });
    }

    ClaimUpdate complete(const ClaimRequest &claimRequest, std::uint64_t version)
    {
        return await<ClaimUpdate>([&](auto handler) { batch_->completeClaim(claimRequest, version, {201, "text/plain", "done"}, std::move(handler)); });
    }

    ClaimUpdate release(const ClaimRequest &claimRequest, std::uint64_t version)
    {
        return await<ClaimUpdate>([&](auto handler) { batch_->releaseClaim(claimRequest, version, std::move(handler)); });
    }

    std::shared_ptr<ClaimBatch> batch_;
};

// Guards against a second attempt for a key, and against a replay that differs from the first response.
TEST_F(ClaimsTest, SecondAttemptIsAnsweredFromTheFirst)
{
    const ClaimResult first = claim(request("a1"));
    ASSERT_EQ(first.outcome, ClaimOutcome::Claimed);
    EXPECT_EQ(claim(request("a2")).outcome, ClaimOutcome::ClaimedByOther);
    EXPECT_EQ(claim(request("a3", "key", "other")).outcome, ClaimOutcome::OtherBody);
    ASSERT_EQ(complete(request("a1"), first.version), ClaimUpdate::Done);
    const ClaimResult replay = claim(request("a4"));
    EXPECT_EQ(replay.outcome, ClaimOutcome::Completed);
    EXPECT_EQ(replay.response, (StoredResponse {201, "text/plain", "done"}));
}

// Guards against a damaged row whose response cannot be sent, which would end the process.
TEST(ClaimRowTest, ResponseThatCannotBeSentIsNoClaim)
{
    for (const StoredResponse &response : std::vector<StoredResponse> {{0, "", ""}, {100, "", ""}, {204, "", "x"}, {1'000, "", ""}, {200, "a\r\nb: c", ""}}) {
        EXPECT_FALSE(parseClaim(encodeClaim({.attemptId = "a", .bodyHash = "b", .response = response}))) << response.status;
    }
    EXPECT_TRUE(parseClaim(encodeClaim({.attemptId = "a", .bodyHash = "b", .response = StoredResponse {204, "", ""}})));
}

// Guards against a release that deletes another attempt's claim, which would let the request run twice.
TEST_F(ClaimsTest, ReleaseIsConditionalOnTheAttempt)
{
    const ClaimResult first = claim(request("a1"));
    ASSERT_EQ(release(request("a1"), first.version), ClaimUpdate::Done);
    const ClaimResult second = claim(request("a2"));
    ASSERT_EQ(second.outcome, ClaimOutcome::Claimed);
    EXPECT_EQ(release(request("a1"), first.version), ClaimUpdate::NotOwner);
    EXPECT_EQ(complete(request("a1"), first.version), ClaimUpdate::NotOwner);
    EXPECT_EQ(claim(request("a3")).outcome, ClaimOutcome::ClaimedByOther);
}

// Guards against a lost answer that makes the claimant refuse its own claim, or repeats an update.
TEST_F(ClaimsTest, LostAnswersAreResolvedByReadingBack)
{
    standin_->control(R"({"loseAnswers":1})");
    const ClaimResult first = claim(request("a1"));
    ASSERT_EQ(first.outcome, ClaimOutcome::Claimed);
    standin_->control(R"({"loseAnswers":1})");
    EXPECT_EQ(complete(request("a1"), first.version), ClaimUpdate::Done);
    EXPECT_EQ(claim(request("a2")).outcome, ClaimOutcome::Completed);
    const ClaimResult other = claim(request("a1", "key2"));
    standin_->control(R"({"loseAnswers":1})");
    EXPECT_EQ(release(request("a1", "key2"), other.version), ClaimUpdate::Done);
    EXPECT_EQ(claim(request("a2", "key2")).outcome, ClaimOutcome::Claimed);
    EXPECT_EQ(standin_->counter("answersLost"), 3U);
}

// Guards against a dispatch without a claim while the table service is down, and against a key that stays blocked.
TEST_F(ClaimsTest, OutageIsUnavailableAndLeavesNoClaim)
{
    standin_->control(R"({"outage":"drop"})");
    EXPECT_EQ(claim(request("a1")).outcome, ClaimOutcome::Unavailable);
    standin_->control(R"({"outage":"none"})");
    EXPECT_EQ(claim(request("a2")).outcome, ClaimOutcome::Claimed);
}

// Guards against one conflict that fails a whole batch, and against one commit per claim.
TEST_F(ClaimsTest, ConflictsDoNotHoldUpTheBatch)
{
    constexpr int keys = 200;
    std::atomic<int> claimed {0};
    std::atomic<int> refused {0};
    std::atomic<int> left {keys * 3};
    std::promise<void> done;
    for (int index = 0; index < keys * 3; ++index) {
        batch_->claim(request("a" + std::to_string(index), "key" + std::to_string(index % keys)), [&](const ClaimResult &result) {
            (result.outcome == ClaimOutcome::Claimed ? claimed : refused) += 1;
            if (--left == 0) {
                done.set_value();
            }
        });
    }
    done.get_future().wait();
    EXPECT_EQ(claimed, keys);
    EXPECT_EQ(refused, 2 * keys);
    EXPECT_EQ(standin_->counter("rowsWritten"), static_cast<std::uint64_t>(keys));
    EXPECT_LT(standin_->counter("commits"), static_cast<std::uint64_t>(keys) / 10);
}

} // namespace

} // namespace mulberrywall::platform
