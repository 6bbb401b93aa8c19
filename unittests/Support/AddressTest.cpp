#include "mulberrywall/Support/Address.h"

#include <gtest/gtest.h>

namespace mulberrywall::support
{

// Guards against addresses that pass the check of the settings and fail later, or the other way round.
TEST(AddressTest, ChecksAddressAndPort)
{
    EXPECT_EQ(checkAddress("127.0.0.1:7000"), "");
    EXPECT_EQ(checkAddress("[::1]:7000"), "");
    for (const char *text : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:7x", "localhost:7000", "::1"}) {
        EXPECT_NE(checkAddress(text).find("is no address"), std::string::npos) << text;
    }
}

// Guards against a port of 0 in an address to connect to, where it has no meaning.
TEST(AddressTest, PortZeroIsForListenersOnly)
{
    EXPECT_NE(checkAddress("127.0.0.1:0"), "");
    EXPECT_EQ(checkListenAddress("127.0.0.1:0"), "");
}

} // namespace mulberrywall::support
