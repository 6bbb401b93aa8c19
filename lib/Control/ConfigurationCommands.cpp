#include "mulberrywall/Control/Commands.h"

#include "Blocking.h"

#include "mulberrywall/Configuration/Diff.h"
#include "mulberrywall/Configuration/Reader.h"
#include "mulberrywall/Configuration/RevisionStore.h"
#include "mulberrywall/Support/Ids.h"
#include "mulberrywall/Support/WorkerPool.h"

#include <algorithm>

namespace mulberrywall::control
{

namespace leaf = support::leaf;
using backingservices::ReadStatus;
using configuration::PushResult;
using configuration::PushStatus;
using configuration::Revision;
using configuration::RevisionHeadResult;
using configuration::RevisionResult;
using configuration::RevisionStore;
using configuration::SiteConfiguration;
using support::ExitCode;

namespace
{

/// Returns the site configurations in the files. If a file is invalid, prints the error and returns nothing.
std::optional<std::vector<SiteConfiguration>> readFiles(const ConfigurationFiles &files, const Console &console)
{
    using Sites = std::optional<std::vector<SiteConfiguration>>;
    return leaf::try_handle_all(
        [&]() -> support::Result<Sites> {
            BOOST_LEAF_AUTO(sites, configuration::readSites(files.basePath, files.overlayPaths));
            return Sites(std::move(sites));
        },
        [&](const support::ErrorMessage &message, const support::ErrorLocation &location) {
            if (!location.file.empty()) {
                console.errors << location.file << (location.line == 0 ? std::string() : ":" + std::to_string(location.line)) << ": ";
            }
            console.errors << message.text << '\n';
            return Sites();
        },
        [&] {
            console.errors << "cannot read the configuration; check the files\n";
            return Sites();
        });
}

/// The revision to which the head refers; null if none has been accepted yet.
struct ActiveRevision
{
    std::uint64_t number = 0;
    std::shared_ptr<const Revision> revision;

    [[nodiscard]] std::vector<SiteConfiguration> sites() const
    {
        return revision == nullptr ? std::vector<SiteConfiguration>() : revision->sites;
    }
};

/// Returns the active revision. If it cannot be read from the platform, prints the error and returns nothing.
std::optional<ActiveRevision> fetchActiveRevision(const RevisionStore &store, const Console &console)
{
    const auto head = await<RevisionHeadResult>([&store](auto handler) { store.fetchHead(std::move(handler)); });
    if (head.status == ReadStatus::Unavailable) {
        console.errors << "cannot read the head from the platform: " << head.detail << "; check --platform and try again\n";
        return std::nullopt;
    }
    if (head.status == ReadStatus::Absent) {
        return ActiveRevision {};
    }
    const std::uint64_t number = head.head.revision;
    auto revision = await<RevisionResult>([&store, number](auto handler) { store.fetchRevision(number, std::move(handler)); });
    if (revision.status != ReadStatus::Found) {
        console.errors << "cannot read revision " << number << " from the platform: " << revision.detail << "; try again\n";
        return std::nullopt;
    }
    return ActiveRevision {.number = number, .revision = std::move(revision.revision)};
}

/// Returns the data centre of a site that is in the active revision but not in the files, or an empty string.
std::string findRemovedSite(const ActiveRevision &activeRevision, const std::vector<SiteConfiguration> &sites)
{
    for (const SiteConfiguration &old : activeRevision.sites()) {
        const bool isKept = std::any_of(sites.begin(), sites.end(), [&old](const SiteConfiguration &site) { return site.dataCentre == old.dataCentre; });
        if (!isKept) {
            return old.dataCentre.value();
        }
    }
    return {};
}

ExitCode reportConflict(const ActiveRevision &activeRevision, std::uint64_t basedOn, const std::vector<SiteConfiguration> &sites, const Console &console)
{
    console.errors << "conflict: the files are based on revision " << basedOn << " and revision " << activeRevision.number
                   << " is active; merge its changes and apply with --based-on " << activeRevision.number << '\n';
    console.errors << "changes that your files would make to revision " << activeRevision.number << ":\n";
    console.errors << configuration::diffSites(activeRevision.sites(), sites);
    return ExitCode::Conflict;
}

ExitCode reportPush(const PushResult &result, const std::string &pushId, const Console &console)
{
    switch (result.status) {
    case PushStatus::Applied:
        console.output << "revision " << result.revision << " applied\n";
        return ExitCode::Success;
    case PushStatus::NotApplied:
        console.errors << "not applied: " << result.detail << "; check the platform and apply again\n";
        return ExitCode::Unreachable;
    case PushStatus::Unknown:
        console.errors << "outcome unknown: " << result.detail << "; apply again with --push-id " << pushId << " to determine the outcome\n";
        return ExitCode::Failure;
    case PushStatus::Conflict:
        return ExitCode::Conflict;
    }
    return ExitCode::Failure;
}

} // namespace

ExitCode validate(const ConfigurationFiles &files, const Console &console)
{
    const auto sites = readFiles(files, console);
    if (!sites) {
        return ExitCode::InvalidConfiguration;
    }
    for (const SiteConfiguration &site : *sites) {
        console.output << site.dataCentre << ": valid, " << site.classes.size() << " classes, " << site.organisations.size() << " organisations, "
                       << site.pools.size() << " pools, " << site.endpoints.size() << " endpoints\n";
    }
    return ExitCode::Success;
}

ExitCode diff(const DiffOptions &options, const Console &console)
{
    const auto sites = readFiles(options.files, console);
    if (!sites) {
        return ExitCode::InvalidConfiguration;
    }
    support::WorkerPool pool(1);
    const RevisionStore store(pool.context().get_executor(), options.platform);
    const auto activeRevision = fetchActiveRevision(store, console);
    if (!activeRevision) {
        return ExitCode::Unreachable;
    }
    const std::string changes = configuration::diffSites(activeRevision->sites(), *sites);
    console.output << "changes to revision " << activeRevision->number << (changes.empty() ? ": none\n" : ":\n") << changes;
    return ExitCode::Success;
}

ExitCode apply(const ApplyOptions &options, const Console &console)
{
    const auto sites = readFiles(options.files, console);
    if (!sites) {
        return ExitCode::InvalidConfiguration;
    }
    support::WorkerPool pool(1);
    const RevisionStore store(pool.context().get_executor(), options.platform);
    const auto activeRevision = fetchActiveRevision(store, console);
    if (!activeRevision) {
        return ExitCode::Unreachable;
    }
    // Handles the common case, in which the active revision is the result of this push. RevisionStore::push detects an
    // older revision of this push.
    const bool isOwnPushActive = activeRevision->revision != nullptr && !options.pushId.empty() && activeRevision->revision->pushId == options.pushId;
    if (isOwnPushActive) {
        console.output << "revision " << activeRevision->number << " applied\n";
        return ExitCode::Success;
    }
    const std::uint64_t basedOn = options.basedOn.value_or(activeRevision->number);
    const std::string changes = configuration::diffSites(activeRevision->sites(), *sites);
    if (basedOn == activeRevision->number && changes.empty()) {
        console.output << "revision " << activeRevision->number << " has no differences; nothing applied\n";
        return ExitCode::Success;
    }
    const std::string removedSite = findRemovedSite(*activeRevision, *sites);
    if (!removedSite.empty() && options.siteRemoval == SiteRemoval::Reject) {
        console.errors << "the files lack data centre \"" << removedSite
                       << "\", which is in the active revision; add its overlay or pass --allow-site-removal\n";
        return ExitCode::InvalidConfiguration;
    }
    const std::string pushId = options.pushId.empty() ? support::makeRandomId() : options.pushId;
    const auto result = await<PushResult>([&](auto handler) {
        store.push({.basedOn = basedOn, .pushId = pushId, .sites = *sites, .base = activeRevision->revision, .timeout = options.timeout}, std::move(handler));
    });
    if (result.status == PushStatus::Conflict) {
        const auto winner = fetchActiveRevision(store, console);
        return winner ? reportConflict(*winner, basedOn, *sites, console) : ExitCode::Conflict;
    }
    if (result.status == PushStatus::Applied) {
        console.output << changes;
    }
    return reportPush(result, pushId, console);
}

} // namespace mulberrywall::control
