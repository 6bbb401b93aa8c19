#pragma once

#include "Harness/ChildProcess.h"
#include "Harness/TestClient.h"

#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace mulberrywall::harness
{

/// Bearer keys of the two organisations in the standard base file.
inline constexpr std::string_view acmeKey = "acme-key";
inline constexpr std::string_view zenithKey = "zenith-key";

/// Classes with targets that a test machine meets: "interactive" (tier 0), "summary" (tier 1) and "report" (tier 2) for
/// models, "payment" (non-idempotent) and "lookup" for plain services.
std::string standardClasses();

/// "interactive" (tier 0) and "report" (tier 2), of which the latter has a minimum share of a fifth after 1 s.
std::string classesWithMinimumShare();

enum class ProxyUse : std::uint8_t {
    None,
    /// Each endpoint is reached through a route of fault-proxy that bears the endpoint's id.
    Endpoints,
};

enum class PlatformUse : std::uint8_t {
    None,
    /// Routers use one platform-standin.
    Standin,
};

enum class RouterKind : std::uint8_t {
    Product,
    /// naive-router, the baseline of comparisons; its routers do not know each other.
    Naive,
    /// ablation-router, the product with the mechanism of DeploymentOptions::without switched off.
    Ablation,
};

enum class PeerLinks : std::uint8_t {
    Direct,
    /// Routers reach each other through routes of fault-proxy, and the platform through a route per data centre that is
    /// named "platform-" and the data centre.
    Proxied,
};

/// State of the network between the routers of two data centres.
enum class Link : std::uint8_t {
    Open,
    /// All is lost in both directions.
    Lost,
    /// What the first one sends is lost, what the second one sends arrives.
    HalfOpen,
    /// All arrives 100 ms later.
    Delayed,
};

struct DeploymentOptions
{
    RouterKind routerKind = RouterKind::Product;
    /// Mechanism that RouterKind::Ablation switches off.
    std::string without;
    std::vector<std::string> dataCentres {"dc-a"};
    /// Numbers per data centre.
    unsigned routers = 1;
    /// Routers of each data centre when they differ; takes the place of routers unless empty.
    std::vector<unsigned> routersOf;
    unsigned engines = 2;
    unsigned services = 0;
    /// Concurrency limit of each endpoint.
    unsigned maximumConcurrency = 8;
    /// Waiting requests that a pool accepts.
    unsigned queueLimit = 4096;
    std::string engineSupports = R"("resume", "priorities", "prefix-cache", "checks-fencing")";
    ProxyUse proxies = ProxyUse::None;
    PlatformUse platform = PlatformUse::None;
    PeerLinks peerLinks = PeerLinks::Direct;
    /// TOML tables of the classes.
    std::string classes = standardClasses();
    /// More TOML for the base file.
    std::string furtherBase;
    std::vector<std::string> engineArguments;
    std::vector<std::string> routerArguments;
};

/// A process of a deployment with its ports.
struct Node
{
    std::string id;
    std::string dataCentre;
    std::uint16_t port = 0;
    /// Port of a router's admin listener.
    std::uint16_t adminPort = 0;
    std::vector<std::string> arguments;
    std::unique_ptr<ChildProcess> process;
};

/// Engines, services and routers of a test, with their configuration files in a temporary directory. Several routers know
/// each other.
///
/// The pool of the engines is "m", that of the services is "ledger". Ids are "engine-0", "service-0", "router-0" and so on,
/// counted over all data centres.
class Deployment
{
public:
    /// Returns when all routers are ready. Throws std::runtime_error when one does not become ready.
    explicit Deployment(DeploymentOptions options);
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;
    Deployment(Deployment &&) = delete;
    Deployment &operator=(Deployment &&) = delete;
    ~Deployment();

    [[nodiscard]] Node &engine(std::size_t index)
    {
        return *engines_.at(index);
    }
    [[nodiscard]] Node &service(std::size_t index)
    {
        return *services_.at(index);
    }
    [[nodiscard]] Node &router(std::size_t index)
    {
        return *routers_.at(index);
    }
    [[nodiscard]] Node &platform()
    {
        return *platform_;
    }
    [[nodiscard]] std::size_t routerCount() const
    {
        return routers_.size();
    }
    [[nodiscard]] std::size_t engineCount() const
    {
        return engines_.size();
    }
    /// Waits until the router lists this number of live members, itself included.
    void waitForMembers(std::size_t index, std::size_t number);
    /// Returns the number of the router that owns the pool "m" of its data centre, as the given router sees it.
    [[nodiscard]] std::size_t ownerIndex(std::size_t router = 0);
    /// Needs PeerLinks::Proxied. Open breaks the connections, since bytes of them may have been lost.
    void setLink(const std::string &first, const std::string &second, Link link);
    /// Sets the links between the data centre, as the first one, and all others.
    void setLinks(const std::string &dataCentre, Link link);
    /// Applies the configuration without these endpoints as the next revision, by mulberrywall-ctl.
    void applyWithout(const std::set<std::string> &endpoints);
    /// Starts the process again, after its end, on the same ports; a router gets all routers as seeds.
    void restart(Node &node);
    /// Sets the faults of an endpoint's route; members left out are reset to "no fault".
    void setFaults(const std::string &endpoint, const boost::json::object &faults);
    [[nodiscard]] boost::json::object proxyCounts() const;
    /// Returns the port on which the proxy takes the endpoint's connections.
    [[nodiscard]] std::uint16_t proxiedPort(const std::string &endpoint) const
    {
        return proxiedPorts_.at(endpoint);
    }

    /// Makes a completion call to the router with the key of "acme"; change its members as needed.
    [[nodiscard]] Call completion(std::size_t router, std::string_view requestClass, std::string_view prompt, std::size_t tokens) const;
    /// Makes a call of the plain service "ledger" to the router.
    [[nodiscard]] Call serviceCall(std::size_t router, std::string_view requestClass, std::string_view body) const;

private:
    Node &startStandin(std::vector<std::unique_ptr<Node>> &nodes, const std::string &kind, const std::string &dataCentre);
    void startRouter(const std::string &dataCentre);
    [[nodiscard]] std::uint16_t reachablePort(const Node &endpoint) const;
    [[nodiscard]] std::uint16_t addRoute(const std::string &name, const boost::json::object &route) const;
    void addPeerRoutes(Node &router, const std::string &listen);
    [[nodiscard]] std::string peerIp(const std::string &dataCentre) const;
    void setLinkFaults(const std::string &from, const std::string &to, const boost::json::object &faults);
    void startEndpoints(const std::string &dataCentre);
    void writeOverlay(const std::string &dataCentre, const std::set<std::string> &leftOut) const;
    void writeFile(const std::string &name, const std::string &text) const;
    void start(Node &node) const;

    DeploymentOptions options_;
    std::filesystem::path directory_;
    std::unique_ptr<Node> proxy_;
    std::unique_ptr<Node> platform_;
    /// Membership addresses of the routers; the first one is the seed of the others, all are seeds of a restarted one.
    std::vector<std::string> memberships_;
    std::map<std::string, std::uint16_t> proxiedPorts_;
    std::vector<std::unique_ptr<Node>> engines_;
    std::vector<std::unique_ptr<Node>> services_;
    std::vector<std::unique_ptr<Node>> routers_;
};

/// Returns the member "name" of the endpoint's counts, or of one request's counts when an id is given; 0 when absent.
std::uint64_t countOf(const Node &endpoint, std::string_view name, const std::string &requestId = {});

} // namespace mulberrywall::harness
