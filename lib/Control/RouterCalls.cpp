#include "mulberrywall/Control/RouterCalls.h"

#include "mulberrywall/Support/WorkerPool.h"

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include <future>
#include <memory>

namespace mulberrywall::control
{

namespace asio = boost::asio;
using http::WholeResponse;

bool RouterReport::isAnswered() const
{
    return !response.result.error && response.result.stage == http::CallStage::ResponseComplete;
}

bool RouterReport::isAccepted() const
{
    return isAnswered() && (response.status == http::Status::ok || response.status == http::Status::accepted);
}

std::vector<RouterReport> callAll(support::WorkerPool &pool, const RouterOptions &options, const http::Request &request)
{
    std::vector<std::shared_ptr<std::promise<WholeResponse>>> promises;
    for (const asio::ip::tcp::endpoint &router : options.routers) {
        auto promise = std::make_shared<std::promise<WholeResponse>>();
        promises.push_back(promise);
        http::Request call = request;
        call.set(http::Field::host, router.address().to_string());
        if (!options.operatorKey.empty()) {
            call.set(http::Field::authorization, "Bearer " + options.operatorKey);
        }
        const http::ClientCallOptions callOptions = http::makeCallOptions(router, options.timeout);
        const asio::any_io_executor strand = asio::make_strand(pool.context());
        asio::post(strand, [strand, callOptions, call = std::move(call), promise]() mutable {
            http::fetch(strand, callOptions, std::move(call), [promise](WholeResponse response) { promise->set_value(std::move(response)); });
        });
    }
    std::vector<RouterReport> reports;
    for (std::size_t index = 0; index < promises.size(); ++index) {
        reports.push_back({.router = options.routers[index], .response = promises[index]->get_future().get()});
    }
    return reports;
}

std::string describe(const RouterReport &report)
{
    if (!report.isAnswered()) {
        return "unreachable: " + report.response.result.error.message();
    }
    return "status " + std::to_string(static_cast<unsigned>(report.response.status));
}

} // namespace mulberrywall::control
