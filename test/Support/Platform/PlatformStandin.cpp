#include "PlatformStandin.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace mulberrywall::standin
{

namespace asio = boost::asio;
namespace json = boost::json;
using http::Response;
using http::ServerExchange;
using http::ServerExchangePtr;
using http::Status;
using http::Verb;
using Clock = std::chrono::steady_clock;

namespace
{

struct StoredRow
{
    std::uint64_t version = 0;
    std::string value;
};

using Table = std::map<std::string, StoredRow, std::less<>>;

/// Limits the number of events in a sliding window of one second.
class RateLimiter
{
public:
    /// Records an event and returns true, or returns false if the limit is reached. A limit of 0
    /// allows every event.
    bool allow(unsigned perSecond)
    {
        const Clock::time_point now = Clock::now();
        while (!events_.empty() && now - events_.front() >= std::chrono::seconds(1)) {
            events_.pop_front();
        }
        if (perSecond != 0 && events_.size() >= perSecond) {
            return false;
        }
        events_.push_back(now);
        return true;
    }

private:
    std::deque<Clock::time_point> events_;
};

struct PlatformReply
{
    Response response;
    /// The connection is closed without sending the response.
    bool closesConnection = false;
};

PlatformReply makeReply(Status status, const json::value &body)
{
    return {.response = http::makeJsonResponse(status, json::serialize(body))};
}

PlatformReply makeProblemReply(Status status, std::string_view detail)
{
    return makeReply(status, json::object {{"detail", detail}});
}

/// Returns a response with X-Not-Run, which states that nothing of the request was applied.
PlatformReply makeNotRunReply(Status status, std::string_view detail)
{
    PlatformReply result = makeProblemReply(status, detail);
    result.response.set(http::header::notRun, "1");
    result.response.set(http::Field::retry_after, "1");
    return result;
}

json::object renderRow(std::string_view key, const StoredRow &row)
{
    return {{"key", key}, {"version", row.version}, {"value", row.value}};
}

bool isConditionMet(std::string_view kind, const Table &table, std::string_view key, std::uint64_t version)
{
    const auto found = table.find(key);
    if (kind == "insert-if-absent") {
        return found == table.end();
    }
    if (kind == "put") {
        return true;
    }
    return found != table.end() && found->second.version == version;
}

class InMemoryPlatform final : public PlatformStandin, public std::enable_shared_from_this<InMemoryPlatform>
{
public:
    InMemoryPlatform(asio::io_context &context, const PlatformOptions &options)
        : context_(context),
          options_(options)
    {
    }

    void listen()
    {
        server_ = http::Server::create(
            context_, {.listen = options_.listen, .limits = {.maxBodyBytes = 64 * 1024 * 1024}}, [self = weak_from_this()](const ServerExchangePtr &exchange) {
                if (const auto platform = self.lock()) {
                    platform->onRequest(exchange);
                }
            });
        server_->start();
    }

    [[nodiscard]] asio::ip::tcp::endpoint localEndpoint() const override
    {
        return server_->localEndpoint();
    }

    bool control(const std::string &jsonText) override
    {
        const std::lock_guard lock(mutex_);
        return applyControl(jsonText);
    }

    [[nodiscard]] std::uint64_t counter(const std::string &name) const override
    {
        const std::lock_guard lock(mutex_);
        const auto found = counters_.find(name);
        return found == counters_.end() ? 0 : found->second;
    }

private:
    void onRequest(const ServerExchangePtr &exchange)
    {
        PlatformReply reply;
        std::chrono::milliseconds latency {};
        {
            const std::lock_guard lock(mutex_);
            // /control responds without delay: a test that waits for an event must see it before
            // the delayed response arrives.
            const auto target = exchange->request().target();
            latency = http::pathOf({target.data(), target.size()}) == "/control" ? std::chrono::milliseconds(0) : options_.latency;
            reply = handle(exchange->request());
        }
        if (latency == std::chrono::milliseconds(0)) {
            send(exchange, std::move(reply));
            return;
        }
        auto timer = std::make_shared<asio::steady_timer>(exchange->executor(), latency);
        timer->async_wait([timer, exchange, reply = std::move(reply)](const boost::system::error_code &) mutable { send(exchange, std::move(reply)); });
    }

    static void send(const ServerExchangePtr &exchange, PlatformReply reply)
    {
        if (reply.closesConnection) {
            exchange->abortStream();
            return;
        }
        exchange->respond(std::move(reply.response));
    }

    PlatformReply handle(const http::Request &request)
    {
        const std::string target(request.target());
        const std::string path(http::pathOf(target));
        if (path == "/control") {
            return handleControl(request);
        }
        if (outage_ == "drop") {
            ++counters_["dropped"];
            return {.response = {}, .closesConnection = true};
        }
        if (outage_ == "refuse") {
            ++counters_["refusedByOutage"];
            return makeNotRunReply(Status::service_unavailable, "the platform is down");
        }
        constexpr std::string_view tables = "/v1/tables/";
        constexpr std::string_view objects = "/v1/objects/";
        constexpr std::string_view weights = "/v1/weights/";
        if (path.starts_with(tables)) {
            return handleTable(request, target, path.substr(tables.size()));
        }
        if (path.starts_with(objects)) {
            return handleObject(request, path.substr(objects.size()));
        }
        if (path.starts_with(weights)) {
            return handleWeights(path.substr(weights.size()));
        }
        if (path == "/v1/instances") {
            return handleInstances();
        }
        return makeProblemReply(Status::not_found, "no such resource");
    }

    PlatformReply handleControl(const http::Request &request)
    {
        if (request.method() == Verb::post && !applyControl(request.body())) {
            return makeProblemReply(Status::bad_request, "the control message is not valid");
        }
        json::object counters;
        for (const auto &[name, value] : counters_) {
            counters[name] = value;
        }
        return makeReply(Status::ok, counters);
    }

    bool applyControl(const std::string &text)
    {
        boost::system::error_code error;
        const json::value message = json::parse(text, error);
        if (error || !message.is_object()) {
            return false;
        }
        for (const auto &[key, value] : message.get_object()) {
            const bool isNumber = value.is_int64() && value.get_int64() >= 0;
            if (key == "outage" && value.is_string()) {
                outage_ = std::string(value.get_string());
            } else if (key == "instances" && value.is_array()) {
                instanceChanges_.push_back({.visibleFrom = Clock::now() + options_.instanceLag, .list = value.get_array()});
            } else if (!isNumber || !applyNumber(key, static_cast<unsigned>(value.get_int64()))) {
                return false;
            }
        }
        return true;
    }

    bool applyNumber(std::string_view key, unsigned number)
    {
        const std::map<std::string_view, unsigned *> counts {
            {"loseAnswers", &responsesToLose_},
            {"outageAfterLostAnswer", &outageAfterLostResponse_},
            {"writesPerSecond", &options_.writesPerSecond},
            {"readsPerSecond", &options_.readsPerSecond},
            {"weightsPerSecond", &options_.weightsPerSecond},
        };
        const std::map<std::string_view, std::chrono::milliseconds *> durations {
            {"latencyMs", &options_.latency},
            {"instanceLagMs", &options_.instanceLag},
        };
        if (const auto count = counts.find(key); count != counts.end()) {
            *count->second = number;
            return true;
        }
        if (const auto duration = durations.find(key); duration != durations.end()) {
            *duration->second = std::chrono::milliseconds(number);
            return true;
        }
        return false;
    }

    PlatformReply handleTable(const http::Request &request, const std::string &target, const std::string &subpath)
    {
        const std::size_t separator = subpath.find('/');
        const std::string name = subpath.substr(0, separator);
        const std::string action = separator == std::string::npos ? std::string() : subpath.substr(separator + 1);
        Table &table = tables_[name];
        if (request.method() == Verb::post && action == "commit") {
            return handleCommit(table, request.body());
        }
        if (request.method() != Verb::get || !action.starts_with("rows")) {
            return makeProblemReply(Status::not_found, "no such resource");
        }
        if (!readLimiter_.allow(options_.readsPerSecond)) {
            ++counters_["readsRefused"];
            return makeNotRunReply(Status::too_many_requests, "too many reads");
        }
        if (action == "rows") {
            ++counters_["scans"];
            return handleScan(table, http::queryParameter(target, "prefix"));
        }
        ++counters_["reads"];
        const std::string key = action.substr(std::string_view("rows/").size());
        const auto found = table.find(key);
        if (found == table.end()) {
            return makeProblemReply(Status::not_found, "no such row");
        }
        return makeReply(Status::ok, renderRow(key, found->second));
    }

    static PlatformReply handleScan(const Table &table, std::string_view prefix)
    {
        json::array rows;
        for (auto row = table.lower_bound(prefix); row != table.end() && row->first.starts_with(prefix); ++row) {
            rows.push_back(renderRow(row->first, row->second));
        }
        return makeReply(Status::ok, json::object {{"rows", std::move(rows)}});
    }

    PlatformReply handleCommit(Table &table, const std::string &body)
    {
        if (!writeLimiter_.allow(options_.writesPerSecond)) {
            ++counters_["commitsRefused"];
            return makeNotRunReply(Status::too_many_requests, "too many writes");
        }
        boost::system::error_code error;
        const json::value message = json::parse(body, error);
        const json::value *operations = message.is_object() ? message.get_object().if_contains("operations") : nullptr;
        if (error || operations == nullptr || !operations->is_array()) {
            return makeProblemReply(Status::bad_request, "the commit needs an array \"operations\"");
        }
        try {
            return commit(table, operations->get_array());
        } catch (const std::exception &invalid) {
            return makeProblemReply(Status::bad_request, invalid.what());
        }
    }

    /// Applies all operations or none: checks every condition before the first change. Throws if an
    /// operation is malformed.
    PlatformReply commit(Table &table, const json::array &operations)
    {
        struct RowChange
        {
            bool isDelete = false;
            std::string key;
            std::string value;
        };
        std::vector<RowChange> changes;
        json::array conflicts;
        for (std::size_t index = 0; index < operations.size(); ++index) {
            const json::object &operation = operations[index].as_object();
            const std::string kind(operation.at("kind").as_string());
            const std::string key(operation.at("key").as_string());
            const bool isDelete = kind == "delete-if-version";
            const json::value *version = operation.if_contains("version");
            const bool isSupported = kind == "put" || kind == "insert-if-absent" || kind == "put-if-version" || isDelete;
            if (!isSupported || std::any_of(changes.begin(), changes.end(), [&key](const RowChange &change) { return change.key == key; })) {
                return makeProblemReply(Status::bad_request, "an operation is of an unknown kind or names a key twice");
            }
            if (!isConditionMet(kind, table, key, version == nullptr ? 0 : version->to_number<std::uint64_t>())) {
                const auto found = table.find(key);
                conflicts.push_back(json::object {{"index", index}, {"row", found == table.end() ? json::value() : renderRow(key, found->second)}});
            }
            changes.push_back({.isDelete = isDelete, .key = key, .value = isDelete ? std::string() : std::string(operation.at("value").as_string())});
        }
        if (!conflicts.empty()) {
            ++counters_["conflicts"];
            return makeReply(Status::conflict, json::object {{"conflicts", std::move(conflicts)}});
        }
        ++lastVersion_;
        for (RowChange &change : changes) {
            if (change.isDelete) {
                table.erase(change.key);
            } else {
                table[change.key] = {.version = lastVersion_, .value = std::move(change.value)};
            }
        }
        ++counters_["commits"];
        counters_["rowsWritten"] += changes.size();
        PlatformReply result = makeReply(Status::ok, json::object {{"version", lastVersion_}});
        if (responsesToLose_ > 0) {
            --responsesToLose_;
            ++counters_["answersLost"];
            result.closesConnection = true;
            outage_ = outageAfterLostResponse_ == 0 ? outage_ : "drop";
        }
        return result;
    }

    PlatformReply handleObject(const http::Request &request, const std::string &name)
    {
        if (request.method() == Verb::put) {
            if (!writeLimiter_.allow(options_.writesPerSecond)) {
                return makeNotRunReply(Status::too_many_requests, "too many writes");
            }
            ++counters_["objectsWritten"];
            objects_[name] = request.body();
            return makeReply(Status::ok, json::object {});
        }
        if (!readLimiter_.allow(options_.readsPerSecond)) {
            return makeNotRunReply(Status::too_many_requests, "too many reads");
        }
        ++counters_["objectsRead"];
        const auto found = objects_.find(name);
        if (found == objects_.end()) {
            return makeProblemReply(Status::not_found, "no such object");
        }
        Response response(Status::ok, 11);
        response.set(http::Field::content_type, "application/octet-stream");
        response.body() = found->second;
        return {.response = std::move(response)};
    }

    PlatformReply handleWeights(const std::string &name)
    {
        if (!weightLimiter_.allow(options_.weightsPerSecond)) {
            ++counters_["weightsRefused"];
            return makeNotRunReply(Status::too_many_requests, "too many weight reads");
        }
        ++counters_["weightsRead"];
        Response response(Status::ok, 11);
        response.set(http::Field::content_type, "application/octet-stream");
        response.body() = "weights of " + name;
        return {.response = std::move(response)};
    }

    PlatformReply handleInstances()
    {
        while (!instanceChanges_.empty() && instanceChanges_.front().visibleFrom <= Clock::now()) {
            instances_ = std::move(instanceChanges_.front().list);
            instanceChanges_.pop_front();
        }
        ++counters_["instanceReads"];
        return makeReply(Status::ok, json::object {{"instances", instances_}});
    }

    struct InstanceChange
    {
        Clock::time_point visibleFrom;
        json::array list;
    };

    asio::io_context &context_;
    std::shared_ptr<http::Server> server_;
    mutable std::mutex mutex_;
    PlatformOptions options_;
    std::string outage_ = "none";
    unsigned responsesToLose_ = 0;
    unsigned outageAfterLostResponse_ = 0;
    std::uint64_t lastVersion_ = 0;
    std::map<std::string, Table> tables_;
    std::map<std::string, std::string> objects_;
    std::deque<InstanceChange> instanceChanges_;
    json::array instances_;
    RateLimiter writeLimiter_;
    RateLimiter readLimiter_;
    RateLimiter weightLimiter_;
    std::map<std::string, std::uint64_t> counters_;
};

} // namespace

std::shared_ptr<PlatformStandin> PlatformStandin::create(asio::io_context &context, const PlatformOptions &options)
{
    auto platform = std::make_shared<InMemoryPlatform>(context, options);
    platform->listen();
    return platform;
}

} // namespace mulberrywall::standin
