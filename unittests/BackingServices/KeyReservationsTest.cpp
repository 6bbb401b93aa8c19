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

    ReservationResult reserve(const ReservationRequest &reservationRequest)
    {
        return await<ReservationResult>([&](auto handler) { batch_->reserve(reservationRequest, std::move(handler)); });
    }

    ReservationUpdate complete(const ReservationRequest &reservationRequest, std::uint64_t version)
    {
        return await<ReservationUpdate>([&](auto handler) {
            batch_->completeReservation(reservationRequest, version, {201, "text/plain", "done"}, std::move(handler));
        });
    }

    ReservationUpdate release(const ReservationRequest &reservationRequest, std::uint64_t version)
    {
        return await<ReservationUpdate>([&](auto handler) { batch_->releaseReservation(reservationRequest, version, std::move(handler)); });
    }

    std::shared_ptr<ReservationBatch> batch_;
};

// Guards against a second run for the same key, and against a replay that differs from the first response.
TEST_F(KeyReservationsTest, CompletedReservationReplaysFirstResponse)
{
    const ReservationResult first = reserve(request("a1"));
    ASSERT_EQ(first.outcome, ReservationOutcome::Reserved);
    EXPECT_EQ(reserve(request("a2")).outcome, ReservationOutcome::ReservedByOther);
    EXPECT_EQ(reserve(request("a3", "key", "other")).outcome, ReservationOutcome::BodyMismatch);
    ASSERT_EQ(complete(request("a1"), first.version), ReservationUpdate::Done);
    const ReservationResult replay = reserve(request("a4"));
    EXPECT_EQ(replay.outcome, ReservationOutcome::Completed);
    EXPECT_EQ(replay.response, (StoredResponse {201, "text/plain", "done"}));
}

// Guards against a malformed row whose stored response cannot be sent, which would terminate the process.
TEST(ReservationRowTest, RejectsResponseThatCannotBeSent)
{
    for (const StoredResponse &response : std::vector<StoredResponse> {{0, "", ""}, {100, "", ""}, {204, "", "x"}, {1'000, "", ""}, {200, "a\r\nb: c", ""}}) {
        EXPECT_FALSE(parseReservation(encodeReservation({.attemptId = "a", .bodyHash = "b", .response = response}))) << response.status;
    }
    EXPECT_TRUE(parseReservation(encodeReservation({.attemptId = "a", .bodyHash = "b", .response = StoredResponse {204, "", ""}})));
}

// Guards against a release that deletes the reservation of another attempt, after which the request could run twice.
TEST_F(KeyReservationsTest, ReleaseIsConditionalOnRowVersion)
{
    const ReservationResult first = reserve(request("a1"));
    ASSERT_EQ(release(request("a1"), first.version), ReservationUpdate::Done);
    const ReservationResult second = reserve(request("a2"));
    ASSERT_EQ(second.outcome, ReservationOutcome::Reserved);
    EXPECT_EQ(release(request("a1"), first.version), ReservationUpdate::NotOwner);
    EXPECT_EQ(complete(request("a1"), first.version), ReservationUpdate::NotOwner);
    EXPECT_EQ(reserve(request("a3")).outcome, ReservationOutcome::ReservedByOther);
}

// Guards against a lost response after which an attempt treats its own reservation as another's, or repeats an update.
TEST_F(KeyReservationsTest, LostResponsesAreResolvedByReadBack)
{
    standin_->control(R"({"loseAnswers":1})");
    const ReservationResult first = reserve(request("a1"));
    ASSERT_EQ(first.outcome, ReservationOutcome::Reserved);
    standin_->control(R"({"loseAnswers":1})");
    EXPECT_EQ(complete(request("a1"), first.version), ReservationUpdate::Done);
    EXPECT_EQ(reserve(request("a2")).outcome, ReservationOutcome::Completed);
    const ReservationResult other = reserve(request("a1", "key2"));
    standin_->control(R"({"loseAnswers":1})");
    EXPECT_EQ(release(request("a1", "key2"), other.version), ReservationUpdate::Done);
    EXPECT_EQ(reserve(request("a2", "key2")).outcome, ReservationOutcome::Reserved);
    EXPECT_EQ(standin_->counter("answersLost"), 3U);
}

// Guards against a dispatch without a reservation while the table service is down, and against a key that stays blocked.
TEST_F(KeyReservationsTest, OutageIsUnavailableAndLeavesNoReservation)
{
    standin_->control(R"({"outage":"drop"})");
    EXPECT_EQ(reserve(request("a1")).outcome, ReservationOutcome::Unavailable);
    standin_->control(R"({"outage":"none"})");
    EXPECT_EQ(reserve(request("a2")).outcome, ReservationOutcome::Reserved);
}

// Guards against a single conflict that fails the whole batch, and against one commit per reservation.
TEST_F(KeyReservationsTest, ConflictsDoNotFailTheBatch)
{
    constexpr int keys = 200;
    std::atomic<int> reserved {0};
    std::atomic<int> rejected {0};
    std::atomic<int> remaining {keys * 3};
    std::promise<void> done;
    for (int index = 0; index < keys * 3; ++index) {
        batch_->reserve(request("a" + std::to_string(index), "key" + std::to_string(index % keys)), [&](const ReservationResult &result) {
            (result.outcome == ReservationOutcome::Reserved ? reserved : rejected) += 1;
            if (--remaining == 0) {
                done.set_value();
            }
        });
    }
    done.get_future().wait();
    EXPECT_EQ(reserved, keys);
    EXPECT_EQ(rejected, 2 * keys);
    EXPECT_EQ(standin_->counter("rowsWritten"), static_cast<std::uint64_t>(keys));
    EXPECT_LT(standin_->counter("commits"), static_cast<std::uint64_t>(keys) / 10);
}

} // namespace

} // namespace mulberrywall::backingservices
