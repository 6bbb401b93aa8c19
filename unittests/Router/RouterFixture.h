#pragma once

#include "mulberrywall/Http/ClientCall.h"
#include "mulberrywall/Router/RouterService.h"
#include "mulberrywall/Router/ServerSentEvents.h"
#include "mulberrywall/Support/WorkerPool.h"

#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace mulberrywall::router
{

inline constexpr std::string_view testKey = "test-key";

/// How a scripted endpoint behaves after the last of its tokens.
enum class StreamEnd : std::uint8_t {
    Done,
    /// Ends the HTTP response without the end event.
    CleanWithoutDone,
    Break,
    /// Leaves the connection open and silent.
    Hang,
    /// Sends a byte of an event that never ends every 20 ms.
    Trickle,
    /// Sends a comment every 20 ms.
    Comments,
    /// Sends an incomplete event and then closes the connection.
    BreakInsideEvent,
};

/// An endpoint of the router under test. The script responds to every request except those with GET or
/// DELETE.
class ScriptedEndpoint
{
public:
    using Script = std::function<void(const http::ServerExchangePtr &)>;

    ScriptedEndpoint(boost::asio::io_context &context, Script script);

    [[nodiscard]] std::uint16_t port() const
    {
        return server_->localEndpoint().port();
    }
    [[nodiscard]] std::size_t requests() const
    {
        return requests_;
    }
    /// Returns the number of received DELETE /v1/requests/<id>.
    [[nodiscard]] std::size_t cancellations() const
    {
        return cancellations_;
    }
    /// Returns a header field of the last request that was passed to the script.
    [[nodiscard]] std::string lastRequestField(std::string_view name) const;
    /// Sets the status of the answers to queries of the load and the state, which is 404 otherwise.
    void answerQueriesWith(http::Status status)
    {
        queryStatus_ = status;
    }
    /// Keeps the connection open until the endpoint is destroyed.
    void hold(const http::ServerExchangePtr &exchange);

private:
    void handle(const http::ServerExchangePtr &exchange);

    Script script_;
    mutable std::mutex mutex_;
    http::Request last_;
    std::vector<http::ServerExchangePtr> held_;
    std::atomic<http::Status> queryStatus_ {http::Status::not_found};
    std::atomic<std::size_t> requests_ {0};
    std::atomic<std::size_t> cancellations_ {0};
    std::shared_ptr<http::Server> server_;
};

/// Streams the tokens "t<n> " from X-Resume-From, or from 0 without that field, up to but not including
/// `last`.
void streamTokens(const http::ServerExchangePtr &exchange, std::uint64_t last, StreamEnd streamEnd, const std::string &idPrefix = {});

/// Sends a complete JSON response with the given status and body; `notRun` adds the field that states
/// that nothing has run.
void respondWith(const http::ServerExchangePtr &exchange, http::Status status, const std::string &body, bool notRun = false);

/// Returns the text that streamTokens sends for a complete response, without framing.
std::string tokenText(std::uint64_t last);

enum class StartConfiguration : std::uint8_t {
    Local,
    None,
};

/// A router in this process with scripted endpoints for the pools "m" and "ledger".
class RouterTest : public testing::Test
{
protected:
    struct CallerResponse
    {
        http::BufferedResponse response;
        /// Data of each event; `text` contains the concatenated tokens and `outcome` the name of the
        /// verdict.
        std::vector<std::string> events;
        std::string text;
        std::string outcome;
    };

    ~RouterTest() override;

    ScriptedEndpoint &addEngine(ScriptedEndpoint::Script script);
    ScriptedEndpoint &addService(ScriptedEndpoint::Script script);
    void startRouter(RouterOptions options = {}, StartConfiguration start = StartConfiguration::Local);
    configuration::RequestClass &requestClass(std::string_view id);
    CallerResponse send(http::Request request);
    CallerResponse stream(std::string_view className = "interactive");
    CallerResponse call(std::string_view className, std::string_view body, const std::map<std::string, std::string> &fields = {});
    http::Request makeRequest(std::string_view target, std::string_view className, std::string body) const;
    std::string getAdmin(const std::string &target);
    http::Status drain(const std::string &body, const std::string &authorization, http::Verb method = http::Verb::post);
    /// Polls until the condition is true; fails the test after 10 s.
    static void waitUntil(const std::string &what, const std::function<bool()> &condition);

    support::WorkerPool workers_ {2};
    configuration::SiteConfiguration configuration_ = makeConfiguration();
    RouterServiceOptions serviceOptions_;
    std::vector<std::unique_ptr<ScriptedEndpoint>> endpoints_;
    std::unique_ptr<RouterService> service_;

private:
    static configuration::SiteConfiguration makeConfiguration();
    ScriptedEndpoint &addEndpoint(const std::string &pool, ScriptedEndpoint::Script script);
};

} // namespace mulberrywall::router
