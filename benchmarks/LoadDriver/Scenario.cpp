#include "Scenario.h"

#include "mulberrywall/Router/CallerRequest.h"

#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <numbers>
#include <random>
#include <stdexcept>

namespace mulberrywall::load
{

namespace
{

using RandomEngine = std::mt19937_64;

constexpr double burstShareOfPeriod = 0.25;

/// Throws std::runtime_error if the table has an entry that is not listed, so that misspelt names are detected.
void checkEntryNames(const toml::table &table, std::initializer_list<std::string_view> allowedNames)
{
    for (const auto &[name, value] : table) {
        if (std::find(allowedNames.begin(), allowedNames.end(), name.str()) == allowedNames.end()) {
            throw std::runtime_error("unknown entry '" + std::string(name.str()) + "' in line " + std::to_string(name.source().begin.line));
        }
    }
}

LengthDistribution readLength(const toml::table &table, std::string_view name, LengthDistribution length)
{
    const toml::table *entry = table[name].as_table();
    if (entry == nullptr) {
        throw std::runtime_error("missing table '" + std::string(name) + "' in [[traffic]]");
    }
    checkEntryNames(*entry, {"median", "sigma", "straggler-share", "straggler-factor", "maximum"});
    length.median = (*entry)["median"].value_or(length.median);
    length.sigma = (*entry)["sigma"].value_or(length.sigma);
    length.stragglerShare = (*entry)["straggler-share"].value_or(length.stragglerShare);
    length.stragglerFactor = (*entry)["straggler-factor"].value_or(length.stragglerFactor);
    length.maximum = (*entry)["maximum"].value_or(length.maximum);
    return length;
}

ArrivalPattern readPattern(const std::string &name)
{
    if (name == "steady") {
        return ArrivalPattern::Steady;
    }
    if (name == "burst") {
        return ArrivalPattern::Burst;
    }
    if (name == "swing") {
        return ArrivalPattern::Swing;
    }
    throw std::runtime_error("unknown pattern '" + name + "'; use steady, burst or swing");
}

Traffic readTraffic(const toml::table &table)
{
    checkEntryNames(table,
        {"class",
            "key",
            "model",
            "service",
            "idempotency-keys",
            "short",
            "rate",
            "pattern",
            "period-s",
            "peak",
            "prompt-bytes",
            "output-tokens",
            "shared-prefixes",
            "shared-prefix-bytes",
            "first-token-ms",
            "between-tokens-ms",
            "completion-ms"});
    Traffic traffic;
    traffic.requestClass = table["class"].value_or(std::string());
    traffic.key = table["key"].value_or(std::string());
    traffic.model = table["model"].value_or(traffic.model);
    traffic.service = table["service"].value_or(traffic.service);
    traffic.idempotencyKeys = table["idempotency-keys"].value_or(false) ? IdempotencyKeyMode::OnePerCall : IdempotencyKeyMode::None;
    traffic.shortWork = table["short"].value_or(traffic.shortWork);
    traffic.rate = table["rate"].value_or(traffic.rate);
    traffic.pattern = readPattern(table["pattern"].value_or(std::string("steady")));
    traffic.period = std::chrono::duration<double>(table["period-s"].value_or(traffic.period.count()));
    traffic.peak = table["peak"].value_or(traffic.peak);
    traffic.promptBytes = readLength(table, "prompt-bytes", {});
    if (traffic.service.empty()) {
        traffic.outputTokens = readLength(table, "output-tokens", {});
    }
    traffic.sharedPrefixes = table["shared-prefixes"].value_or(traffic.sharedPrefixes);
    traffic.sharedPrefixBytes = table["shared-prefix-bytes"].value_or(traffic.sharedPrefixBytes);
    traffic.firstTokenTarget = std::chrono::duration<double, std::milli>(table["first-token-ms"].value_or(traffic.firstTokenTarget.count()));
    traffic.betweenTokensTarget = std::chrono::duration<double, std::milli>(table["between-tokens-ms"].value_or(traffic.betweenTokensTarget.count()));
    traffic.completionTarget = std::chrono::duration<double, std::milli>(table["completion-ms"].value_or(traffic.completionTarget.count()));
    return traffic;
}

FaultAction readAction(const std::string &name)
{
    static const std::map<std::string, FaultAction> actions {{"slow-engines", FaultAction::SlowEngines},
        {"restore-engines", FaultAction::RestoreEngines},
        {"kill-engine", FaultAction::KillEngine},
        {"restart-engine", FaultAction::RestartEngine},
        {"kill-owner", FaultAction::KillOwner},
        {"restart-owner", FaultAction::RestartOwner}};
    const auto found = actions.find(name);
    if (found == actions.end()) {
        throw std::runtime_error("unknown fault action '" + name + "'");
    }
    return found->second;
}

Fault readFault(const toml::table &table)
{
    checkEntryNames(table, {"set", "at-s", "action", "engines", "factor"});
    Fault fault;
    fault.set = table["set"].value_or(std::string());
    fault.time = std::chrono::duration<double>(table["at-s"].value_or(0.0));
    fault.action = readAction(table["action"].value_or(std::string()));
    fault.engines = table["engines"].value_or(fault.engines);
    fault.factor = table["factor"].value_or(fault.factor);
    return fault;
}

std::string bearerKeyOf(const std::string &organisation)
{
    return organisation + "-key";
}

/// Sets tier and idempotency of each traffic from the configuration of its class, and adds the scenario's organisations to
/// the configuration.
void applyClasses(Scenario &scenario)
{
    const toml::table document = toml::parse(scenario.deployment.classes);
    const toml::table &classes = *document["classes"].as_table();
    for (Traffic &traffic : scenario.traffic) {
        const toml::table *entry = classes[traffic.requestClass].as_table();
        if (entry == nullptr) {
            throw std::runtime_error("the deployment has no class '" + traffic.requestClass + "'");
        }
        traffic.tier = (*entry)["tier"].value_or(traffic.tier);
        traffic.nonIdempotent = (*entry)["idempotency"].value_or(std::string()) == "non-idempotent";
    }
    std::string allowed;
    for (const auto &[name, value] : classes) {
        allowed += (allowed.empty() ? "\"" : ", \"") + std::string(name.str()) + "\"";
    }
    for (const auto &[name, weight] : scenario.organisations) {
        scenario.deployment.furtherBase
            += "\n[organisations." + name + "]\nkey-hashes = [\"" + router::hashKey(bearerKeyOf(name)) + "\"]\nallowed-classes = [" + allowed + "]\n";
    }
}

std::vector<std::string> readTexts(const toml::table &table, std::string_view name)
{
    std::vector<std::string> texts;
    if (const toml::array *array = table[name].as_array()) {
        for (const toml::node &node : *array) {
            texts.push_back(node.value_or(std::string()));
        }
    }
    return texts;
}

harness::DeploymentOptions readDeployment(const toml::table &table)
{
    checkEntryNames(table,
        {"routers",
            "engines",
            "services",
            "service-delay-ms",
            "platform",
            "maximum-concurrency",
            "queue-limit",
            "classes",
            "engine-arguments",
            "router-arguments"});
    harness::DeploymentOptions options;
    options.routers = table["routers"].value_or(options.routers);
    options.engines = table["engines"].value_or(options.engines);
    options.services = table["services"].value_or(options.services);
    options.platform = table["platform"].value_or(false) ? harness::PlatformUse::Standin : harness::PlatformUse::None;
    options.maximumConcurrency = table["maximum-concurrency"].value_or(options.maximumConcurrency);
    options.queueLimit = table["queue-limit"].value_or(options.queueLimit);
    options.classes = table["classes"].value_or(options.classes);
    options.engineArguments = readTexts(table, "engine-arguments");
    options.routerArguments = readTexts(table, "router-arguments");
    return options;
}

/// Returns the factor for the base rate at a time in seconds after the start.
double rateFactorAt(const Traffic &traffic, double time)
{
    const double phase = std::fmod(time, traffic.period.count()) / traffic.period.count();
    switch (traffic.pattern) {
    case ArrivalPattern::Steady:
        return 1;
    case ArrivalPattern::Burst:
        return phase < burstShareOfPeriod ? traffic.peak : 1;
    case ArrivalPattern::Swing:
        return 1 + (traffic.peak - 1) * (1 - std::cos(2 * std::numbers::pi * phase)) / 2;
    }
    return 1;
}

/// Draws a length between 1 and the maximum.
std::size_t drawLength(const LengthDistribution &length, RandomEngine &random)
{
    double value = length.median * std::exp(length.sigma * std::normal_distribution<double>()(random));
    if (std::uniform_real_distribution<double>()(random) < length.stragglerShare) {
        value *= length.stragglerFactor;
    }
    return std::clamp(static_cast<std::size_t>(value), std::size_t {1}, length.maximum);
}

/// Returns a unique prompt that begins with one of the traffic's shared prefixes, if it has any.
std::string makePrompt(const Traffic &traffic, std::size_t number, RandomEngine &random)
{
    std::string prompt;
    if (traffic.sharedPrefixes > 0) {
        const std::string name = traffic.requestClass + " document " + std::to_string(random() % traffic.sharedPrefixes) + ". ";
        while (prompt.size() < traffic.sharedPrefixBytes) {
            prompt += name;
        }
        prompt.resize(traffic.sharedPrefixBytes);
    }
    const std::string question = traffic.requestClass + " question " + std::to_string(number) + ". ";
    const std::size_t size = prompt.size() + drawLength(traffic.promptBytes, random);
    do {
        prompt += question;
    } while (prompt.size() < size);
    return prompt;
}

/// Draws bearer keys of organisations with probabilities in proportion to the organisations' weights.
class OrganisationKeys
{
public:
    explicit OrganisationKeys(const std::map<std::string, double> &organisationWeights)
    {
        std::vector<double> weights;
        for (const auto &[name, weight] : organisationWeights) {
            keys_.push_back(bearerKeyOf(name));
            weights.push_back(weight);
        }
        choice_ = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
    }

    std::string draw(RandomEngine &random)
    {
        return keys_.empty() ? std::string(harness::acmeKey) : keys_[choice_(random)];
    }

private:
    std::vector<std::string> keys_;
    std::discrete_distribution<std::size_t> choice_;
};

/// Returns the mean of rateFactorAt over a whole period.
double meanRateFactor(const Traffic &traffic)
{
    switch (traffic.pattern) {
    case ArrivalPattern::Steady:
        return 1;
    case ArrivalPattern::Burst:
        return 1 + (traffic.peak - 1) * burstShareOfPeriod;
    case ArrivalPattern::Swing:
        return (1 + traffic.peak) / 2;
    }
    return 1;
}

} // namespace

Scenario readScenario(const std::string &file)
{
    toml::table table;
    try {
        table = toml::parse_file(file);
    } catch (const toml::parse_error &error) {
        throw std::runtime_error(file + ":" + std::to_string(error.source().begin.line) + ": " + std::string(error.description()));
    }
    checkEntryNames(table, {"seed", "duration-s", "timeout-ms", "deployment", "organisations", "traffic", "fault"});
    Scenario scenario;
    scenario.seed = table["seed"].value_or(scenario.seed);
    scenario.duration = std::chrono::duration<double>(table["duration-s"].value_or(scenario.duration.count()));
    scenario.timeout = std::chrono::milliseconds(table["timeout-ms"].value_or(scenario.timeout.count()));
    if (const toml::table *deployment = table["deployment"].as_table()) {
        scenario.deployment = readDeployment(*deployment);
        scenario.serviceDelay = std::chrono::milliseconds((*deployment)["service-delay-ms"].value_or(scenario.serviceDelay.count()));
    }
    const toml::array *traffic = table["traffic"].as_array();
    if (traffic == nullptr || traffic->empty()) {
        throw std::runtime_error(file + ": missing [[traffic]]");
    }
    for (const toml::node &node : *traffic) {
        scenario.traffic.push_back(readTraffic(*node.as_table()));
    }
    if (const toml::table *organisations = table["organisations"].as_table()) {
        for (const auto &[name, weight] : *organisations) {
            scenario.organisations[std::string(name.str())] = weight.value_or(1.0);
        }
    }
    if (const toml::array *faults = table["fault"].as_array()) {
        for (const toml::node &node : *faults) {
            scenario.faults.push_back(readFault(*node.as_table()));
        }
    }
    std::stable_sort(scenario.faults.begin(), scenario.faults.end(), [](const Fault &left, const Fault &right) { return left.time < right.time; });
    applyClasses(scenario);
    return scenario;
}

void selectFaults(Scenario &scenario, const std::string &set)
{
    std::erase_if(scenario.faults, [&](const Fault &fault) { return fault.set != set; });
    if (!set.empty() && scenario.faults.empty()) {
        throw std::runtime_error("the scenario has no faults in the set '" + set + "'");
    }
}

void keepTopTier(Scenario &scenario)
{
    std::erase_if(scenario.traffic, [](const Traffic &traffic) { return !traffic.service.empty(); });
    unsigned top = std::numeric_limits<unsigned>::max();
    for (const Traffic &traffic : scenario.traffic) {
        top = std::min(top, traffic.tier);
    }
    std::erase_if(scenario.traffic, [top](const Traffic &traffic) { return traffic.tier != top; });
}

void makeSteady(Scenario &scenario)
{
    for (Traffic &traffic : scenario.traffic) {
        traffic.rate *= meanRateFactor(traffic);
        traffic.pattern = ArrivalPattern::Steady;
    }
}

std::vector<Arrival> makeArrivals(const Scenario &scenario)
{
    std::vector<Arrival> arrivals;
    OrganisationKeys organisations(scenario.organisations);
    for (std::size_t index = 0; index < scenario.traffic.size(); ++index) {
        const Traffic &traffic = scenario.traffic[index];
        // Each traffic has its own random sequence, so that a change to one traffic does not change the requests of the others.
        RandomEngine random(scenario.seed + index);
        const double highest = traffic.rate * (traffic.pattern == ArrivalPattern::Steady ? 1 : std::max(traffic.peak, 1.0));
        std::exponential_distribution<double> gap(highest);
        for (double time = gap(random); time < scenario.duration.count(); time += gap(random)) {
            if (std::uniform_real_distribution<double>()(random) * highest < traffic.rate * rateFactorAt(traffic, time)) {
                std::string prompt = makePrompt(traffic, arrivals.size(), random);
                arrivals.push_back({.time = std::chrono::duration<double>(time),
                    .traffic = index,
                    .key = traffic.key.empty() ? organisations.draw(random) : traffic.key,
                    .prompt = std::move(prompt),
                    .outputTokens = traffic.service.empty() ? drawLength(traffic.outputTokens, random) : 0});
            }
        }
    }
    std::stable_sort(arrivals.begin(), arrivals.end(), [](const Arrival &left, const Arrival &right) { return left.time < right.time; });
    return arrivals;
}

} // namespace mulberrywall::load
