#include "mulberrywall/Configuration/RevisionStore.h"

#include "mulberrywall/Configuration/Delta.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <cstdio>
#include <optional>

namespace mulberrywall::configuration
{

namespace json = boost::json;
namespace leaf = support::leaf;
using backingservices::CommitResult;
using backingservices::CommitStatus;
using backingservices::ReadResult;
using backingservices::ReadStatus;
using backingservices::WriteOperationKind;

namespace
{

using Clock = std::chrono::steady_clock;

constexpr std::string_view headKey = "head";
/// Delay before a push is retried.
constexpr std::chrono::milliseconds retryDelay {100};

/// Returns a row key with a zero-padded number, so that the rows are ordered by revision.
std::string numberedKey(const char *prefix, std::uint64_t number)
{
    std::array<char, 40> text {};
    std::snprintf(text.data(), text.size(), "%s/%012llu", prefix, static_cast<unsigned long long>(number));
    return text.data();
}

std::string revisionKey(std::uint64_t number)
{
    return numberedKey("revisions", number);
}

std::string deltaKey(std::uint64_t number)
{
    return numberedKey("deltas", number);
}

std::string encodeHead(std::uint64_t revision, const std::string &pushId)
{
    return json::serialize(json::object {{"revision", revision}, {"pushId", pushId}});
}

RevisionHeadResult parseHead(const ReadResult &result)
{
    if (result.status != ReadStatus::Found) {
        return {.status = result.status, .detail = result.detail};
    }
    try {
        const json::value document = json::parse(result.row.value);
        return {
            .status = ReadStatus::Found,
            .head = {
                .revision = document.as_object().at("revision").to_number<std::uint64_t>(),
                .pushId = std::string(document.as_object().at("pushId").as_string()),
                .rowVersion = result.row.version,
            },
        };
    } catch (const std::exception &error) {
        return {.status = ReadStatus::Unavailable, .detail = "the head row cannot be read: " + std::string(error.what())};
    }
}

RevisionResult parseRevision(const ReadResult &result)
{
    if (result.status != ReadStatus::Found) {
        return {.status = result.status, .detail = result.detail};
    }
    return leaf::try_handle_all(
        [&]() -> support::Result<RevisionResult> {
            BOOST_LEAF_AUTO(revision, revisionFromJson(result.row.value));
            return RevisionResult {.status = ReadStatus::Found, .revision = std::make_shared<const Revision>(std::move(revision))};
        },
        [](const support::ErrorMessage &message) { return RevisionResult {.status = ReadStatus::Unavailable, .detail = message.text}; },
        [] { return RevisionResult {.status = ReadStatus::Unavailable, .detail = "the revision row cannot be read"}; });
}

RevisionResult parseDelta(const Revision &cached, const ReadResult &result)
{
    return leaf::try_handle_all(
        [&]() -> support::Result<RevisionResult> {
            BOOST_LEAF_AUTO(revision, applyDelta(cached, result.row.value));
            return RevisionResult {.status = ReadStatus::Found, .revision = std::make_shared<const Revision>(std::move(revision))};
        },
        [](const support::ErrorMessage &message) { return RevisionResult {.status = ReadStatus::Unavailable, .detail = message.text}; },
        [] { return RevisionResult {.status = ReadStatus::Unavailable, .detail = "the delta row cannot be read"}; });
}

/// A push with its retries. Calls the handler once at the end.
class PushOperation : public std::enable_shared_from_this<PushOperation>
{
public:
    PushOperation(
        const boost::asio::any_io_executor &executor, const backingservices::TableClient &table, PushRequest request, std::function<void(PushResult)> handler)
        : executor_(executor),
          table_(table),
          request_(std::move(request)),
          handler_(std::move(handler)),
          deadline_(Clock::now() + request_.timeout),
          number_(request_.basedOn + 1)
    {
        for (SiteConfiguration &site : request_.sites) {
            site.revision = number_;
        }
        const Revision revision {.number = number_, .basedOn = request_.basedOn, .pushId = request_.pushId, .sites = std::move(request_.sites)};
        value_ = toJson(revision);
        if (request_.base != nullptr && request_.base->number == request_.basedOn) {
            delta_ = renderDelta(*request_.base, revision);
        }
    }

    /// Reads the revision row first, since this may be a repeated push whose first response was lost.
    void start()
    {
        table_.read(configurationTable, revisionKey(number_), [self = shared_from_this()](const ReadResult &result) { self->onRevision(result); });
    }

private:
    void onRevision(const ReadResult &result)
    {
        switch (result.status) {
        case ReadStatus::Unavailable:
            retry(result.detail);
            return;
        case ReadStatus::Found: {
            const RevisionResult stored = parseRevision(result);
            const bool isOwn = stored.status == ReadStatus::Found && stored.revision->pushId == request_.pushId;
            finish(isOwn ? PushStatus::Applied : PushStatus::Conflict, stored.detail);
            return;
        }
        case ReadStatus::Absent:
            table_.read(configurationTable, headKey, [self = shared_from_this()](const ReadResult &head) { self->onHead(parseHead(head)); });
            return;
        }
    }

    void onHead(const RevisionHeadResult &result)
    {
        if (result.status == ReadStatus::Unavailable) {
            retry(result.detail);
            return;
        }
        if (result.head.revision != request_.basedOn) {
            // This push may have been applied between the reads of the revision row and of the head row.
            const bool isOwn = result.head.pushId == request_.pushId;
            finish(isOwn ? PushStatus::Applied : PushStatus::Conflict, "the head is revision " + std::to_string(result.head.revision));
            return;
        }
        const std::string head = encodeHead(number_, request_.pushId);
        const bool isFirst = result.status == ReadStatus::Absent;
        std::vector<backingservices::WriteOperation> operations {
            {.kind = WriteOperationKind::InsertIfAbsent, .key = revisionKey(number_), .value = value_},
            {.kind = isFirst ? WriteOperationKind::InsertIfAbsent : WriteOperationKind::PutIfVersion,
                .key = std::string(headKey),
                .value = head,
                .version = result.head.rowVersion},
        };
        if (delta_) {
            operations.push_back({.kind = WriteOperationKind::InsertIfAbsent, .key = deltaKey(number_), .value = *delta_});
        }
        table_.commit(configurationTable, operations, [self = shared_from_this()](const CommitResult &commit) { self->onCommit(commit); });
    }

    void onCommit(const CommitResult &result)
    {
        switch (result.status) {
        case CommitStatus::Applied:
            finish(PushStatus::Applied, {});
            return;
        case CommitStatus::NotApplied:
            retry(result.detail);
            return;
        case CommitStatus::Unknown:
            mayHaveBeenApplied_ = true;
            retry(result.detail);
            return;
        case CommitStatus::Conflict:
            // Either another push or an earlier commit of this push has been applied; the push id in the row shows which.
            start();
            return;
        }
    }

    void retry(const std::string &detail)
    {
        if (Clock::now() + retryDelay >= deadline_) {
            finish(mayHaveBeenApplied_ ? PushStatus::Unknown : PushStatus::NotApplied, detail);
            return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(boost::asio::make_strand(executor_), retryDelay);
        timer->async_wait([timer, self = shared_from_this()](const boost::system::error_code &) { self->start(); });
    }

    void finish(PushStatus status, const std::string &detail)
    {
        handler_({.status = status, .revision = status == PushStatus::Applied ? number_ : 0, .detail = detail});
    }

    boost::asio::any_io_executor executor_;
    backingservices::TableClient table_;
    PushRequest request_;
    std::function<void(PushResult)> handler_;
    Clock::time_point deadline_;
    std::uint64_t number_ = 0;
    std::string value_;
    std::optional<std::string> delta_;
    bool mayHaveBeenApplied_ = false;
};

} // namespace

RevisionStore::RevisionStore(const boost::asio::any_io_executor &executor, const backingservices::BackingServiceOptions &options)
    : executor_(executor),
      table_(executor, options)
{
}

void RevisionStore::fetchHead(std::function<void(RevisionHeadResult)> handler) const
{
    table_.read(configurationTable, headKey, [handler = std::move(handler)](const ReadResult &result) { handler(parseHead(result)); });
}

void RevisionStore::fetchRevision(std::uint64_t number, std::function<void(RevisionResult)> handler) const
{
    table_.read(configurationTable, revisionKey(number), [handler = std::move(handler)](const ReadResult &result) { handler(parseRevision(result)); });
}

void RevisionStore::fetchRevision(std::uint64_t number, std::shared_ptr<const Revision> cached, std::function<void(RevisionResult)> handler) const
{
    if (cached == nullptr || cached->number + 1 != number) {
        fetchRevision(number, std::move(handler));
        return;
    }
    table_.read(configurationTable,
        deltaKey(number),
        [store = *this, number, cached = std::move(cached), handler = std::move(handler)](const ReadResult &result) mutable {
            RevisionResult revision;
            if (result.status == ReadStatus::Found) {
                revision = parseDelta(*cached, result);
            }
            if (revision.status == ReadStatus::Found) {
                handler(std::move(revision));
                return;
            }
            store.fetchRevision(number, std::move(handler));
        });
}

void RevisionStore::push(PushRequest request, std::function<void(PushResult)> handler) const
{
    std::make_shared<PushOperation>(executor_, table_, std::move(request), std::move(handler))->start();
}

} // namespace mulberrywall::configuration
