#include "mulberrywall/Membership/Authenticator.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace mulberrywall::membership
{

namespace
{

using Tag = std::array<std::uint8_t, EVP_MAX_MD_SIZE>;

Tag computeTag(std::span<const std::uint8_t> payload, const std::string &secret)
{
    Tag tag {};
    unsigned size = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), payload.data(), payload.size(), tag.data(), &size);
    return tag;
}

} // namespace

void appendTag(std::vector<std::uint8_t> &datagram, const std::string &secret)
{
    const Tag tag = computeTag(datagram, secret);
    datagram.insert(datagram.end(), tag.begin(), tag.begin() + tagBytes);
}

std::optional<std::span<const std::uint8_t>> verifyTag(std::span<const std::uint8_t> datagram, const std::string &secret)
{
    if (datagram.size() < tagBytes) {
        return std::nullopt;
    }
    const auto payload = datagram.first(datagram.size() - tagBytes);
    const Tag tag = computeTag(payload, secret);
    if (CRYPTO_memcmp(tag.data(), datagram.data() + payload.size(), tagBytes) != 0) {
        return std::nullopt;
    }
    return payload;
}

} // namespace mulberrywall::membership
