#include "mulberrywall/Control/Commands.h"

#include "Blocking.h"

#include "mulberrywall/Configuration/RevisionStore.h"
#include "mulberrywall/Control/RouterAdminRequests.h"
#include "mulberrywall/Support/WorkerPool.h"

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <thread>

namespace mulberrywall::control
{

namespace asio = boost::asio;
namespace json = boost::json;
using support::ExitCode;

namespace
{

/// Polling interval of the routers while waiting for a revision.
constexpr std::chrono::milliseconds pollInterval {100};

/// Status of a router as reported by its admin listener.
struct RouterAdminStatus
{
    std::string instance;
    /// 0 if the router has no configuration.
    std::uint64_t revision = 0;
};

std::optional<RouterAdminStatus> parseStatus(const RouterAdminResponse &answer)
{
    if (!answer.isAnswered() || answer.response.status != http::Status::ok) {
        return std::nullopt;
    }
    boost::system::error_code error;
    const json::value document = json::parse(answer.response.body, error);
    if (error || !document.is_object()) {
        return std::nullopt;
    }
    RouterAdminStatus status;
    const json::value *instance = document.get_object().if_contains("instance");
    const json::value *revision = document.get_object().if_contains("revision");
    if (instance != nullptr && instance->is_string()) {
        status.instance = std::string(instance->get_string());
    }
    if (revision != nullptr && revision->is_int64() && revision->get_int64() > 0) {
        status.revision = static_cast<std::uint64_t>(revision->get_int64());
    }
    return status;
}

/// Returns the revision of the head. If it cannot be read from the platform, prints the error and returns nothing.
std::optional<std::uint64_t> fetchHeadRevision(support::WorkerPool &pool, const backingservices::BackingServiceOptions &options, const Console &console)
{
    const configuration::RevisionStore store(pool.context().get_executor(), options);
    const auto head = await<configuration::RevisionHeadResult>([&store](auto handler) { store.fetchHead(std::move(handler)); });
    if (head.status == backingservices::ReadStatus::Unavailable) {
        console.errors << "cannot read the head from the platform: " << head.detail << "; check --platform or pass --revision\n";
        return std::nullopt;
    }
    return head.head.revision;
}

struct StatusSummary
{
    std::string text;
    ExitCode code = ExitCode::Success;
};

StatusSummary renderStatus(const std::vector<RouterAdminResponse> &answers, std::optional<std::uint64_t> expected)
{
    std::vector<std::optional<RouterAdminStatus>> states;
    std::uint64_t highest = 0;
    for (const RouterAdminResponse &answer : answers) {
        states.push_back(parseStatus(answer));
        highest = std::max(highest, states.back() ? states.back()->revision : 0);
    }
    StatusSummary summary;
    const std::uint64_t target = expected.value_or(highest);
    for (std::size_t index = 0; index < answers.size(); ++index) {
        const std::string address = answers[index].router.address().to_string() + ":" + std::to_string(answers[index].router.port());
        const std::optional<RouterAdminStatus> &state = states[index];
        if (!state) {
            summary.text.append(address).append(" ").append(describe(answers[index])).append("\n");
            summary.code = ExitCode::Unreachable;
            continue;
        }
        const bool isBehind = state->revision < target;
        summary.text.append(address).append(" ").append(state->instance).append(" revision ").append(std::to_string(state->revision));
        summary.text.append(isBehind ? " behind\n" : "\n");
        if (isBehind && summary.code == ExitCode::Success) {
            summary.code = ExitCode::Failure;
        }
    }
    return summary;
}

} // namespace

ExitCode status(const StatusOptions &options, const Console &console)
{
    support::WorkerPool pool(1);
    std::optional<std::uint64_t> expected = options.revision;
    if (!expected && options.platform) {
        expected = fetchHeadRevision(pool, *options.platform, console);
        if (!expected) {
            return ExitCode::Unreachable;
        }
    }
    const http::Request request(http::Verb::get, "/v1/status", 11);
    const auto deadline = std::chrono::steady_clock::now() + options.waitTimeout;
    StatusSummary summary = renderStatus(requestAllRouters(pool, options.routers, request), expected);
    while (options.waiting == StatusWaitMode::UntilActive && summary.code != ExitCode::Success && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(pollInterval);
        summary = renderStatus(requestAllRouters(pool, options.routers, request), expected);
    }
    if (expected) {
        console.output << "expected revision " << *expected << '\n';
    }
    console.output << summary.text;
    return summary.code;
}

ExitCode drain(const DrainOptions &options, const Console &console)
{
    support::WorkerPool pool(1);
    http::Request request(http::Verb::post, "/v1/drain", 11);
    request.set(http::Field::content_type, "application/json");
    request.body() = json::serialize(json::object {{"endpoint", options.endpoint}});
    bool isAnyAccepted = false;
    bool isAnyAnswered = false;
    for (const RouterAdminResponse &answer : requestAllRouters(pool, options.routers, request)) {
        isAnyAnswered = isAnyAnswered || answer.isAnswered();
        isAnyAccepted = isAnyAccepted || answer.isAccepted();
        std::ostream &stream = answer.isAccepted() ? console.output : console.errors;
        stream << answer.router << (answer.isAccepted() ? " accepted" : " did not accept: " + describe(answer)) << '\n';
    }
    if (isAnyAccepted) {
        return ExitCode::Success;
    }
    console.errors << "endpoint \"" << options.endpoint << "\" is not drained; check --router, --operator-key and the endpoint id\n";
    return isAnyAnswered ? ExitCode::Failure : ExitCode::Unreachable;
}

} // namespace mulberrywall::control
