#include "mulberrywall/Control/RouterAdminRequests.h"

#include "mulberrywall/Support/WorkerPool.h"

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include <future>
#include <memory>

namespace mulberrywall::control
{

namespace asio = boost::asio;
using http::BufferedResponse;

bool RouterAdminResponse::isAnswered() const
{
    return !response.result.error && response.result.stage == http::ClientCallStage::ResponseComplete;
}

bool RouterAdminResponse::isAccepted() const
{
    return isAnswered() && (response.status == http::Status::ok || response.status == http::Status::accepted);
}

std::vector<RouterAdminResponse> requestAllRouters(support::WorkerPool &pool, const RouterAdminOptions &options, const http::Request &request)
{
    std::vector<std::shared_ptr<std::promise<BufferedResponse>>> promises;
    for (const asio::ip::tcp::endpoint &router : options.routers) {
        auto promise = std::make_shared<std::promise<BufferedResponse>>();
        promises.push_back(promise);
        http::Request call = request;
        call.set(http::Field::host, router.address().to_string());
        if (!options.operatorKey.empty()) {
            call.set(http::Field::authorization, "Bearer " + options.operatorKey);
        }
        http::ClientCallOptions callOptions = http::makeStatusCallOptions(router, options.timeout);
        // A page of a large site lists all of its requests and endpoints.
        callOptions.maxResponseBytes = http::defaultMaxResponseBytes;
        const asio::any_io_executor strand = asio::make_strand(pool.context());
        asio::post(strand, [strand, callOptions, call = std::move(call), promise]() mutable {
            http::fetch(strand, callOptions, std::move(call), [promise](BufferedResponse response) { promise->set_value(std::move(response)); });
        });
    }
    std::vector<RouterAdminResponse> answers;
    for (std::size_t index = 0; index < promises.size(); ++index) {
        answers.push_back({.router = options.routers[index], .response = promises[index]->get_future().get()});
    }
    return answers;
}

std::string describe(const RouterAdminResponse &answer)
{
    if (!answer.isAnswered()) {
        return "unreachable: " + answer.response.result.error.message();
    }
    return "status " + std::to_string(static_cast<unsigned>(answer.response.status));
}

} // namespace mulberrywall::control
