#include "mulberrywall/Orders/Controller.h"

#include "mulberrywall/Configuration/RevisionStore.h"
#include "mulberrywall/Http/ClientCall.h"
#include "mulberrywall/Support/Address.h"
#include "mulberrywall/Support/Log.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <algorithm>
#include <utility>

namespace mulberrywall::orders
{

namespace asio = boost::asio;
namespace json = boost::json;
using backingservices::CommitResult;
using backingservices::ReadResult;
using backingservices::ReadStatus;
using boost::system::error_code;
using configuration::RevisionHeadResult;
using configuration::RevisionResult;
using duties::readLeaseClocks;
using http::BufferedResponse;
using support::log;
using support::Severity;

namespace
{

using Clock = std::chrono::steady_clock;

bool isComplete(const BufferedResponse &response)
{
    return !response.result.error && response.result.stage == http::ClientCallStage::ResponseComplete;
}

/// Returns the fencing number in an engine's refusal of an order, or 0 if there is none.
std::uint64_t higherFencingOf(const BufferedResponse &response)
{
    error_code error;
    const json::value document = json::parse(response.body, error);
    const json::value *number = !error && document.is_object() ? document.get_object().if_contains("fencing") : nullptr;
    return number != nullptr && number->is_int64() && number->get_int64() > 0 ? static_cast<std::uint64_t>(number->get_int64()) : 0;
}

class LeaseController final : public Controller, public std::enable_shared_from_this<LeaseController>
{
public:
    LeaseController(asio::io_context &context, const ControllerOptions &options)
        : strand_(asio::make_strand(context)),
          options_(options),
          table_(context.get_executor(), options.platform),
          store_(context.get_executor(), options.platform),
          leaseTimer_(strand_),
          headTimer_(strand_),
          engineTimer_(strand_)
    {
        lease_.key = "orders/" + options.dataCentre.value();
        // The random part makes the holder id unique for each run of the process, so that a restarted process does not
        // treat the lease row of its previous run as its own.
        lease_.self = options.instance.value() + "/" + support::makeRandomId();
    }

    void start() override
    {
        asio::post(strand_, [self = shared_from_this()] {
            self->advanceLease();
            self->pollHead();
            self->startEngineRound();
        });
    }

    void stop(std::function<void()> handler) override
    {
        asio::post(strand_, [self = shared_from_this(), handler = std::move(handler)] {
            self->stopped_ = true;
            self->leaseTimer_.cancel();
            self->headTimer_.cancel();
            self->engineTimer_.cancel();
            if (!self->lease_.isHeld) {
                handler();
                return;
            }
            const std::vector<backingservices::WriteOperation> operations {releaseOperation(self->lease_)};
            self->table_.commit(leaseTable, operations, [handler](const CommitResult &) { handler(); });
        });
    }

private:
    /// Calls the function on the strand unless the controller has been stopped by then.
    template <typename Function>
    void onStrand(Function function)
    {
        asio::dispatch(strand_, [self = shared_from_this(), function = std::move(function)]() mutable {
            if (!self->stopped_) {
                function();
            }
        });
    }

    template <typename Function>
    void scheduleAt(asio::steady_timer &timer, TimePoint time, Function function)
    {
        timer.expires_at(time);
        timer.async_wait([self = shared_from_this(), function = std::move(function)](const error_code &error) mutable {
            if (!error && !self->stopped_) {
                function();
            }
        });
    }

    void advanceLease()
    {
        LeaseStep step = nextStep(lease_, options_.lease, readLeaseClocks());
        handleLeaseChange();
        switch (step.kind) {
        case LeaseStepKind::Wait:
            scheduleAt(leaseTimer_, step.until, [this] { advanceLease(); });
            return;
        case LeaseStepKind::Read:
            table_.read(leaseTable, lease_.key, [self = shared_from_this()](const ReadResult &result) {
                self->onStrand([self, result] {
                    onRead(self->lease_, self->options_.lease, result, readLeaseClocks());
                    self->advanceLease();
                });
            });
            return;
        case LeaseStepKind::Write: {
            const LeaseTime sentAt = readLeaseClocks();
            table_.commit(leaseTable, {step.operation}, [self = shared_from_this(), row = step.row, sentAt](const CommitResult &result) {
                self->onStrand([self, row, sentAt, result] {
                    onWrite(self->lease_, self->options_.lease, row, result, sentAt, readLeaseClocks());
                    self->advanceLease();
                });
            });
            return;
        }
        }
    }

    void handleLeaseChange()
    {
        if (std::exchange(wasHeld_, lease_.isHeld) == lease_.isHeld) {
            return;
        }
        if (lease_.isHeld) {
            // Other holders may have sent orders in the meantime, so that cached observations are replaced by new reports.
            observed_.clear();
            log(Severity::Info, "lease acquired", {{"dataCentre", options_.dataCentre.value()}, {"fencing", lease_.fencing}});
            return;
        }
        log(Severity::Warning, "lease lost; sending no further orders", {{"dataCentre", options_.dataCentre.value()}, {"fencing", lease_.fencing}});
    }

    void pollHead()
    {
        store_.fetchHead([self = shared_from_this()](const RevisionHeadResult &result) { self->onStrand([self, result] { self->onHead(result); }); });
    }

    void onHead(const RevisionHeadResult &result)
    {
        if (result.status != ReadStatus::Found || result.head.revision <= revision_) {
            scheduleHead();
            return;
        }
        store_.fetchRevision(result.head.revision,
            [self = shared_from_this()](const RevisionResult &revision) { self->onStrand([self, revision] { self->onRevision(revision); }); });
    }

    void onRevision(const RevisionResult &result)
    {
        scheduleHead();
        if (result.status != ReadStatus::Found) {
            log(Severity::Warning, "cannot read the new revision; continuing with the previous one", {{"reason", result.detail}});
            return;
        }
        const configuration::SiteConfiguration *site = configuration::findSite(*result.revision, options_.dataCentre);
        revision_ = result.revision->number;
        desired_ = site == nullptr ? std::vector<DesiredEngine>() : desiredEngines(*site);
        log(Severity::Info, "configuration in force", {{"revision", revision_}, {"engines", desired_.size()}});
        if (site == nullptr) {
            log(Severity::Warning, "the configuration does not contain the data centre; check --data-centre", {{"dataCentre", options_.dataCentre.value()}});
        }
    }

    void scheduleHead()
    {
        scheduleAt(headTimer_, Clock::now() + options_.headInterval, [this] { pollHead(); });
    }

    void scheduleEngineRound()
    {
        scheduleAt(engineTimer_, Clock::now() + options_.engineInterval, [this] { startEngineRound(); });
    }

    /// Requests the state of all engines. Sends orders after the last response.
    void startEngineRound()
    {
        if (!maySendOrder(lease_, options_.lease, readLeaseClocks()) || desired_.empty()) {
            scheduleEngineRound();
            return;
        }
        auto remaining = std::make_shared<std::size_t>(desired_.size());
        for (const DesiredEngine &engine : desired_) {
            callEngine(engine, http::Request(http::Verb::get, "/v1/state", 11), [this, remaining, id = engine.id](const BufferedResponse &response) {
                const bool isReport = isComplete(response) && response.status == http::Status::ok;
                if (isReport && !parseEngineState(observed_[id], response.body, Clock::now())) {
                    log(Severity::Warning, "cannot parse the state that the engine sent", {{"endpoint", id.value()}});
                }
                if (--*remaining == 0) {
                    sendOrders();
                    scheduleEngineRound();
                }
            });
        }
    }

    void sendOrders()
    {
        const TimePoint now = Clock::now();
        for (const support::EndpointId &id : planOrders(desired_, observed_, options_.plan, now)) {
            const auto engine = std::find_if(desired_.begin(), desired_.end(), [&id](const DesiredEngine &candidate) { return candidate.id == id; });
            sendOrder(*engine);
        }
    }

    void sendOrder(const DesiredEngine &engine)
    {
        http::Request request(http::Verb::post, "/v1/orders", 11);
        request.set(http::Field::content_type, "application/json");
        if (engine.support.checksOrders && !options_.orderKey.empty()) {
            request.set(http::Field::authorization, "Bearer " + options_.orderKey);
        }
        const std::uint64_t fencing = lease_.fencing;
        request.body() = renderOrder(engine, fencing, std::chrono::system_clock::now() + options_.lease.orderTimeToLive);
        // Checked last, to keep the time between the check and the write as short as possible.
        if (!maySendOrder(lease_, options_.lease, readLeaseClocks())) {
            return;
        }
        // The order may take effect even without a response, so it is recorded as sent until a response shows otherwise.
        ObservedEngine &observed = observed_[engine.id];
        observed.orderedAt = Clock::now();
        observed.attemptedAt = observed.orderedAt;
        callEngine(engine, std::move(request), [this, id = engine.id, fencing](const BufferedResponse &response) { onOrderResponse(id, fencing, response); });
    }

    void onOrderResponse(const support::EndpointId &id, std::uint64_t fencing, const BufferedResponse &response)
    {
        const bool isAnswered = isComplete(response);
        if (isAnswered && response.status == http::Status::ok) {
            log(Severity::Info, "order accepted", {{"endpoint", id.value()}, {"fencing", fencing}});
            return;
        }
        if (isAnswered && response.status == http::Status::conflict) {
            log(Severity::Warning, "order refused; the engine has seen a higher fencing number", {{"endpoint", id.value()}, {"fencing", fencing}});
            observed_[id].orderedAt.reset();
            observed_[id].attemptedAt.reset();
            onHigherFencing(lease_, higherFencingOf(response), readLeaseClocks());
            confirmLeaseNow();
            return;
        }
        const bool isRefused = isAnswered && boost::beast::http::to_status_class(response.status) == boost::beast::http::status_class::client_error;
        if (isRefused) {
            observed_[id].orderedAt.reset();
        }
        const std::string reason = isAnswered ? "status " + std::to_string(static_cast<unsigned>(response.status)) : response.result.error.message();
        log(Severity::Warning,
            "order failed; retrying while the engine's state differs from the configuration",
            {{"endpoint", id.value()}, {"reason", reason}});
    }

    /// Starts confirming the lease immediately if the lease timer is pending. Otherwise a read or write of the row is in
    /// progress, and the confirmation follows it.
    void confirmLeaseNow()
    {
        if (leaseTimer_.cancel() > 0) {
            advanceLease();
        }
    }

    void callEngine(const DesiredEngine &engine, http::Request request, std::function<void(const BufferedResponse &)> handler)
    {
        request.set(http::Field::host, engine.address);
        const auto address = support::toEndpoint(engine.address, engine.port);
        const http::ClientCallOptions callOptions
            = http::makeStatusCallOptions(address.value_or(asio::ip::tcp::endpoint(asio::ip::address(), engine.port)), options_.engineTimeout);
        http::fetch(strand_, callOptions, std::move(request), [self = shared_from_this(), handler = std::move(handler)](const BufferedResponse &response) {
            if (!self->stopped_) {
                handler(response);
            }
        });
    }

    asio::strand<asio::io_context::executor_type> strand_;
    ControllerOptions options_;
    backingservices::TableClient table_;
    configuration::RevisionStore store_;
    asio::steady_timer leaseTimer_;
    asio::steady_timer headTimer_;
    asio::steady_timer engineTimer_;
    LeaseState lease_;
    bool wasHeld_ = false;
    bool stopped_ = false;
    std::uint64_t revision_ = 0;
    std::vector<DesiredEngine> desired_;
    ObservedEngines observed_;
};

} // namespace

std::shared_ptr<Controller> Controller::create(asio::io_context &context, const ControllerOptions &options)
{
    return std::make_shared<LeaseController>(context, options);
}

} // namespace mulberrywall::orders
