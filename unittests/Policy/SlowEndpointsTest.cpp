#include "PolicyFixture.h"

#include <algorithm>
#include <map>

using namespace std::chrono_literals;

namespace mulberrywall::policy
{

/// Simulates streams on endpoints with given inter-token latencies.
class SlowEndpointsTest : public PolicyFixture
{
protected:
    void startPool(unsigned endpointCount)
    {
        std::vector<EndpointSpec> endpoints;
        for (unsigned i = 0; i < endpointCount; ++i) {
            endpoints.push_back(endpointSpec("e" + std::to_string(i), 4));
            interval[endpoints.back().id] = 10ms;
        }
        PoolOptions options {.classes = {tierClass(0), tierClass(1)}};
        for (ClassSpec &spec : options.classes) {
            spec.firstTokenTarget = 1h;
            spec.maximumWait = 1h;
        }
        start(options, endpoints);
    }

    /// Keeps the pool busy in steps of 10 ms.
    void runUntil(std::chrono::milliseconds end)
    {
        for (; time < end; time += 10ms) {
            while (functions.summarize(pool.get()).waiting < 4) {
                recordGrants(submit(submissionOf(nextPermit, nextPermit % 4 == 0 ? "tier1" : "tier0"), time));
                ++nextPermit;
            }
            for (auto &[permit, stream] : std::map<PermitId, Stream>(streams)) {
                const auto tokens = static_cast<std::uint64_t>((time - stream.startedAt) / interval.at(stream.endpoint));
                if (tokens >= streamTokens) {
                    streams.erase(permit);
                    recordGrants(complete(permit, time, {.outputTokens = streamTokens}));
                } else if (tokens > 0 && time % reportInterval == 0ms) {
                    const auto age = [this, startedAt = stream.startedAt, step = interval.at(stream.endpoint)](std::uint64_t token) {
                        return time - startedAt - token * step;
                    };
                    const Progress report {.outputTokens = tokens, .sinceLatestToken = age(tokens), .sinceFirstToken = age(1)};
                    recordGrants(functions.recordProgress(pool.get(), permit, report, at(time)));
                }
            }
            recordGrants(functions.advance(pool.get(), at(time)));
            largestSlowCount = std::max(largestSlowCount, slowCount());
        }
    }

    std::ptrdiff_t slowCount()
    {
        const auto all = functions.endpointStatus(pool.get());
        return std::count_if(all.begin(), all.end(), [](const EndpointStatus &status) { return status.health != EndpointHealth::Healthy; });
    }

    EndpointHealth health(const std::string &name)
    {
        for (const EndpointStatus &status : functions.endpointStatus(pool.get())) {
            if (status.id.value() == name) {
                return status.health;
            }
        }
        return EndpointHealth::Healthy;
    }

    struct Stream
    {
        support::EndpointId endpoint;
        std::chrono::milliseconds startedAt;
    };

    void recordGrants(const Decisions &decisions)
    {
        for (const Grant &grant : decisions.grants) {
            streams[grant.permit] = {.endpoint = grant.endpoint, .startedAt = time};
            ++granted[grant.endpoint];
            grantedAnyTier[grant.endpoint] += grant.enginePriority < 2 ? 1 : 0;
        }
    }

    std::map<support::EndpointId, std::chrono::milliseconds> interval;
    std::map<PermitId, Stream> streams;
    std::uint64_t streamTokens = 20;
    std::chrono::milliseconds reportInterval {10};
    std::map<support::EndpointId, unsigned> granted;
    std::map<support::EndpointId, unsigned> grantedAnyTier;
    std::chrono::milliseconds time {0};
    PermitId nextPermit = 1;
    std::ptrdiff_t largestSlowCount = 0;
};

// Guards against a slow endpoint that keeps its slots, and against one that never returns to healthy.
TEST_F(SlowEndpointsTest, SlowEndpointGoesOnProbationAndRecovers)
{
    startPool(4);
    runUntil(3s);
    EXPECT_EQ(largestSlowCount, 0);
    const support::EndpointId slow("e1");
    interval[slow] = 100ms;
    runUntil(8s);
    EXPECT_EQ(health("e1"), EndpointHealth::Probation);
    granted.clear();
    grantedAnyTier.clear();
    runUntil(18s);
    EXPECT_GE(granted[slow], 2U) << "probes must continue";
    EXPECT_LE(granted[slow], 11U) << "at most one probe a second";
    EXPECT_EQ(grantedAnyTier[slow], 0U) << "probes must not slow down the higher tier";
    interval[slow] = 10ms;
    runUntil(30s);
    EXPECT_EQ(health("e1"), EndpointHealth::Healthy);
}

// Guards against losing most of a pool when many endpoints are slow at once.
TEST_F(SlowEndpointsTest, AtMostAThirdOfThePoolIsSlow)
{
    startPool(7);
    runUntil(3s);
    for (const char *name : {"e0", "e1", "e2"}) {
        interval[support::EndpointId(name)] = 100ms;
    }
    runUntil(15s);
    EXPECT_EQ(largestSlowCount, 2);
    std::vector<EndpointSpec> fewer;
    for (const char *name : {"e0", "e1", "e2", "e3", "e4"}) {
        fewer.push_back(endpointSpec(name, 4));
    }
    functions.setEndpoints(pool.get(), fewer, at(time));
    EXPECT_LE(slowCount(), 1);
}

// Guards against missing an endpoint that hangs, and therefore produces no slow tokens to observe.
TEST_F(SlowEndpointsTest, EndpointWithoutProgressCountsAsSlow)
{
    startPool(4);
    runUntil(3s);
    interval[support::EndpointId("e2")] = 1h;
    runUntil(6s);
    EXPECT_NE(health("e2"), EndpointHealth::Healthy);
}

// Guards against healthy endpoints that count as slow between the reports of an ingress, which come once a second for all
// its streams, and against slow and hanging endpoints that are not detected.
TEST_F(SlowEndpointsTest, ReportsOnceASecondSuffice)
{
    reportInterval = 1s;
    streamTokens = 300;
    startPool(7);
    runUntil(8s);
    EXPECT_EQ(largestSlowCount, 0);
    interval[support::EndpointId("e1")] = 100ms;
    interval[support::EndpointId("e2")] = 1h;
    runUntil(14s);
    EXPECT_NE(health("e1"), EndpointHealth::Healthy);
    EXPECT_NE(health("e2"), EndpointHealth::Healthy);
    EXPECT_EQ(largestSlowCount, 2);
}

} // namespace mulberrywall::policy
