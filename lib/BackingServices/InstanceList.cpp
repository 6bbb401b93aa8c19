#include "mulberrywall/BackingServices/InstanceList.h"

#include "ServiceRequest.h"

#include "mulberrywall/Support/Log.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <optional>

namespace mulberrywall::backingservices
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

/// Parses an instance list. Throws if the document is not an instance list.
std::vector<ListedInstance> parseInstances(const std::string &text)
{
    std::vector<ListedInstance> instances;
    const json::value document = json::parse(text);
    for (const json::value &element : document.as_object().at("instances").as_array()) {
        const json::object &object = element.as_object();
        const json::value *port = object.if_contains("port");
        const json::value *dataCentre = object.if_contains("dataCentre");
        instances.push_back({
            .id = support::InstanceId(std::string(object.at("id").as_string())),
            .dataCentre = support::DataCentreId(dataCentre == nullptr ? std::string() : std::string(dataCentre->as_string())),
            .address = std::string(object.at("address").as_string()),
            .port = port == nullptr ? std::uint16_t {0} : port->to_number<std::uint16_t>(),
            .state = object.at("state").as_string() == "leaving" ? InstanceState::Leaving : InstanceState::Live,
        });
    }
    return instances;
}

class InstanceListPoller final : public InstanceList, public std::enable_shared_from_this<InstanceListPoller>
{
public:
    InstanceListPoller(
        const asio::any_io_executor &executor, const InstanceListOptions &options, std::function<void(const std::vector<ListedInstance> &)> handler)
        : executor_(executor),
          strand_(asio::make_strand(executor)),
          options_(options),
          handler_(std::move(handler)),
          timer_(strand_)
    {
    }

    void poll()
    {
        http::Request request(http::Verb::get, "/v1/instances", 11);
        sendRequest(executor_, options_.service, std::move(request), [self = shared_from_this()](http::BufferedResponse response) {
            asio::dispatch(self->strand_, [self, response = std::move(response)] { self->onResponse(response); });
        });
    }

    void stop() override
    {
        asio::post(strand_, [self = shared_from_this()] {
            self->stopped_ = true;
            self->timer_.cancel();
        });
    }

private:
    void onResponse(const http::BufferedResponse &response)
    {
        if (stopped_) {
            return;
        }
        accept(response);
        timer_.expires_after(options_.interval);
        timer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
            if (!error && !self->stopped_) {
                self->poll();
            }
        });
    }

    void accept(const http::BufferedResponse &response)
    {
        if (!isComplete(response) || response.status != http::Status::ok) {
            support::log(support::Severity::Debug, "cannot read the instance list; keeping the last one", {{"reason", describeFailure(response)}});
            return;
        }
        try {
            std::vector<ListedInstance> instances = parseInstances(response.body);
            if (current_ == instances) {
                return;
            }
            current_ = std::move(instances);
        } catch (const std::exception &error) {
            support::log(support::Severity::Warning, "cannot parse the instance list; keeping the last one", {{"reason", error.what()}});
            return;
        }
        handler_(*current_);
    }

    asio::any_io_executor executor_;
    asio::strand<asio::any_io_executor> strand_;
    InstanceListOptions options_;
    std::function<void(const std::vector<ListedInstance> &)> handler_;
    asio::steady_timer timer_;
    std::optional<std::vector<ListedInstance>> current_;
    bool stopped_ = false;
};

} // namespace

std::shared_ptr<InstanceList> InstanceList::start(
    const asio::any_io_executor &executor, const InstanceListOptions &options, std::function<void(const std::vector<ListedInstance> &)> handler)
{
    auto poller = std::make_shared<InstanceListPoller>(executor, options, std::move(handler));
    poller->poll();
    return poller;
}

} // namespace mulberrywall::backingservices
