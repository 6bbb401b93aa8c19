#include "NodeProgram.h"

#include "LiveMembers.h"
#include "NodeAutoscaling.h"
#include "NodeDuties.h"
#include "NodeMetering.h"
#include "NodeSettingsWatcher.h"

#include "platform/Dialect.h"
#include "platform/EndpointEntry.h"
#include "platform/NodeSettings.h"
#include "platform/OperatorDocument.h"
#include "platform/StoreClient.h"

#include "mulberrywall/Router/LoadPeerGroup.h"
#include "mulberrywall/Router/RouterService.h"
#include "mulberrywall/Router/SegmentArchive.h"
#include "mulberrywall/Router/StoreWatcher.h"
#include "mulberrywall/Support/BuildInfo.h"
#include "mulberrywall/Support/Heap.h"
#include "mulberrywall/Support/Log.h"
#include "mulberrywall/Support/Settings.h"
#include "mulberrywall/Support/WorkerPool.h"

#include <boost/system/system_error.hpp>

#include <algorithm>
#include <future>
#include <iostream>
#include <optional>
#include <utility>

namespace mulberrywall::router
{

namespace
{

/// One thread is enough for the quarter of a core that a router gets.
constexpr unsigned workerThreads = 1;
constexpr double percentPerUnit = 100.0;

/// Share of the termination grace period during which new requests are still accepted. The load balancer probes readiness
/// every second and removes a router after two failed probes, so that all callers use other routers after this time.
/// Requests that are accepted later might be aborted by the end of the process.
constexpr double drainGraceShare = 0.35;
/// Share of the termination grace period at whose end draining stops. Running requests may finish until then.
constexpr double drainEndShare = 0.92;

constexpr std::chrono::milliseconds connectTimeout {400};
/// Longer than TCP needs to retransmit lost segments, which takes a few hundred milliseconds.
constexpr std::chrono::milliseconds unacknowledgedTimeout {1'500};
/// Timeout for endpoints that send nothing. It only matters for requests without a deadline of the caller.
constexpr std::chrono::milliseconds endpointIdleTimeout {120'000};

/// A twentieth of the memory of the smallest instances; several endpoints in trouble may send without end at the same time.
constexpr std::size_t maxResponseBytes = std::size_t {8} * 1024 * 1024;

/// Minimum number of routers among which the retry slack is divided; used until more routers are known, because the users'
/// platform does not report their number.
constexpr std::size_t minimumRouters = 10;

/// Share of the key revocation limit that one long poll of the configuration may take. A long poll confirms the state at its
/// start, so that a router that loses the connection to the store continues to serve for the rest of the limit.
constexpr double configurationWaitShare = 0.2;
constexpr std::chrono::milliseconds maximumPollWait {3'000};

/// Share of the time within which a change must take effect that a router may wait after its start for its peers to pass it on.
constexpr double startIntervalShare = 0.5;

std::chrono::milliseconds scale(std::chrono::milliseconds duration, double factor)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration * factor);
}

/// Returns the time for which a configuration may be used without a confirmation from the store, or std::nullopt if it is
/// unlimited.
std::optional<std::chrono::milliseconds> configurationLifetime(const platform::NodeSettings &settings)
{
    if (settings.keyRevocationLimit.count() == 0) {
        return std::nullopt;
    }
    return settings.keyRevocationLimit;
}

/// Returns the number of retries that one router may make at once.
double retryBurstPerRouter(double slack, std::size_t routers)
{
    return slack / static_cast<double>(std::max(routers, minimumRouters));
}

RouterServiceOptions makeServiceOptions(const platform::NodeSettings &settings, std::uint16_t metricsPort)
{
    RouterServiceOptions options;
    options.instance = settings.instance;
    options.dataCentre = settings.dataCentre;
    options.callerServer.listen = settings.callerListen;
    options.adminServer.listen = settings.readinessListen;
    if (metricsPort != 0) {
        options.metricsListen = boost::asio::ip::tcp::endpoint(settings.callerListen.address(), metricsPort);
    }
    options.router = {.connectTimeout = connectTimeout,
        .stallTimeout = endpointIdleTimeout,
        .responseTimeout = endpointIdleTimeout,
        .maxResponseBytes = maxResponseBytes,
        .unacknowledgedTimeout = unacknowledgedTimeout,
        .reusesConnections = true,
        .retryBurst = retryBurstPerRouter(settings.retries.slack, minimumRouters),
        .configurationLifetime = configurationLifetime(settings),
        .chargeResumesToRetryBudget = true};
    applyResourceLimits(options, deriveResourceLimits(settings.memoryLimit, settings.descriptorLimit));
    options.dialect = &platform::dialect();
    options.endpointReports = EndpointReports::None;
    options.drainGrace = scale(settings.terminationGrace, drainGraceShare);
    options.drainLimit = scale(settings.terminationGrace, drainEndShare - drainGraceShare);
    options.drainMode = DrainMode::Serve;
    return options;
}

StoreWatcherSources makeStoreWatcherSources(const std::shared_ptr<platform::StoreClient> &client, const platform::NodeSettings &settings)
{
    const platform::OperatorDocumentContext context {
        .dataCentre = settings.dataCentre, .retryPercent = static_cast<unsigned>(settings.retries.ratio * percentPerUnit)};
    return {.configuration = makeTableSource(client, platform::operatorTable),
        .endpoints = makeTableSource(client, platform::endpointTable),
        .readConfiguration = [context](const TableRow &row) -> std::optional<std::variant<configuration::SiteConfiguration, RowProblem>> {
            if (row.key != platform::operatorDocumentKey) {
                return std::nullopt;
            }
            if (row.deleted) {
                return RowProblem {"its row was removed"};
            }
            auto read = platform::readOperatorDocument(row.value, context);
            if (const auto *error = std::get_if<platform::OperatorDocumentError>(&read)) {
                return RowProblem {error->text};
            }
            return std::get<configuration::SiteConfiguration>(std::move(read));
        },
        .readEndpoint = [](const TableRow &row) -> std::variant<RegisteredEndpoint, RowProblem> {
            auto read = platform::readEndpointEntry(row.key, row.value);
            if (const auto *error = std::get_if<platform::EndpointEntryError>(&read)) {
                return RowProblem {error->text};
            }
            return std::get<RegisteredEndpoint>(std::move(read));
        }};
}

StoreWatcherOptions makeStoreWatcherOptions(const platform::NodeSettings &settings)
{
    StoreWatcherOptions options {.configurationWait = maximumPollWait, .endpointsWait = maximumPollWait};
    if (settings.keyRevocationLimit.count() > 0) {
        options.configurationWait = std::min(maximumPollWait, scale(settings.keyRevocationLimit, configurationWaitShare));
    }
    if (settings.changeDelayLimit.count() > 0) {
        options.startInterval = scale(settings.changeDelayLimit, startIntervalShare);
    }
    return options;
}

StoreWatcherHandlers makeStoreWatcherHandlers(
    RouterService &service, const std::shared_ptr<SegmentArchive> &segments, const std::shared_ptr<NodeAutoscaling> &autoscaling)
{
    StoreWatcherHandlers handlers {.configurationChanged =
                                       [&service, segments](configuration::SiteConfiguration configuration) {
                                           service.configure(std::move(configuration));
                                           segments->recordLoaded();
                                       },
        .configurationConfirmed = [&service](support::BootClock::time_point confirmedAt) { service.renewConfiguration(confirmedAt); },
        .endpointsChanged =
            [&service](const std::vector<configuration::Endpoint> &endpoints) {
                service.setEndpoints(endpoints);
            }};
    if (autoscaling) {
        handlers.registryChanged = [autoscaling](std::vector<RegisteredEndpoint> endpoints) {
            autoscaling->setEndpoints(std::move(endpoints));
        };
    }
    return handlers;
}

/// Row key of the secret that all routers share.
constexpr std::string_view secretKey = "peer-secret";

/// Returns the secret of the routers from the rows of their table.
StoredSecret findSecret(TableResult table)
{
    StoredSecret secret {.responded = table.status == TableStatus::Ok};
    for (TableRow &row : table.rows) {
        if (row.key == secretKey) {
            secret.value = std::move(row.value);
        }
    }
    return secret;
}

/// Reads the rows of the routers' table into the archive.
void loadSegments(const std::shared_ptr<platform::StoreClient> &client, const std::shared_ptr<SegmentArchive> &segments)
{
    client->readTable(routerTable, [segments](const TableResult &table) { segments->load(table.rows); });
}

/// Returns a store whose responses also load the archive, whose rows are in the same table.
SecretStore makeSecretStore(const std::shared_ptr<platform::StoreClient> &client, const std::shared_ptr<SegmentArchive> &segments)
{
    return {.read =
                [client, segments](StoredSecretHandler handler) {
                    client->readTable(routerTable, [segments, handler = std::move(handler)](TableResult table) {
                        segments->load(table.rows);
                        handler(findSecret(std::move(table)));
                    });
                },
        .insertIfAbsent =
            [client, segments](std::string candidate, StoredSecretHandler handler) {
                client->createRow(
                    routerTable, secretKey, std::move(candidate), [client, segments, handler = std::move(handler)](std::optional<std::string> stored) {
                        const bool responded = stored.has_value();
                        handler({.responded = responded, .value = std::move(stored)});
                        if (responded) {
                            loadSegments(client, segments);
                        }
                    });
            }};
}

std::shared_ptr<SegmentArchive> makeSegmentArchive(
    boost::asio::io_context &context, RouterService &service, const platform::NodeSettings &settings, const std::shared_ptr<platform::StoreClient> &client)
{
    RowStore store {.put
        = [client](const std::string &key, const std::string &value, StoredHandler handler) { client->putRow(routerTable, key, value, std::move(handler)); },
        .remove =
            [client](const std::string &key, StoredHandler handler) {
                client->removeRow(routerTable, key, std::move(handler));
            }};
    return std::make_shared<SegmentArchive>(context, service.pools(), settings.instance, std::move(store));
}

/// The parts of a router that serve the duties which its settings name.
struct DutyParts
{
    NodeDuties duties;
    std::shared_ptr<LiveMembers> members;
    /// Null if no duty needs the counts of the routers.
    std::shared_ptr<NodeMetering> metering;
    /// Null if the settings do not name its duty.
    std::shared_ptr<NodeAutoscaling> autoscaling;
};

/// Returns the parts with a task for each duty, or std::nullopt if the settings name no duties.
std::optional<DutyParts> makeDutyParts(
    boost::asio::io_context &context, RouterService &service, const platform::NodeSettings &settings, const std::shared_ptr<metering::UsageCounter> &counter)
{
    auto duties = makeNodeDuties(context, settings, service.metrics());
    if (!duties) {
        return std::nullopt;
    }
    DutyParts parts {.duties = std::move(*duties), .members = std::make_shared<LiveMembers>()};
    if (counter) {
        parts.metering = std::make_shared<NodeMetering>(context, service, settings, counter, parts.duties, parts.members);
    }
    if (parts.metering && hasDuty(settings, meteringDuty)) {
        parts.duties.runner->addTask(parts.metering->makeTask());
    }
    if (parts.metering && hasDuty(settings, autoscalingDuty)) {
        parts.autoscaling = std::make_shared<NodeAutoscaling>(context, service, parts.duties, parts.metering, parts.members);
        parts.duties.runner->addTask(parts.autoscaling->makeTask());
    }
    return parts;
}

/// Returns nullptr if the users' platform provides no ports for traffic between routers.
std::shared_ptr<LoadPeerGroup> makePeerGroup(boost::asio::io_context &context,
    RouterService &service,
    const platform::NodeSettings &settings,
    const std::shared_ptr<platform::StoreClient> &client,
    const std::shared_ptr<StoreWatcher> &storeWatcher,
    const std::shared_ptr<SegmentArchive> &segments,
    const std::optional<DutyParts> &duties)
{
    if (settings.firstPeerPort == 0) {
        return nullptr;
    }
    const boost::asio::ip::address ownAddress = settings.callerListen.address();
    LoadPeerGroupOptions options {.instance = settings.instance,
        .dataCentre = settings.dataCentre,
        .processorPercent = static_cast<std::uint16_t>(settings.processorCores * percentPerUnit),
        .membershipListen = {ownAddress, settings.firstPeerPort},
        .loadListen = {ownAddress, static_cast<std::uint16_t>(settings.firstPeerPort + 1)}};
    for (const boost::asio::ip::address &seed : settings.seeds) {
        options.seeds.emplace_back(seed, settings.firstPeerPort);
    }
    LoadPeerGroupHandlers handlers {.storeFreshness = [storeWatcher] { return storeWatcher->freshness(); },
        .changesAfter
        = [storeWatcher](const permits::StoreFreshness &peer, std::chrono::milliseconds minimumAge) { return storeWatcher->changesAfter(peer, minimumAge); },
        .recordPeerReport
        = [storeWatcher](const permits::StoreReport &peer, support::BootClock::time_point receivedAt) { storeWatcher->recordPeerReport(peer, receivedAt); },
        .setWatchMode = [storeWatcher](WatchMode mode) { storeWatcher->setMode(mode); },
        .peakRouterCountChanged =
            [&service, slack = settings.retries.slack](std::size_t routers) {
                service.setRetryCapacity(retryBurstPerRouter(slack, routers));
            }};
    if (duties) {
        handlers.liveMembersChanged = [holder = duties->duties.runner->holder(), members = duties->members](const std::vector<membership::Member> &live) {
            members->set(live);
            holder->setMembers(live);
        };
        if (duties->metering) {
            handlers.joined = [metering = duties->metering](const std::string &secret) {
                metering->start(secret);
            };
        }
    }
    return std::make_shared<LoadPeerGroup>(context, service.pools(), std::move(options), makeSecretStore(client, segments), std::move(handlers));
}

/// Starts to take part in the duties. A router without peers is the only candidate.
void startDuties(const DutyParts &parts, const platform::NodeSettings &settings)
{
    if (parts.autoscaling) {
        parts.autoscaling->start();
    }
    parts.duties.runner->start();
    if (settings.firstPeerPort == 0) {
        parts.duties.runner->holder()->setMembers({{.instance = settings.instance, .dataCentre = settings.dataCentre}});
    }
}

int serve(const platform::NodeSettings &settings, const RouterProgram &program, const std::string &nodeFile, std::uint16_t metricsPort)
{
    support::returnFreedMemory();
    support::initializeLog({.processName = program.name,
        .instance = settings.instance.value(),
        .output = support::LogOutput::StandardOutput,
        .delivery = support::LogDelivery::Asynchronous});
    support::logBuild();
    support::WorkerPool workers(workerThreads);
    std::promise<void> drained;
    try {
        const std::shared_ptr<metering::UsageCounter> usage = makeUsageCounter(settings);
        RouterServiceOptions options = makeServiceOptions(settings, metricsPort);
        options.usage = usage;
        RouterService service(workers.context(), std::move(options), program.policy);
        const auto client = std::make_shared<platform::StoreClient>(workers.context(), platform::StoreClientOptions {.address = settings.store});
        const auto segments = makeSegmentArchive(workers.context(), service, settings, client);
        const std::optional<DutyParts> duties = makeDutyParts(workers.context(), service, settings, usage);
        const auto storeWatcher = std::make_shared<StoreWatcher>(workers.context(),
            makeStoreWatcherOptions(settings),
            makeStoreWatcherSources(client, settings),
            makeStoreWatcherHandlers(service, segments, duties ? duties->autoscaling : nullptr));
        const auto settingsWatcher
            = std::make_shared<NodeSettingsWatcher>(workers.context(), nodeFile, settings, [client, duties, &service](const platform::NodeSettings &changed) {
                  client->setAddress(changed.store);
                  if (duties) {
                      duties->duties.store->setAddress(changed.store);
                  }
                  service.setConfigurationLifetime(configurationLifetime(changed));
              });
        const auto peerGroup = makePeerGroup(workers.context(), service, settings, client, storeWatcher, segments, duties);
        support::onTerminationSignal(workers.context(), [&service, &drained, peerGroup, duties] {
            if (duties) {
                duties->duties.runner->release([] {});
            }
            if (peerGroup) {
                peerGroup->leave();
            }
            service.drain([&drained] { drained.set_value(); });
        });
        service.start();
        storeWatcher->start();
        segments->start();
        if (peerGroup) {
            peerGroup->start();
        } else {
            loadSegments(client, segments);
        }
        settingsWatcher->start();
        if (duties) {
            startDuties(*duties, settings);
        }
        drained.get_future().wait();
        if (duties && duties->autoscaling) {
            duties->autoscaling->stop();
        }
        if (duties && duties->metering) {
            duties->metering->stop();
        }
        workers.stop();
        workers.join();
    } catch (const boost::system::system_error &error) {
        support::log(support::Severity::Error, "could not start; check the listen addresses", {{"reason", error.what()}});
        support::flushLog();
        return support::toInt(support::ExitCode::Failure);
    }
    support::log(support::Severity::Info, "stopped");
    support::flushLog();
    return support::toInt(support::ExitCode::Success);
}

} // namespace

int runNodeProgram(const RouterProgram &program, const std::string &nodeFile, int argc, char **argv)
{
    CLI::App app(program.description + ", on the platform whose settings file is " + nodeFile, program.name);
    bool checkSettings = false;
    std::uint16_t metricsPort = 0;
    support::addSetting(app, "--metrics-port", metricsPort, "port on the callers' address for metrics; 0 means none");
    support::addCommonFlags(app, checkSettings);
    platform::NodeSettings settings;
    const auto readSettings = [&] {
        auto read = platform::readNodeFile(nodeFile);
        if (const auto *error = std::get_if<platform::NodeSettingsError>(&read)) {
            std::cerr << program.name << ": " << error->text << '\n';
            return support::ExitCode::InvalidSettings;
        }
        settings = std::get<platform::NodeSettings>(std::move(read));
        return support::ExitCode::Success;
    };
    return support::parseAndRun(app, argc, argv, checkSettings, {.check = readSettings, .run = [&] {
                                                                     return serve(settings, program, nodeFile, metricsPort);
                                                                 }});
}

} // namespace mulberrywall::router
