#pragma once

#include "KeyHistory.h"
#include "ScriptedStore.h"

#include "Adapter/ScriptedEndpoint.h"
#include "Harness/ChildProcess.h"
#include "Harness/PortReservation.h"

#include "mulberrywall/Support/WorkerPool.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace mulberrywall::withdrawnkeys
{

/// Time after which no withdrawn key is accepted, also by a router that cannot know of the withdrawal.
inline constexpr std::chrono::milliseconds revocationLimit {1'500};
inline constexpr std::size_t routerCount = 2;

/// A caller's address at a router.
struct RouterAddress
{
    std::string ip;
    std::uint16_t port = 0;
};

enum class RevocationLimit : std::uint8_t {
    Strict,
    /// The settings have no limit: a planted fault.
    Missing,
};

struct RouterPairOptions
{
    /// What the store serves in place of the operator's document; may be empty. Part of a planted fault.
    platform::ScriptedStore::RewriteValue rewriteDocument;
    RevocationLimit limit = RevocationLimit::Strict;
};

/// Two router processes on the users' platform that know each other, and the store and the endpoints in this process.
class RouterPair
{
public:
    explicit RouterPair(RouterPairOptions options);
    RouterPair(const RouterPair &) = delete;
    RouterPair &operator=(const RouterPair &) = delete;
    RouterPair(RouterPair &&) = delete;
    RouterPair &operator=(RouterPair &&) = delete;
    ~RouterPair();

    /// Writes the next version of the configuration. std::nullopt leaves out the list of organisations.
    void write(std::optional<Organisations> organisations);
    [[nodiscard]] const std::optional<Organisations> &newest() const;

    [[nodiscard]] const RouterAddress &address(std::size_t router) const;
    /// Returns the service that the store gives to the router.
    [[nodiscard]] platform::ScriptedStore &storeOf(std::size_t router);
    void sendSignal(std::size_t router, int number);
    /// Ends the process with the signal and starts it again with the same settings.
    void restart(std::size_t router, int number);
    /// Writes the settings file once more, with a member that has no meaning, and sends SIGHUP.
    void reloadSettings(std::size_t router);

    /// Returns the versions and the runs so far, without the requests.
    [[nodiscard]] KeyHistory history() const;

private:
    struct Router
    {
        RouterAddress address;
        std::uint16_t readinessPort = 0;
        std::string settingsFile;
        std::unique_ptr<platform::ScriptedStore> store;
        std::unique_ptr<harness::ChildProcess> process;
    };

    void writeSettings(const Router &router) const;
    void start(Router &router);
    void run(const http::ServerExchangePtr &exchange);

    RouterPairOptions options_;
    support::WorkerPool workers_ {2};
    platform::ScriptedStore store_ {workers_};
    platform::ScriptedEndpoint endpoint_ {workers_, [this](const http::ServerExchangePtr &exchange) {
                                              run(exchange);
                                          }};
    harness::PortReservation ports_;
    std::filesystem::path directory_;
    /// First port between routers, which all instances share.
    std::uint16_t peerPort_ = 0;
    std::array<Router, routerCount> routers_;
    unsigned configurationVersion_ = 0;
    unsigned settingsVersion_ = 0;
    mutable std::mutex mutex_;
    /// Guarded by the mutex, as the next member.
    KeyHistory history_;
};

} // namespace mulberrywall::withdrawnkeys
