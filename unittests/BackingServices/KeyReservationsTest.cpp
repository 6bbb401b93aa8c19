#include "BackingServicesFixture.h"

#include "mulberrywall/BackingServices/ReservationBatch.h"

#include <atomic>

namespace mulberrywall::backingservices
{

namespace
{

ReservationRequest request(const std::string &attempt, const std::string &key = "key", const std::string &body = "body")
{
    return {.organisation = support::OrganisationId("harbour"), .keyHash = key, .attemptId = attempt, .bodyHash = body};
}

class KeyReservationsTest : public BackingServicesFixture
{
protected:
    KeyReservationsTest()
        : batch_(ReservationBatch::create(pool_.context().get_executor(), {.service = options_, .interval = std::chrono::milliseconds(5)}))
    {
    }

    ReservationResult claim(const ReservationRequest &claimRequest)
    {
        return await<ReservationResult>([&](auto handler) { batch_->reserve(claimRequest, std::move(handler)); });
    }

    ReservationUpdate complete(const ReservationRequest &claimRequest, std::uint64_t version)
    {
        return await<ReservationUpdate>([&](auto handler) {
            batch_->completeReservation(claimRequest, version, {201, "text/plain", "done"}, std::move(handler));
        });
    }

    ReservationUpdate release(const ReservationRequest &claimRequest, std::uint64_t version)
    {
        return await<ReservationUpdate>([&](auto handler) { batch_->releaseReservation(claimRequest, version, std::move(handler)); });
    }

    std::shared_ptr<ReservationBatch> batch_;
};

// Guards against a second attempt for a key, and against a replay that differs from the first response.
TEST_F(KeyReservationsTest, SecondAttemptIsAnsweredFromTheFirst)
{
    const ReservationResult first = claim(request("a1"));
    ASSERT_EQ(first.outcome, ReservationOutcome::Reserved);
    EXPECT_EQ(claim(request("a2")).outcome, ReservationOutcome::ReservedByOther);
    EXPECT_EQ(claim(request("a3", "key", "other")).outcome, ReservationOutcome::BodyMismatch);
    ASSERT_EQ(complete(request("a1"), first.version), ReservationUpdate::Done);
    const ReservationResult replay = claim(request("a4"));
    EXPECT_EQ(replay.outcome, ReservationOutcome::Completed);
    EXPECT_EQ(replay.response, (StoredResponse {201, "text/plain", "done"}));
}

// Guards against a damaged row whose response cannot be sent, which would end the process.
TEST(ClaimRowTest, ResponseThatCannotBeSentIsNoClaim)
{
    for (const StoredResponse &response : std::vector<StoredResponse> {{0, "", ""}, {100, "", ""}, {204, "", "x"}, {1'000, "", ""}, {200, "a\r\nb: c", ""}}) {
        EXPECT_FALSE(parseReservation(encodeReservation({.attemptId = "a", .bodyHash = "b", .response = response}))) << response.status;
    }
    EXPECT_TRUE(parseReservation(encodeReservation({.attemptId = "a", .bodyHash = "b", .response = StoredResponse {204, "", ""}})));
}

// Guards against a release that deletes another attempt's claim, which would let the request run twice.
TEST_F(KeyReservationsTest, ReleaseIsConditionalOnTheAttempt)
{
    const ReservationResult first = claim(request("a1"));
    ASSERT_EQ(release(request("a1"), first.version), ReservationUpdate::Done);
    const ReservationResult second = claim(request("a2"));
    ASSERT_EQ(second.outcome, ReservationOutcome::Reserved);
    EXPECT_EQ(release(request("a1"), first.version), ReservationUpdate::NotOwner);
    EXPECT_EQ(complete(request("a1"), first.version), ReservationUpdate::NotOwner);
    EXPECT_EQ(claim(request("a3")).outcome, ReservationOutcome::ReservedByOther);
}

// Guards against a lost answer that makes the claimant refuse its own claim, or repeats an update.
TEST_F(KeyReservationsTest, LostAnswersAreResolvedByReadingBack)
{
    standin_->control(R"({"loseAnswers":1})");
    const ReservationResult first = claim(request("a1"));
    ASSERT_EQ(first.outcome, ReservationOutcome::Reserved);
    standin_->control(R"({"loseAnswers":1})");
    EXPECT_EQ(complete(request("a1"), first.version), ReservationUpdate::Done);
    EXPECT_EQ(claim(request("a2")).outcome, ReservationOutcome::Completed);
    const ReservationResult other = claim(request("a1", "key2"));
    standin_->control(R"({"loseAnswers":1})");
    EXPECT_EQ(release(request("a1", "key2"), other.version), ReservationUpdate::Done);
    EXPECT_EQ(claim(request("a2", "key2")).outcome, ReservationOutcome::Reserved);
    EXPECT_EQ(standin_->counter("answersLost"), 3U);
}

// Guards against a dispatch without a claim while the table service is down, and against a key that stays blocked.
TEST_F(KeyReservationsTest, OutageIsUnavailableAndLeavesNoClaim)
{
    standin_->control(R"({"outage":"drop"})");
    EXPECT_EQ(claim(request("a1")).outcome, ReservationOutcome::Unavailable);
    standin_->control(R"({"outage":"none"})");
    EXPECT_EQ(claim(request("a2")).outcome, ReservationOutcome::Reserved);
}

// Guards against one conflict that fails a whole batch, and against one commit per claim.
TEST_F(KeyReservationsTest, ConflictsDoNotHoldUpTheBatch)
{
    constexpr int keys = 200;
    std::atomic<int> claimed {0};
    std::atomic<int> refused {0};
    std::atomic<int> left {keys * 3};
    std::promise<void> done;
    for (int index = 0; index < keys * 3; ++index) {
        batch_->reserve(request("a" + std::to_string(index), "key" + std::to_string(index % keys)), [&](const ReservationResult &result) {
            (result.outcome == ReservationOutcome::Reserved ? claimed : refused) += 1;
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

} // namespace mulberrywall::backingservices
