#include "mulberrywall/Router/EndpointWatcher.h"

#include "mulberrywall/Http/ClientCall.h"
#include "mulberrywall/Support/Address.h"

#include <boost/asio/post.hpp>
#include <boost/json/parse.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace mulberrywall::router
{

namespace json = boost::json;

/// The state page contains the incarnation and whether the engine is leaving. A change must be detected
/// within 3 s, so the page is polled less often than the load.
static constexpr std::uint64_t pollsPerStateRequest = 2;

EndpointWatcher::EndpointWatcher(boost::asio::io_context &context,
    EndpointWatcherOptions options,
    const ActiveConfiguration &configuration,
    permits::PoolTable &pools,
    EndpointDirectory &directory)
    : strand_(boost::asio::make_strand(context)),
      options_(std::move(options)),
      configuration_(configuration),
      pools_(pools),
      directory_(directory),
      timer_(strand_)
{
}

void EndpointWatcher::start()
{
    boost::asio::post(strand_, [self = shared_from_this()] { self->poll(); });
}

void EndpointWatcher::stop()
{
    boost::asio::post(strand_, [self = shared_from_this()] {
        self->stopped_ = true;
        self->timer_.cancel();
    });
}

static bool isOwnedEngine(const configuration::SiteConfiguration &configuration, const configuration::Endpoint &endpoint, const EndpointWatcherOptions &options)
{
    return std::any_of(endpoint.pools.begin(), endpoint.pools.end(), [&](const support::PoolId &id) {
        const configuration::Pool *pool = configuration::findPool(configuration, id);
        return pool != nullptr && pool->kind == configuration::PoolKind::ModelEngine && options.ownsPool(id);
    });
}

void EndpointWatcher::poll()
{
    if (stopped_) {
        return;
    }
    if (const ConfigurationSnapshot configuration = configuration_.current()) {
        for (const configuration::Endpoint &endpoint : configuration->endpoints) {
            if (!isOwnedEngine(*configuration, endpoint, options_)) {
                continue;
            }
            requestLoad(endpoint);
            if (pollCount_ % pollsPerStateRequest == 0) {
                requestState(endpoint);
            }
        }
    }
    ++pollCount_;
    timer_.expires_after(options_.interval);
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error) {
            self->poll();
        }
    });
}

static void fetchJson(const boost::asio::any_io_executor &executor,
    const configuration::Endpoint &endpoint,
    std::string_view target,
    std::chrono::milliseconds timeout,
    std::function<void(std::optional<json::object>)> handler)
{
    const auto address = support::toEndpoint(endpoint.address, endpoint.port);
    if (!address) {
        handler(std::nullopt);
        return;
    }
    http::Request request(http::Verb::get, target, 11);
    request.set(http::Field::host, endpoint.address);
    http::fetch(
        executor, http::makeStatusCallOptions(*address, timeout), std::move(request), [handler = std::move(handler)](const http::BufferedResponse &response) {
            boost::system::error_code parseError;
            const json::value body = json::parse(response.body, parseError);
            const bool usable = !response.result.error && response.status == http::Status::ok && !parseError && body.is_object();
            handler(usable ? std::optional(body.get_object()) : std::nullopt);
        });
}

static std::int64_t nonNegativeNumber(const json::object &report, std::string_view member)
{
    const json::value *value = report.if_contains(member);
    boost::system::error_code error;
    const std::int64_t number = value != nullptr && value->is_number() ? value->to_number<std::int64_t>(error) : 0;
    return error ? 0 : std::max<std::int64_t>(number, 0);
}

static bool isTrue(const json::object &report, std::string_view member)
{
    const json::value *value = report.if_contains(member);
    return value != nullptr && value->is_bool() && value->get_bool();
}

void EndpointWatcher::requestLoad(const configuration::Endpoint &endpoint)
{
    if (!pendingEndpoints_.insert(endpoint.id).second) {
        return;
    }
    fetchJson(strand_, endpoint, "/v1/load", options_.timeout, [self = shared_from_this(), endpoint](const std::optional<json::object> &report) {
        self->pendingEndpoints_.erase(endpoint.id);
        if (!report || self->stopped_) {
            return;
        }
        if (isTrue(*report, "leaving")) {
            self->directory_.markLeaving(endpoint.id, LeavingOrigin::Endpoint);
        }
        const policy::LoadReport loadReport {.endpoint = endpoint.id,
            .running = static_cast<unsigned>(nonNegativeNumber(*report, "running")),
            .waiting = static_cast<unsigned>(nonNegativeNumber(*report, "waiting")),
            .measuredAt = std::chrono::steady_clock::now() - std::chrono::milliseconds(nonNegativeNumber(*report, "measuredMsAgo"))};
        for (const support::PoolId &id : endpoint.pools) {
            const auto pool = self->options_.ownsPool(id) ? self->pools_.find(id) : nullptr;
            if (pool) {
                pool->recordLoadReport(loadReport);
            }
        }
    });
}

void EndpointWatcher::requestState(const configuration::Endpoint &endpoint)
{
    fetchJson(strand_, endpoint, "/v1/state", options_.timeout, [self = shared_from_this(), id = endpoint.id](const std::optional<json::object> &state) {
        if (!state || self->stopped_) {
            return;
        }
        const json::value *incarnation = state->if_contains("incarnation");
        const bool hasIncarnation = incarnation != nullptr && incarnation->is_string();
        self->directory_.recordReport(id, hasIncarnation ? std::string_view(incarnation->get_string()) : std::string_view(), isTrue(*state, "leaving"));
    });
}

} // namespace mulberrywall::router
