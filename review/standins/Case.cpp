#include "Case.h"

#include <cstdlib>
#include <exception>
#include <filesystem>
#include <iostream>
#include <stdexcept>

namespace review
{

Trouble troubleFromEnvironment()
{
    const char *value = std::getenv("TROUBLE");
    return value != nullptr && std::string_view(value) == "0" ? Trouble::Off : Trouble::On;
}

Record::Record(const std::string &file)
    : file_(file)
{
}

void Record::add(std::string_view line)
{
    const std::scoped_lock lock(mutex_);
    const auto elapsed = std::chrono::duration_cast<milliseconds>(Clock::now() - startedAt_);
    file_ << elapsed.count() << " ms: " << line << std::endl;
}

TemporaryFolder::TemporaryFolder()
{
    std::string name = (std::filesystem::temp_directory_path() / "mulberrywall-review-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("could not create a temporary folder");
    }
    path_ = name;
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
}

const std::string &TemporaryFolder::path() const
{
    return path_;
}

static std::string renderRoute(const RouteOptions &route)
{
    const std::string resumable = route.resumable ? "true" : "false";
    std::string text = R"({"name":")" + route.name + R"(","host":")" + std::string(routeHost) + R"(","prefix":")" + route.prefix + R"(","type":")" + route.type
        + R"(","timeoutMs":)" + std::to_string(route.timeoutMs) + R"(,"sloMs":)" + std::to_string(route.targetMs) + R"(,"priority":1,"service":")"
        + route.service + R"(","attempts":)" + std::to_string(route.attempts) + R"(,"public":false)";
    if (route.type == "stream") {
        text += R"(,"sticky":true,"resumable":)" + resumable + R"(,"itlTargetMs":800)";
    }
    return text + "}";
}

std::string renderConfiguration(unsigned version, const std::vector<RouteOptions> &routes, const std::vector<std::string> &services)
{
    std::string text = R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
    for (const RouteOptions &route : routes) {
        text += (text.ends_with('[') ? "" : ",") + renderRoute(route);
    }
    text += R"(],"services":[)";
    for (const std::string &service : services) {
        text += (text.ends_with('[') ? "" : ",") + (R"({"name":")" + service + R"(","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false})");
    }
    text
        += R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"tenant-a","apiKeys":[")";
    return text + std::string(clientKey) + R"("],"priority":1}]})";
}

std::string renderEndpoint(const std::string &service, const Address &address, unsigned slots)
{
    return R"({"service":")" + service + R"(","address":")" + address.text() + R"(","zone":"zone-a","version":"v1","slots":)" + std::to_string(slots)
        + R"(,"state":"ready","coldLeftMs":0,"seq":1,"born":1790000000000})";
}

Request makeRequest(const std::string &method, const std::string &target, const std::string &id, unsigned deadlineMs)
{
    return {.method = method,
        .target = target,
        .headers = {{"Host", std::string(routeHost)},
            {"Mulberrywall-Request-Id", id},
            {"Mulberrywall-Deadline-Ms", std::to_string(deadlineMs)},
            {"Authorization", "Bearer " + std::string(clientKey)}},
        .body = {}};
}

int runCase(int argc, char **argv, CaseResult (*run)(const std::string &folder, Trouble trouble))
{
    if (argc != 2) {
        std::cerr << "usage: " << argv[0] << " FOLDER-OF-THE-CASE\n";
        return static_cast<int>(CaseResult::NotRun);
    }
    try {
        return static_cast<int>(run(argv[1], troubleFromEnvironment()));
    } catch (const std::exception &error) {
        std::cerr << "the case could not run: " << error.what() << '\n';
        return static_cast<int>(CaseResult::NotRun);
    }
}

} // namespace review
