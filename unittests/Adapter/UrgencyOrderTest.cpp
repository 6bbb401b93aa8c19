#include "ScriptedEndpoint.h"

#include "platform/OperatorDocument.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <gtest/gtest.h>

#include <charconv>
#include <optional>
#include <set>

namespace mulberrywall::platform
{

namespace json = boost::json;

/// A caller's organisation, by its key, and the prefix of the route that it uses.
struct Caller
{
    std::string key;
    std::string prefix;
};

/// Reads an operator's document and serves it with two routers that do not know each other. Both send to one engine, so that
/// only the urgency tells the engine in which order to admit the requests.
class UrgencyOrderTest : public testing::Test
{
protected:
    ~UrgencyOrderTest() override
    {
        workers_.stop();
        workers_.join();
    }

    void addRoute(const std::string &name, unsigned priority)
    {
        routes_.push_back(json::object {{"name", name},
            {"host", "h"},
            {"prefix", "/" + name + "/"},
            {"type", "stream"},
            {"timeoutMs", 4000},
            {"sloMs", 800},
            {"priority", priority},
            {"service", "engines"},
            {"attempts", 1}});
    }

    /// Adds an organisation whose key is its name.
    void addOrganisation(const std::string &name, std::optional<unsigned> priority)
    {
        json::object organisation {{"name", name}, {"apiKeys", json::array {name}}};
        if (priority) {
            organisation["priority"] = *priority;
        }
        organisations_.push_back(std::move(organisation));
    }

    void start()
    {
        const json::object engines {{"name", "engines"}, {"engine", json::object {{"slots", 64}}}};
        const json::object document {{"version", 1}, {"routes", routes_}, {"services", json::array {engines}}, {"tenants", organisations_}};
        auto read = readOperatorDocument(json::serialize(document), {.dataCentre = support::DataCentreId("west"), .retryPercent = 20});
        ASSERT_TRUE(std::holds_alternative<configuration::SiteConfiguration>(read));
        auto site = std::get<configuration::SiteConfiguration>(std::move(read));
        site.endpoints.push_back({.id = support::EndpointId("engine"),
            .address = "127.0.0.1",
            .port = engine_.port(),
            .pools = {support::PoolId("engines")},
            .maximumConcurrency = 64});
        for (const std::string instance : {"first-router", "second-router"}) {
            auto &service
                = routers_.emplace_back(std::make_unique<router::RouterService>(workers_.context(), makeRouterOptions(instance), policy::standardPolicy()));
            service->configure(site);
            service->start();
        }
    }

    /// Sends one request of the caller through each router. Returns the urgency that both gave it; the test fails if they differ.
    unsigned urgencyOf(const Caller &caller)
    {
        std::vector<unsigned> urgencies;
        for (const auto &router : routers_) {
            const std::string id = "r" + std::to_string(engine_.requests().size());
            EXPECT_EQ(sendRequest(workers_, *router, caller.prefix, id, caller.key).status, http::Status::ok);
            const std::string urgency(engine_.requests().back()["Mulberrywall-Request-Urgency"]);
            unsigned value = 0;
            std::from_chars(urgency.data(), urgency.data() + urgency.size(), value);
            urgencies.push_back(value);
        }
        EXPECT_EQ(urgencies.front(), urgencies.back());
        return urgencies.front();
    }

    /// Expects strictly decreasing urgency, which is a strictly increasing number.
    void expectStrictOrder(const std::vector<Caller> &callers)
    {
        for (std::size_t index = 1; index < callers.size(); ++index) {
            const Caller &higher = callers[index - 1];
            const Caller &lower = callers[index];
            EXPECT_LT(urgencyOf(higher), urgencyOf(lower)) << higher.key << higher.prefix << " before " << lower.key << lower.prefix;
        }
    }

    support::WorkerPool workers_ {2};
    ScriptedEndpoint engine_ {workers_, [](const http::ServerExchangePtr &exchange) {
                                  answer(exchange, http::Status::ok, "id: 1\ndata: token\n\n");
                              }};
    json::array routes_;
    json::array organisations_;
    std::vector<std::unique_ptr<router::RouterService>> routers_;
};

/// Guards against a priority of an organisation that erases the order of its own requests: engines then admit its long
/// reports before its short questions if the reports arrived first, and the questions get no answer.
TEST_F(UrgencyOrderTest, PriorityOfAnOrganisationKeepsTheOrderOfItsRoutes)
{
    addRoute("question", 0);
    addRoute("summary", 1);
    addRoute("report", 2);
    addOrganisation("gold", 0);
    addOrganisation("silver", 1);
    start();
    expectStrictOrder(
        {{"gold", "/question/"}, {"gold", "/summary/"}, {"gold", "/report/"}, {"silver", "/question/"}, {"silver", "/summary/"}, {"silver", "/report/"}});
}

/// Guards against more tiers than fit into the urgencies 0 to 9 in steps of two: the lowest tiers then share the last one.
TEST_F(UrgencyOrderTest, TiersUpToTheNumberOfUrgenciesDiffer)
{
    std::vector<Caller> callers;
    for (unsigned priority = 0; priority < 10; ++priority) {
        const std::string name = "route" + std::to_string(priority);
        addRoute(name, priority);
        callers.push_back({.key = "caller", .prefix = "/" + name + "/"});
    }
    addOrganisation("caller", std::nullopt);
    start();
    expectStrictOrder(callers);
}

/// Guards against an inversion where neighbouring tiers have to share an urgency.
TEST_F(UrgencyOrderTest, MoreTiersThanUrgenciesKeepTheirOrder)
{
    std::vector<Caller> callers;
    for (unsigned organisation = 0; organisation < 4; ++organisation) {
        addOrganisation("organisation" + std::to_string(organisation), organisation);
        for (unsigned priority = 0; priority < 4; ++priority) {
            callers.push_back({.key = "organisation" + std::to_string(organisation), .prefix = "/route" + std::to_string(priority) + "/"});
        }
    }
    for (unsigned priority = 0; priority < 4; ++priority) {
        addRoute("route" + std::to_string(priority), priority);
    }
    start();
    unsigned previous = 0;
    std::set<unsigned> urgencies;
    for (const Caller &caller : callers) {
        const unsigned urgency = urgencyOf(caller);
        EXPECT_GE(urgency, previous) << caller.key << caller.prefix;
        previous = urgency;
        urgencies.insert(urgency);
    }
    EXPECT_EQ(urgencies.size(), 10U) << "an urgency is left unused while tiers share one";
}

} // namespace mulberrywall::platform
