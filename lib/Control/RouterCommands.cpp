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

/// Time between two looks at the routers while waiting for a revision.
constexpr std::chrono::milliseconds pollInterval {100};

/// State of a router as its admin page has it.
struct RouterStatus
{
    std::string instance;
    /// 0 when the router has no configuration.
    std::uint64_t revision = 0;
};

std::optional<RouterStatus> parseStatus(const RouterAdminResponse &report)
{
    if (!report.isAnswered() || report.response.status != http::Status::ok) {
        return std::nullopt;
    }
    boost::system::error_code error;
    const json::value document = json::parse(report.response.body, error);
    if (error || !document.is_object()) {
        return std::nullopt;
    }
    RouterStatus status;
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

/// Returns nothing when the platform does not answer.
std::optional<std::uint64_t> fetchHeadRevision(support::WorkerPool &pool, const platform::PlatformOptions &options, const Console &console)
{
    const configuration::RevisionStore store(pool.context().get_executor(), options);
    const auto head = await<configuration::HeadResult>([&store](auto handler) { store.fetchHead(std::move(handler)); });
    if (head.status == platform::ReadStatus::Unavailable) {
        console.errors << "cannot read the head from the platform: " << head.detail << "; check --platform or pass --revision\n";
        return std::nullopt;
    }
    return head.head.revision;
}

struct Overview
{
    std::string text;
    ExitCode code = ExitCode::Success;
};

Overview render(const std::vector<RouterAdminResponse> &reports, std::optional<std::uint64_t> expected)
{
    std::vector<std::optional<RouterStatus>> states;
    std::uint64_t highest = 0;
    for (const RouterAdminResponse &report : reports) {
        states.push_back(parseStatus(report));
        highest = std::max(highest, states.back() ? states.back()->revision : 0);
    }
    Overview overview;
    const std::uint64_t target = expected.value_or(highest);
    for (std::size_t index = 0; index < reports.size(); ++index) {
        const std::string address = reports[index].router.address().to_string() + ":" + std::to_string(reports[index].router.port());
        const std::optional<RouterStatus> &state = states[index];
        if (!state) {
            overview.text.append(address).append(" ").append(describe(reports[index])).append("\n");
            overview.code = ExitCode::Unreachable;
            continue;
        }
        const bool isBehind = state->revision < target;
        overview.text.append(address).append(" ").append(state->instance).append(" revision ").append(std::to_string(state->revision));
        overview.text.append(isBehind ? " behind\n" : "\n");
        if (isBehind && overview.code == ExitCode::Success) {
            overview.code = ExitCode::Failure;
        }
    }
    return overview;
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
    Overview overview = render(requestAllRouters(pool, options.routers, request), expected);
    while (options.waiting == StatusWaitMode::UntilActive && overview.code != ExitCode::Success && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(pollInterval);
        overview = render(requestAllRouters(pool, options.routers, request), expected);
    }
    if (expected) {
        console.output << "expected revision " << *expected << '\n';
    }
    console.output << overview.text;
    return overview.code;
}

ExitCode drain(const DrainOptions &options, const Console &console)
{
    support::WorkerPool pool(1);
    http::Request request(http::Verb::post, "/v1/drain", 11);
    request.set(http::Field::content_type, "application/json");
    request.body() = json::serialize(json::object {{"endpoint", options.endpoint}});
    bool isAnyAccepted = false;
    bool isAnyAnswered = false;
    for (const RouterAdminResponse &report : requestAllRouters(pool, options.routers, request)) {
        isAnyAnswered = isAnyAnswered || report.isAnswered();
        isAnyAccepted = isAnyAccepted || report.isAccepted();
        std::ostream &stream = report.isAccepted() ? console.output : console.errors;
        stream << report.router << (report.isAccepted() ? " accepted" : " did not accept: " + describe(report)) << '\n';
    }
    if (isAnyAccepted) {
        return ExitCode::Success;
    }
    console.errors << "endpoint \"" << options.endpoint << "\" is not drained; check --router, --operator-key and the endpoint id\n";
    return isAnyAnswered ? ExitCode::Failure : ExitCode::Unreachable;
}

} // namespace mulberrywall::control
