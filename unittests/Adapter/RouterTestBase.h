#pragma once

#include "ScriptedEndpoint.h"

#include <boost/asio/read.hpp>
#include <boost/beast/http/write.hpp>

#include <gtest/gtest.h>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace mulberrywall::platform
{

/// A router on the platform with one pool "p" of plain services, whose routes and endpoints the test adds before the start.
class RouterTestBase : public testing::Test
{
protected:
    /// Ends the workers before the endpoints of the test, which they call, are destroyed.
    void TearDown() override
    {
        workers_.stop();
        workers_.join();
    }

    configuration::Endpoint &addEndpoint(const std::string &id, std::uint16_t port)
    {
        return site_.endpoints.emplace_back(configuration::Endpoint {
            .id = support::EndpointId(id), .address = "127.0.0.1", .port = port, .pools = {support::PoolId("p")}, .maximumConcurrency = 8});
    }

    /// Adds routes for calls and streams that must not be repeated, for calls that may be repeated and for streams that may be resumed.
    void addRoutes()
    {
        addRoute(site_, "/call/", configuration::Idempotency::NonIdempotent);
        addRoute(site_, "/safe/", configuration::Idempotency::Idempotent);
        addRoute(site_, "/stream/", configuration::Idempotency::NonIdempotent).streams = true;
        configuration::Route &resumable = addRoute(site_, "/resumable/", configuration::Idempotency::Idempotent);
        resumable.streams = true;
        resumable.resumable = true;
    }

    /// Starts a router, also in place of an earlier one. Workers may still run handlers of that one, which is kept until they have ended.
    void startRouter()
    {
        if (service_) {
            replaced_.push_back(std::move(service_));
        }
        site_.pools.push_back({.id = support::PoolId("p"), .kind = configuration::PoolKind::PlainService});
        site_.callerKeys = configuration::CallerKeys::NotUsed;
        site_.revision = 1;
        service_ = std::make_unique<router::RouterService>(workers_.context(), makeRouterOptions("router"), policy::standardPolicy());
        service_->configure(site_);
        service_->start();
    }

    /// Sends a request and returns all bytes of the connection up to its end: an HTTP client shows none that follow an error.
    std::string sendAndReadBytes(const std::string &target, const std::string &id = "r1", std::string body = {})
    {
        http::Request request = makeCallerRequest(target, id);
        request.keep_alive(false);
        request.body() = std::move(body);
        request.prepare_payload();
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket socket(context);
        socket.connect(service_->callerEndpoint());
        boost::beast::http::write(socket, request);
        std::string bytes;
        boost::system::error_code error;
        boost::asio::read(socket, boost::asio::dynamic_buffer(bytes), error);
        return bytes;
    }

    support::WorkerPool workers_ {2};
    configuration::SiteConfiguration site_;
    std::unique_ptr<router::RouterService> service_;
    std::vector<std::unique_ptr<router::RouterService>> replaced_;
};

} // namespace mulberrywall::platform
