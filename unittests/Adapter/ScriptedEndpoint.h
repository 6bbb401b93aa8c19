#pragma once

#include "platform/Dialect.h"

#include "mulberrywall/Http/ClientCall.h"
#include "mulberrywall/Http/Server.h"
#include "mulberrywall/Router/RouterService.h"
#include "mulberrywall/Support/WorkerPool.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace mulberrywall::platform
{

/// An endpoint that uses the platform's dialect; the script responds to each request.
class ScriptedEndpoint
{
public:
    using Script = std::function<void(const http::ServerExchangePtr &)>;

    ScriptedEndpoint(support::WorkerPool &workers, Script script)
        : script_(std::move(script)),
          server_(http::Server::create(
              workers.context(), {.listen = {boost::asio::ip::address_v4::loopback(), 0}}, [this](const http::ServerExchangePtr &exchange) {
                  {
                      const std::scoped_lock lock(mutex_);
                      requests_.push_back(exchange->request());
                  }
                  script_(exchange);
              }))
    {
        server_->start();
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return server_->localEndpoint().port();
    }
    [[nodiscard]] std::size_t openConnections() const
    {
        return server_->connectionCount();
    }
    [[nodiscard]] std::vector<http::Request> requests() const
    {
        const std::scoped_lock lock(mutex_);
        return requests_;
    }

private:
    Script script_;
    mutable std::mutex mutex_;
    std::vector<http::Request> requests_;
    std::shared_ptr<http::Server> server_;
};

inline void addConfirmation(http::ResponseHeader &header, const http::Request &request)
{
    header.set("Mulberrywall-Request-Id", http::fieldValue(request, "Mulberrywall-Request-Id"));
    header.set("Mulberrywall-Server-Seal", "seal");
}

inline void answer(const http::ServerExchangePtr &exchange, http::Status status, std::string body)
{
    http::Response response(status, 11);
    addConfirmation(response, exchange->request());
    response.body() = std::move(body);
    exchange->respond(std::move(response));
}

/// Returns the options of a router on the platform that listens on loopback.
inline router::RouterServiceOptions makeRouterOptions(const std::string &instance)
{
    router::RouterServiceOptions options;
    options.instance = support::InstanceId(instance);
    options.callerServer.listen = {boost::asio::ip::address_v4::loopback(), 0};
    options.adminServer.listen = {boost::asio::ip::address_v4::loopback(), 0};
    options.dialect = &dialect();
    options.endpointReports = router::EndpointReports::None;
    options.drainMode = router::DrainMode::Serve;
    options.drainGrace = std::chrono::milliseconds(300);
    options.router.reusesConnections = true;
    options.router.chargeResumesToRetryBudget = true;
    return options;
}

/// Adds a route to the pool "p", and a class of its own for it. The result is valid until the next route is added.
inline configuration::Route &addRoute(configuration::SiteConfiguration &site, const std::string &prefix, configuration::Idempotency idempotency)
{
    site.classes.push_back({.id = support::ClassId(prefix), .idempotency = idempotency, .retryBudgetPercent = 20});
    site.routes.push_back({.host = "h",
        .prefix = prefix,
        .requestClass = support::ClassId(prefix),
        .targets = {{.pool = support::PoolId("p")}},
        .timeout = std::chrono::seconds(5),
        .maximumAttempts = 2});
    return site.routes.back();
}

/// Returns a caller's request without an Authorization field.
inline http::Request makeCallerRequest(const std::string &target, const std::string &id)
{
    http::Request request(http::Verb::post, target, 11);
    request.set("Host", "h");
    request.set("Mulberrywall-Request-Id", id);
    request.set("Mulberrywall-Deadline-Ms", "4000");
    return request;
}

/// Sends a caller's request to the router and waits for the response.
inline http::BufferedResponse sendRequest(support::WorkerPool &workers, const router::RouterService &service, http::Request request)
{
    std::promise<http::BufferedResponse> promise;
    const auto call = http::fetch(
        boost::asio::make_strand(workers.context()), {.peer = service.callerEndpoint()}, std::move(request), [&promise](http::BufferedResponse response) {
            promise.set_value(std::move(response));
        });
    return promise.get_future().get();
}

/// Sends a caller's request to the router and waits for the response. Without a key the request has no Authorization field.
inline http::BufferedResponse sendRequest(
    support::WorkerPool &workers, const router::RouterService &service, const std::string &target, const std::string &id, const std::string &key = {})
{
    http::Request request = makeCallerRequest(target, id);
    if (!key.empty()) {
        request.set("Authorization", "Bearer " + key);
    }
    return sendRequest(workers, service, std::move(request));
}

} // namespace mulberrywall::platform
