#pragma once

#include "Harness/TestClient.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace mulberrywall::untrusted
{

/// Limits of the process under test. They are lower than those of any deployment, so that few callers suffice.
inline constexpr std::size_t memoryLimitMb = 64;
inline constexpr std::size_t descriptorLimit = 300;
/// The largest body that the router accepts.
inline constexpr std::size_t maxBodyBytes = 4'194'304;
inline constexpr std::size_t maxHeaderBytes = 16'384;

/// A path at which callers send requests.
struct Target
{
    std::string name;
    std::uint16_t port = 0;
    /// Method, path and all fields that a request needs besides those of its body, without the empty line at the end.
    std::string head;
};

enum class Interface : std::uint8_t {
    Platform,
    Product,
};

/// A running router with an endpoint that responds to all requests.
class RouterUnderTest
{
public:
    static std::unique_ptr<RouterUnderTest> start(Interface interface);

    RouterUnderTest() = default;
    RouterUnderTest(const RouterUnderTest &) = delete;
    RouterUnderTest &operator=(const RouterUnderTest &) = delete;
    RouterUnderTest(RouterUnderTest &&) = delete;
    RouterUnderTest &operator=(RouterUnderTest &&) = delete;
    virtual ~RouterUnderTest() = default;

    [[nodiscard]] virtual pid_t pid() = 0;
    [[nodiscard]] virtual bool hasEnded() = 0;
    /// Returns a route, a path without a route, and the path of the readiness probe on its own listener.
    [[nodiscard]] virtual std::vector<Target> targets() = 0;
    /// Returns a complete request with a response of several megabytes.
    [[nodiscard]] virtual Target largeResponse() = 0;
    /// Returns a call that the endpoint answers, with a new request id.
    [[nodiscard]] virtual harness::Call ordinaryCall(std::string body) = 0;

    /// Returns the peak of the resident memory in bytes.
    [[nodiscard]] std::size_t peakMemory();
    [[nodiscard]] std::size_t openDescriptors();
};

} // namespace mulberrywall::untrusted
