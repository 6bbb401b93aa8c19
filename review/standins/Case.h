#pragma once

#include "RouterProcess.h"
#include "Store.h"

#include <fstream>
#include <mutex>
#include <string>
#include <string_view>

namespace review
{

/// How a case ends: the exit status of its script.
enum class CaseResult : std::uint8_t {
    RuleHeld = 0,
    RuleBroken = 1,
    NotRun = 2,
};

/// Whether the case runs with the disruption, or the same without it.
enum class Trouble : std::uint8_t {
    Off,
    On,
};

/// Reads the environment variable TROUBLE: "0" switches the disruption off.
[[nodiscard]] Trouble troubleFromEnvironment();

/// What was sent, answered and run, one line each, with the milliseconds since the start of the case. Thread-safe.
class Record
{
public:
    explicit Record(const std::string &file);

    void add(std::string_view line);

private:
    std::mutex mutex_;
    std::ofstream file_;
    Clock::time_point startedAt_ = Clock::now();
};

/// A folder for temporary files, removed with the object.
class TemporaryFolder
{
public:
    TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;
    TemporaryFolder(TemporaryFolder &&) = delete;
    TemporaryFolder &operator=(TemporaryFolder &&) = delete;
    ~TemporaryFolder();

    [[nodiscard]] const std::string &path() const;

private:
    std::string path_;
};

constexpr std::string_view clientKey = "key-of-tenant-a";
constexpr std::string_view routeHost = "ledger.example";

/// A route of the operator's document.
struct RouteOptions
{
    std::string name;
    std::string prefix;
    /// "safe", "unsafe" or "stream".
    std::string type;
    std::string service;
    unsigned timeoutMs = 8'000;
    unsigned targetMs = 300;
    unsigned attempts = 1;
    bool resumable = false;
};

/// Renders the operator's document with one tenant, which holds clientKey.
[[nodiscard]] std::string renderConfiguration(unsigned version, const std::vector<RouteOptions> &routes, const std::vector<std::string> &services);

/// Renders the entry of an endpoint that takes requests.
[[nodiscard]] std::string renderEndpoint(const std::string &service, const Address &address, unsigned slots);

/// Returns a request as a client of the route sends it.
[[nodiscard]] Request makeRequest(const std::string &method, const std::string &target, const std::string &id, unsigned deadlineMs);

/// Runs the case in the repository's root and returns its result. Exceptions count as not run.
int runCase(int argc, char **argv, CaseResult (*run)(const std::string &folder, Trouble trouble));

} // namespace review
