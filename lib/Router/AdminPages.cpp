#include "mulberrywall/Router/AdminPages.h"

#include "mulberrywall/Http/Server.h"
#include "mulberrywall/Support/BuildInfo.h"
#include "mulberrywall/Support/Log.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace mulberrywall::router
{

namespace json = boost::json;

/// Share of the configuration's lifetime after which a router without a new confirmation reports that
/// it is not ready.
static constexpr double readyLeaseShare = 0.6;

bool isReady(const RouterState &state)
{
    if (state.configuration.current() == nullptr || state.draining) {
        return false;
    }
    if (!state.options.configurationLifetime) {
        return true;
    }
    // Load balancers must send callers to other routers before this one has to reject them.
    const auto age = state.lease.age(support::BootClock::now());
    return age && *age <= readyLeaseShare * *state.options.configurationLifetime;
}

static http::Response drainEndpoint(const AdminContext &admin, const http::Request &request)
{
    if (request.method() != http::Verb::post) {
        return http::makeProblemResponse({.status = http::Status::method_not_allowed, .title = "method not allowed", .detail = "use POST for /v1/drain"});
    }
    json::error_code error;
    const json::value body = json::parse(request.body(), error);
    const json::value *name = !error && body.is_object() ? body.get_object().if_contains("endpoint") : nullptr;
    if (name == nullptr || !name->is_string()) {
        return http::makeProblemResponse(
            {.status = http::Status::bad_request, .title = "malformed body", .detail = R"(send a JSON object such as {"endpoint":"engine-1"})"});
    }
    const support::EndpointId endpoint {std::string(name->get_string())};
    const ConfigurationSnapshot configuration = admin.state.configuration.current();
    if (configuration == nullptr || configuration::findEndpoint(*configuration, endpoint) == nullptr) {
        return http::makeProblemResponse({.status = http::Status::not_found,
            .title = "unknown endpoint",
            .detail = "the configuration has no endpoint '" + endpoint.value() + "'; see /v1/status"});
    }
    admin.state.endpoints.markLeaving(endpoint, LeavingOrigin::Operator);
    return http::makeJsonResponse(http::Status::ok, json::serialize(json::object {{"endpoint", endpoint.value()}, {"leaving", true}}));
}

/// Returns the counters since the start of the process. Peer bytes cover only the connections that are
/// open.
static json::object renderControlTraffic(PermitPeerGroup &peers)
{
    const membership::MembershipCounters membership = peers.membershipCounters();
    const permits::PeerRpcCounters peer = peers.peerCounters();
    return {{"membershipDatagramsSent", membership.datagramsSent},
        {"membershipBytesSent", membership.bytesSent},
        {"membershipBytesReceived", membership.bytesReceived},
        {"membershipDatagramsMalformed", membership.malformed},
        {"membershipDatagramsUnauthenticated", membership.unauthenticated},
        {"peerBytesSent", peer.clientBytesSent},
        {"peerBytesReceived", peer.clientBytesReceived},
        {"peerPermitsHeld", peer.permitsHeldByPeers},
        {"peerLoginsRefused", peer.loginsRejected}};
}

static json::object renderServiceLevels(const ServiceLevelWindows &serviceLevels)
{
    json::object classes;
    for (const auto &[id, windows] : serviceLevels.summarize(std::chrono::steady_clock::now())) {
        json::array list;
        for (const WindowCounts &window : windows) {
            list.push_back({{"seconds", window.window.count()},
                {"requests", window.counts.requests},
                {"withinTargets", window.counts.withinTargets},
                {"goodputTokens", window.counts.goodputTokens},
                {"wastedTokens", window.counts.wastedTokens}});
        }
        classes[id.value()] = std::move(list);
    }
    return classes;
}

static std::string renderStatus(const AdminContext &admin)
{
    const ConfigurationSnapshot configuration = admin.state.configuration.current();
    json::object status;
    status["instance"] = admin.instance.value();
    status["dataCentre"] = admin.dataCentre.value();
    status["ready"] = isReady(admin.state);
    status["activeRequests"] = admin.state.activeRequests.load();
    if (admin.peers != nullptr) {
        json::array members;
        for (const membership::Member &member : admin.peers->liveMembers()) {
            members.push_back({{"instance", member.instance.value()}, {"dataCentre", member.dataCentre.value()}});
        }
        status["members"] = std::move(members);
        status["control"] = renderControlTraffic(*admin.peers);
    }
    if (configuration != nullptr) {
        status["revision"] = configuration->revision;
    }
    status["serviceLevels"] = renderServiceLevels(admin.state.serviceLevels);
    json::array pools;
    for (const auto &[id, summary] : admin.pools.summarize()) {
        pools.push_back({{"pool", id.value()},
            {"owner", (admin.peers != nullptr ? admin.peers->ownerOf(id) : admin.instance).value()},
            {"waiting", summary.waiting},
            {"running", summary.running},
            {"freeSlots", summary.freeSlots},
            {"endpoints", summary.endpoints}});
    }
    status["pools"] = std::move(pools);
    json::array leaving;
    for (const support::EndpointId &id : admin.state.endpoints.leaving()) {
        leaving.emplace_back(id.value());
    }
    status["leaving"] = std::move(leaving);
    return json::serialize(status);
}

static void collectBuildMetric(support::MetricsRegistry &metrics)
{
    const support::BuildInfo build = support::buildInfo();
    metrics.setGauge("mulberrywall_build_info", 1.0, {{"version", build.version}, {"sources", build.sources}, {"binary", build.binary}});
}

/// Sets the metrics of the pools, which count for themselves.
static void collectPoolMetrics(const AdminContext &admin)
{
    for (const auto &[id, pool] : admin.pools.pools()) {
        const policy::PoolStatistics statistics = pool->statistics();
        admin.state.metrics.setGauge("mulberrywall_endpoint_crashes", static_cast<double>(statistics.endpointCrashes), {{"pool", id.value()}});
        admin.state.metrics.setGauge("mulberrywall_quarantined_segments", static_cast<double>(statistics.quarantinedSegments), {{"pool", id.value()}});
    }
}

/// Sets the metrics of the server for callers and of the account of memory.
static void collectCallerMetrics(const AdminContext &admin)
{
    support::MetricsRegistry &metrics = admin.state.metrics;
    const support::MemoryBudget &memory = *admin.state.responseMemory;
    metrics.setGauge("mulberrywall_held_bytes", static_cast<double>(memory.heldBytes()));
    metrics.setGauge("mulberrywall_held_bytes_limit", static_cast<double>(memory.limitBytes()));
    metrics.setGauge("mulberrywall_memory_reclaims", static_cast<double>(memory.reclaims()));
    metrics.setGauge("mulberrywall_caller_connections", static_cast<double>(admin.callerServer.connectionCount()));
    for (std::size_t index = 0; index < http::rejectionCauses; ++index) {
        const auto cause = static_cast<http::RejectionCause>(index);
        metrics.setGauge(
            "mulberrywall_caller_rejections", static_cast<double>(admin.callerServer.rejections(cause)), {{"reason", std::string(http::toString(cause))}});
    }
}

http::Response answerAdminRequest(const AdminContext &admin, const http::Request &request)
{
    const std::string_view path = http::pathOf({request.target().data(), request.target().size()});
    if (path == "/healthz") {
        return http::makeJsonResponse(http::Status::ok, R"({"status":"alive"})");
    }
    if (path == "/readyz") {
        const bool ready = isReady(admin.state);
        return http::makeJsonResponse(
            ready ? http::Status::ok : http::Status::service_unavailable, ready ? R"({"status":"ready"})" : R"({"status":"not ready"})");
    }
    if (!admin.operatorKey.empty() && http::fieldValue(request, "Authorization") != "Bearer " + admin.operatorKey) {
        return http::makeProblemResponse(
            {.status = http::Status::unauthorized, .title = "operator key required", .detail = "send the operator key as 'Authorization: Bearer <key>'"});
    }
    if (path == "/metrics") {
        collectBuildMetric(admin.state.metrics);
        admin.state.metrics.setGauge("mulberrywall_log_lines_dropped", static_cast<double>(support::droppedLogLines()));
        collectPoolMetrics(admin);
        collectCallerMetrics(admin);
        http::Response response = http::makeJsonResponse(http::Status::ok, admin.state.metrics.renderPrometheus());
        response.set(http::Field::content_type, "text/plain; version=0.0.4");
        return response;
    }
    if (path == "/v1/status") {
        return http::makeJsonResponse(http::Status::ok, renderStatus(admin));
    }
    if (path == "/v1/drain") {
        return drainEndpoint(admin, request);
    }
    return http::makeProblemResponse(
        {.status = http::Status::not_found, .title = "unknown path", .detail = "use /healthz, /readyz, /metrics, /v1/status or /v1/drain"});
}

} // namespace mulberrywall::router
