#include "mulberrywall/Configuration/Revision.h"
#include "mulberrywall/Configuration/Delta.h"
#include "mulberrywall/Configuration/Diff.h"
#include "mulberrywall/Configuration/Reader.h"

#include <gtest/gtest.h>

namespace mulberrywall::configuration
{

namespace
{

std::vector<SiteConfiguration> exampleSites()
{
    const std::string directory = EXAMPLES_DIR;
    const std::vector<std::string> overlays {directory + "/dc-a.toml", directory + "/dc-b.toml", directory + "/dc-c.toml"};
    auto sites = readSites(directory + "/base.toml", overlays);
    return sites ? std::move(*sites) : std::vector<SiteConfiguration>();
}

Revision exampleRevision()
{
    Revision revision {.number = 7, .basedOn = 6, .pushId = "abc", .sites = exampleSites()};
    for (SiteConfiguration &site : revision.sites) {
        site.revision = 7;
    }
    return revision;
}

// Guards against a field that is missing from the JSON of a revision row or of a peer's response.
TEST(RevisionTest, JsonRoundTripKeepsEveryField)
{
    const Revision revision = exampleRevision();
    ASSERT_EQ(revision.sites.size(), 3U);
    const auto parsed = revisionFromJson(toJson(revision));
    ASSERT_TRUE(parsed);
    EXPECT_EQ(*parsed, revision);
    const auto site = siteFromJson(toJson(revision.sites.at(1)));
    ASSERT_TRUE(site);
    EXPECT_EQ(*site, revision.sites.at(1));
}

// Guards against a malformed or malicious document from a peer that is accepted or terminates the process.
TEST(RevisionTest, RejectsMalformedJson)
{
    const std::string text = toJson(exampleRevision());
    for (std::size_t length = 0; length < text.size(); length += 37) {
        EXPECT_FALSE(revisionFromJson(text.substr(0, length))) << length;
    }
    for (const auto &[from, to] : std::vector<std::pair<std::string, std::string>> {
             {"\"tier\":0", "\"tier\":9"}, {"\"atlas\"", "\"titan\""}, {"\"port\":7101", "\"port\":7102"}, {"\"revision\":7", "\"revision\":-7"}}) {
        std::string damaged = text;
        const std::size_t position = damaged.find(from);
        ASSERT_NE(position, std::string::npos) << from;
        EXPECT_FALSE(revisionFromJson(damaged.replace(position, from.size(), to))) << from;
    }
}

// Guards against an older router that rejects a revision because a newer release wrote an additional member.
TEST(RevisionTest, IgnoresUnknownMembers)
{
    std::string text = toJson(exampleRevision());
    text.insert(1, "\"future\":{\"x\":1},");
    EXPECT_TRUE(revisionFromJson(text));
}

// Guards against a delta whose result differs from the stored revision, and against a delta that is applied to the wrong
// revision.
TEST(DeltaTest, AppliedDeltaEqualsLaterRevision)
{
    const Revision before = exampleRevision();
    Revision after = before;
    after.number = 8;
    after.basedOn = 7;
    after.pushId = "next";
    for (SiteConfiguration &site : after.sites) {
        site.revision = 8;
        site.classes.at(0).tier = 5;
        site.organisations.erase(site.organisations.begin());
    }
    for (const bool isSameEverywhere : {true, false}) {
        if (!isSameEverywhere) {
            after.sites.at(1).endpoints.at(0).port = 9;
        }
        const auto delta = renderDelta(before, after);
        ASSERT_TRUE(delta);
        EXPECT_LT(delta->size(), toJson(after).size() / 2);
        const auto result = applyDelta(before, *delta);
        ASSERT_TRUE(result);
        EXPECT_EQ(*result, after);
        EXPECT_FALSE(applyDelta(after, *delta));
        Revision other = before;
        other.sites.at(0).pools.at(0).queueLimit = 1;
        EXPECT_FALSE(applyDelta(other, *delta));
        EXPECT_FALSE(applyDelta(before, delta->substr(0, delta->size() / 2)));
    }
    after.sites.pop_back();
    EXPECT_FALSE(renderDelta(before, after));
}

// Guards against changes that are not shown to the operator before they are applied.
TEST(DiffTest, ListsEachChangeOnce)
{
    const std::vector<SiteConfiguration> before = exampleSites();
    EXPECT_EQ(diffSites(before, before), "");
    std::vector<SiteConfiguration> after = before;
    for (SiteConfiguration &site : after) {
        site.classes.at(0).tier = 5;
    }
    after.at(1).endpoints.erase(after.at(1).endpoints.begin());
    after.at(2).pools.at(0).queueLimit = 9;
    after.at(2).organisations.at(0).weight = 0.05;
    const std::string expected = "all: ~ classes." + before.at(0).classes.at(0).id.value() + ".tier: 1 -> 5\n" + "dc-b: - endpoints.engine-7105\n"
        + "dc-c: ~ organisations.harbour.weight: 2 -> 0.05\n" + "dc-c: ~ pools.atlas.queue-limit: 128 -> 9\n";
    EXPECT_EQ(diffSites(before, after), expected);
    EXPECT_NE(diffSites({}, before).find("+ site"), std::string::npos);
}

} // namespace

} // namespace mulberrywall::configuration
