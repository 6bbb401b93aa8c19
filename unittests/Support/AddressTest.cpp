#include "mulberrywall/Support/Address.h"

#include <gtest/gtest.h>

namespace mulberrywall::support
{

// Guards against a validator that accepts addresses that cannot be used or rejects addresses that can.
TEST(AddressTest, ChecksAddressAndPort)
{
    EXPECT_EQ(checkAddress("127.0.0.1:7000"), "");
    EXPECT_EQ(checkAddress("[::1]:7000"), "");
    for (const char *text : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:7x", "localhost:7000", "::1"}) {
        EXPECT_NE(checkAddress(text).find("is not an address"), std::string::npos) << text;
    }
}

// Guards against port 0 in an address to connect to, where it has no meaning.
TEST(AddressTest, AcceptsPortZeroForListenersOnly)
{
    EXPECT_NE(checkAddress("127.0.0.1:0"), "");
    EXPECT_EQ(checkListenAddress("127.0.0.1:0"), "");
}

} // namespace mulberrywall::support
