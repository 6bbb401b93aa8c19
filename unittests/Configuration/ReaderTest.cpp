#include "mulberrywall/Configuration/Reader.h"

#include <gtest/gtest.h>

#include <string>

namespace mulberrywall::configuration
{

namespace
{

constexpr std::string_view validBase = R"([defaults.endpoints]
maximum-concurrency = 8
[classes.interactive]
tier = 0
first-token = "1900ms"
[organisations.harbour]
key-hashes = ["0000000000000000000000000000000000000000000000000000000000000000"]
allowed-classes = ["interactive"]
[pools.atlas]
kind = "model-engine"
)";

constexpr std::string_view validOverlay = R"(data-centre = "dc-a"
[endpoints.engine-1]
address = "127.0.0.1"
port = 7101
pools = ["atlas"]
)";

struct Failure
{
    std::string text;
    std::string file;
    unsigned line = 0;
};

Failure failureOf(std::string_view base, std::string_view overlay)
{
    return support::leaf::try_handle_all(
        [&]() -> support::Result<Failure> {
            BOOST_LEAF_CHECK(readSiteText({"base.toml", base}, {"site.toml", overlay}));
            return Failure {.text = "no error"};
        },
        [](const support::ErrorMessage &message, const support::ErrorLocation &location) {
            return Failure {.text = message.text, .file = location.file, .line = location.line};
        },
        [] { return Failure {.text = "error without message and location"}; });
}

std::string replaced(std::string_view text, std::string_view from, std::string_view to)
{
    std::string result(text);
    const std::size_t position = result.find(from);
    EXPECT_NE(position, std::string::npos) << from;
    return result.replace(position, from.size(), to);
}

struct InvalidInput
{
    std::string base;
    std::string overlay;
    std::string expectedText;
    std::string expectedFile;
    unsigned expectedLine = 0;
};

void expectFailure(const InvalidInput &input)
{
    const Failure failure = failureOf(input.base, input.overlay);
    EXPECT_NE(failure.text.find(input.expectedText), std::string::npos) << failure.text;
    EXPECT_EQ(failure.file, input.expectedFile) << failure.text;
    EXPECT_EQ(failure.line, input.expectedLine) << failure.text;
}

void expectBaseFailure(std::string_view from, std::string_view to, std::string_view text, unsigned line)
{
    expectFailure({replaced(validBase, from, to), std::string(validOverlay), std::string(text), "base.toml", line});
}

void expectOverlayFailure(std::string_view from, std::string_view to, std::string_view text, unsigned line)
{
    expectFailure({std::string(validBase), replaced(validOverlay, from, to), std::string(text), "site.toml", line});
}

// Guards against example files that the reader rejects or reads with wrong values.
TEST(ReaderTest, ReadsExamples)
{
    const std::string directory = EXAMPLES_DIR;
    const std::vector<std::string> overlays {directory + "/dc-c.toml", directory + "/dc-a.toml", directory + "/dc-b.toml"};
    const auto sites = readSites(directory + "/base.toml", overlays);
    ASSERT_TRUE(sites);
    ASSERT_EQ(sites->size(), 3U);
    EXPECT_EQ(sites->at(0).dataCentre.value(), "dc-a");
    EXPECT_EQ(sites->at(0).endpoints.size() + sites->at(1).endpoints.size() + sites->at(2).endpoints.size(), 13U);
    EXPECT_EQ(findClass(sites->at(0), support::ClassId("interactive"))->targets.timeToFirstToken, std::chrono::milliseconds(1'900));
    EXPECT_EQ(findClass(sites->at(0), support::ClassId("ledger-write"))->idempotency, Idempotency::NonIdempotent);
    EXPECT_EQ(findClass(sites->at(0), support::ClassId("report"))->minimumShare, 0.05);
    EXPECT_EQ(findClass(sites->at(1), support::ClassId("report"))->minimumShare, 0.10);
    EXPECT_EQ(findEndpoint(sites->at(2), support::EndpointId("engine-7108"))->maximumConcurrency, 6U);
    EXPECT_EQ(findEndpoint(sites->at(2), support::EndpointId("service-7203"))->maximumConcurrency, 32U);
    EXPECT_TRUE(findEndpoint(sites->at(0), support::EndpointId("engine-7101"))->support.checksFencing);
    EXPECT_FALSE(findEndpoint(sites->at(0), support::EndpointId("engine-7102"))->support.checksFencing);
}

// Guards against a misspelt key that is silently ignored.
TEST(ReaderTest, RejectsUnknownKeys)
{
    expectBaseFailure("tier = 0", "tier = 0\nteir = 1", "unknown key classes.interactive.teir", 5);
    expectBaseFailure("[defaults.endpoints]", "[defaults.endpoint]", "unknown key \"defaults.endpoint\"", 1);
    expectBaseFailure("maximum-concurrency", "maximum-concurency", "unknown key defaults.endpoints.maximum-concurency", 2);
    expectOverlayFailure("[endpoints.engine-1]", "[endpoint.engine-1]", "unknown key \"endpoint\"", 2);
    expectBaseFailure("[defaults.endpoints]", "[endpoints.x]", "belongs in the overlay", 1);
}

// Guards against a number that is read in another unit than the operator intended.
TEST(ReaderTest, RejectsWrongTypesAndUnits)
{
    expectBaseFailure("\"1900ms\"", "1900", "must be a duration with a unit", 5);
    expectBaseFailure("\"1900ms\"", "\"1900m\"", "has the unit \"m\"", 5);
    expectBaseFailure("\"1900ms\"", "\"1900\"", "has the unit \"\"", 5);
    expectBaseFailure("tier = 0", "tier = 0.5", "must be a whole number", 4);
    expectBaseFailure("[\"interactive\"]", "\"interactive\"", "must be an array of strings", 8);
    expectBaseFailure("\"model-engine\"", "\"engine\"", "must be \"model-engine\" or \"plain-service\"", 10);
    expectOverlayFailure("\"dc-a\"", "1", "data-centre must be a string", 1);
    expectOverlayFailure("port = 7101", "port =", "cannot parse", 4);
}

// Guards against references to items that are not declared in any file.
TEST(ReaderTest, RejectsDanglingReferences)
{
    expectBaseFailure("[\"interactive\"]", "[\"interactive\", \"summary\"]", "names class \"summary\"", 8);
    expectOverlayFailure("[\"atlas\"]", "[\"titan\"]", "names pool \"titan\"", 5);
    expectOverlayFailure("[endpoints", "[pools.titan]\nqueue-limit = 9\n[endpoints", "is not declared in the base", 2);
}

// Guards against two items with the same id or address, and one API key for two organisations.
TEST(ReaderTest, RejectsDuplicates)
{
    const std::string secondClass = "[classes.interactive]\ntier = 1\n[organisations.harbour]";
    expectBaseFailure("[organisations.harbour]", secondClass, "cannot parse", 6);
    const std::string zeros(64, '0');
    const std::string secondKey = "[organisations.zenith]\nkey-hashes = [\"" + zeros + "\"]\nallowed-classes = [\"interactive\"]\n[pools.atlas]";
    expectBaseFailure("[pools.atlas]", secondKey, "contains a key of organisation \"harbour\"", 10);
    const std::string secondEndpoint = "[endpoints.engine-2]\naddress = \"127.0.0.1\"\nport = 7101\npools = [\"atlas\"]\n[endpoints.engine-1]";
    expectOverlayFailure("[endpoints.engine-1]", secondEndpoint, "is taken by endpoint \"engine-1\"", 4);
    expectOverlayFailure("[\"atlas\"]", "[\"atlas\", \"atlas\"]", "contains \"atlas\" twice", 5);
}

// Guards against values that other parts of the router cannot handle.
TEST(ReaderTest, RejectsValuesOutOfRange)
{
    expectBaseFailure("tier = 0", "tier = 8", "use a value from 0 to 7", 4);
    expectBaseFailure("tier = 0", "tier = -1", "use a value from 0 to 7", 4);
    expectBaseFailure("\"1900ms\"", "\"0ms\"", "use a value from 1ms", 5);
    expectBaseFailure("\"1900ms\"", "\"99999999999999999999s\"", "must be a duration", 5);
    expectBaseFailure("tier = 0", "tier = 0\nminimum-share = 1.5", "use a value from 0 to 1", 5);
    expectBaseFailure("tier = 0", "tier = 0\nminimum-share = nan", "must be a number", 5);
    expectBaseFailure("tier = 0", "tier = 0\nidempotency = \"non-idempotent\"\nhedge-budget-percent = 1", "must be 0 for a non-idempotent class", 6);
    expectBaseFailure("first-token = \"1900ms\"", "", "has no target", 3);
    expectBaseFailure("first-token = \"1900ms\"", "first-token = \"2s\"\ncompletion = \"2s\"", "cannot be combined", 6);
    expectOverlayFailure("7101", "70000", "use a value from 1 to 65535", 4);
    expectOverlayFailure("127.0.0.1", "localhost", "use an IP address", 3);
    expectOverlayFailure("port = 7101", "", "endpoints.engine-1.port is missing", 2);
}

// Guards against overlays that repeat a value of the base, which would hide a later change of the base.
TEST(ReaderTest, RejectsOverlayThatRepeatsTheBase)
{
    expectOverlayFailure("[endpoints", "[classes.interactive]\nfirst-token = \"1900ms\"\n[endpoints", "repeats the base's value", 3);
    expectOverlayFailure("[endpoints", "[classes.interactive]\nretry-budget-percent = 10\n[endpoints", "repeats the base's value", 3);
    expectOverlayFailure("[endpoints", "[defaults.endpoints]\nmaximum-concurrency = 8\n[endpoints", "repeats the base's value", 3);
    expectOverlayFailure("port = 7101", "port = 7101\nmaximum-concurrency = 8", "repeats the base's value", 5);
    expectOverlayFailure("[endpoints", "[classes.interactive]\n[endpoints", "changes nothing", 2);
}

} // namespace

} // namespace mulberrywall::configuration
