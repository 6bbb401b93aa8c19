#include "Driver.h"

#include "mulberrywall/Http/ClientCall.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <memory>

namespace mulberrywall::load
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

http::Request makeRequest(const Traffic &traffic, const Arrival &arrival)
{
    const std::string target = traffic.service.empty() ? "/v1/completions" : "/services/" + traffic.service + "/" + traffic.requestClass;
    http::Request request(http::Verb::post, target, 11);
    request.set(http::Field::host, "127.0.0.1");
    request.set(http::Field::authorization, "Bearer " + arrival.key);
    request.set(http::header::requestClass, traffic.requestClass);
    if (!traffic.service.empty()) {
        if (traffic.idempotencyKeys == IdempotencyKeyMode::OnePerCall) {
            request.set(http::header::idempotencyKey, arrival.prompt);
        }
        request.body() = arrival.prompt;
        return request;
    }
    request.body()
        = json::serialize(json::object {{"model", traffic.model}, {"prompt", arrival.prompt}, {"max_tokens", arrival.outputTokens}, {"stream", true}});
    return request;
}

/// Returns title and detail of a problem document. The detail ends at the first semicolon.
std::string describeProblem(const std::string &body)
{
    json::error_code error;
    const json::value document = json::parse(body, error);
    if (error || !document.is_object() || !document.get_object().contains("title")) {
        return "response without a problem document";
    }
    const json::object &problem = document.get_object();
    const std::string detail(problem.contains("detail") ? problem.at("detail").as_string() : json::string());
    return std::string(problem.at("title").as_string()) + ": " + detail.substr(0, detail.find(';'));
}

/// One request in flight. All members run on the driver's only thread.
class PendingRequest : public std::enable_shared_from_this<PendingRequest>
{
public:
    PendingRequest(const Arrival &arrival, Clock::time_point due, Outcome &outcome)
        : arrival_(arrival),
          due_(due),
          outcome_(outcome)
    {
    }

    void start(asio::io_context &context, const Scenario &scenario, std::uint16_t port)
    {
        outcome_.sendDelay = Clock::now() - due_;
        timeout_ = std::make_unique<asio::steady_timer>(context, due_ + scenario.timeout);
        timeout_->async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
            const auto self = weak.lock();
            if (!error && self) {
                self->abandon();
            }
        });
        isStreamed_ = scenario.traffic[arrival_.traffic].service.empty();
        const http::ClientCallOptions options {
            .peer = {asio::ip::address_v4::loopback(), port}, .headerTimeout = scenario.timeout, .idleTimeout = scenario.timeout};
        const auto self = shared_from_this();
        call_ = http::ClientCall::start(context.get_executor(),
            options,
            makeRequest(scenario.traffic[arrival_.traffic], arrival_),
            {.onHeader =
                    [self](const http::ResponseHeader &header) {
                        self->status_ = header.result();
                        self->outcomeHeader_ = http::fieldValue(header, http::header::outcome);
                        self->call_->readMore();
                    },
                .onBody =
                    [self](std::string_view data) {
                        self->receiveData(data);
                        self->call_->readMore();
                    },
                .onEnd =
                    [self](const http::ClientCallResult &result) {
                        self->end(result);
                    }});
    }

private:
    void receiveData(std::string_view data)
    {
        buffer_ += data;
        if (status_ != http::Status::ok || !isStreamed_) {
            return;
        }
        const Clock::time_point now = Clock::now();
        for (std::size_t end = buffer_.find("\n\n"); end != std::string::npos; end = buffer_.find("\n\n")) {
            const std::string event = buffer_.substr(0, end);
            buffer_.erase(0, end + 2);
            if (event.starts_with("event: error")) {
                problem_ = event.substr(event.find("data: ") + 6);
            } else if (event == "data: [DONE]") {
                endReceived_ = true;
            } else {
                recordToken(now);
            }
        }
    }

    void recordToken(Clock::time_point now)
    {
        if (outcome_.tokens++ == 0) {
            outcome_.firstToken = now - due_;
        } else {
            outcome_.tokenGaps.emplace_back(now - lastToken_);
        }
        lastToken_ = now;
    }

    void end(const http::ClientCallResult &result)
    {
        finish();
        const bool isWhole = result.stage == http::ClientCallStage::ResponseComplete;
        const bool isComplete = isStreamed_ ? endReceived_ && outcome_.tokens == arrival_.outputTokens : isWhole && status_ == http::Status::ok;
        if (isComplete) {
            outcome_.kind = OutcomeKind::Completed;
            return;
        }
        outcome_.kind = isWhole && outcomeHeader_ == "not-run" ? OutcomeKind::Rejected : OutcomeKind::Failed;
        if (!isWhole) {
            outcome_.reason = result.error.message();
        } else if (endReceived_) {
            outcome_.reason = "wrong number of tokens";
        } else {
            outcome_.reason = describeProblem(problem_.empty() ? buffer_ : problem_);
        }
    }

    void abandon()
    {
        outcome_.reason = "caller gave up";
        call_->cancel();
        finish();
    }

    void finish()
    {
        outcome_.duration = Clock::now() - due_;
        timeout_->cancel();
        call_.reset();
    }

    const Arrival &arrival_;
    Clock::time_point due_;
    Outcome &outcome_;
    std::unique_ptr<asio::steady_timer> timeout_;
    std::shared_ptr<http::ClientCall> call_;
    http::Status status_ = http::Status::unknown;
    std::string outcomeHeader_;
    std::string buffer_;
    std::string problem_;
    bool isStreamed_ = true;
    bool endReceived_ = false;
    Clock::time_point lastToken_;
};

/// Returns the port of the next live router in round-robin order, or that of the router whose turn it is if none is live.
std::uint16_t portFor(const RouterTargets &routers, std::size_t requestIndex)
{
    for (std::size_t step = 0; step < routers.ports.size(); ++step) {
        const std::size_t index = (requestIndex + step) % routers.ports.size();
        if (routers.live[index]) {
            return routers.ports[index];
        }
    }
    return routers.ports[requestIndex % routers.ports.size()];
}

} // namespace

std::vector<Outcome> drive(const Scenario &scenario, const std::vector<Arrival> &arrivals, const RouterTargets &routers, Clock::time_point start)
{
    asio::io_context context(1);
    std::vector<Outcome> outcomes(arrivals.size());
    std::vector<asio::steady_timer> timers;
    timers.reserve(arrivals.size());
    for (std::size_t index = 0; index < arrivals.size(); ++index) {
        const Clock::time_point due = start + std::chrono::duration_cast<Clock::duration>(arrivals[index].time);
        timers.emplace_back(context, due).async_wait([&, index, due](const boost::system::error_code &) {
            std::make_shared<PendingRequest>(arrivals[index], due, outcomes[index])->start(context, scenario, portFor(routers, index));
        });
    }
    context.run();
    return outcomes;
}

} // namespace mulberrywall::load
