#include "Require.h"

#include "../lib/Permits/PeerRpcCodec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <cstdint>
#include <cstring>
#include <vector>

namespace
{

using namespace mulberrywall;
using namespace mulberrywall::permits;
using fuzz::require;

/// The reader limits of the peer server.
constexpr capnp::ReaderOptions readerOptions {.traversalLimitInWords = 1024 * 1024 / sizeof(capnp::word)};

void checkRequest(rpc::Request::Reader reader)
{
    const PermitRequest request = decode(reader);
    const auto unreachable = decodeUnreachable(reader);
    capnp::MallocMessageBuilder message;
    encode(request, unreachable, message.initRoot<rpc::Request>());
    const rpc::Request::Reader copy = message.getRoot<rpc::Request>().asReader();
    const PermitRequest decodedAgain = decode(copy);
    require(decodedAgain.submission.fingerprint == request.submission.fingerprint && decodedAgain.submission.prefixHash == request.submission.prefixHash
            && decodedAgain.submission.promptTokens == request.submission.promptTokens && decodedAgain.submission.purpose == request.submission.purpose,
        "encoding keeps the submission of a request");
    require(decodedAgain.submission.excludedEndpoints.size() == request.submission.excludedEndpoints.size(), "encoding keeps the number of excluded endpoints");
    require(decodeUnreachable(copy).size() == unreachable.size(), "encoding keeps the number of unreachable owners");
}

void checkReregistration(rpc::Adoption::Reader reader)
{
    const PoolReregistration reregistration = decode(reader);
    capnp::MallocMessageBuilder message;
    encode(reregistration, message.initRoot<rpc::Adoption>());
    require(decode(message.getRoot<rpc::Adoption>().asReader()).requests.size() == reregistration.requests.size(),
        "encoding keeps the number of re-registered requests");
}

void checkAnswer(rpc::Answer::Reader reader)
{
    switch (reader.which()) {
    case rpc::Answer::GRANTED: {
        const configuration::Endpoint endpoint = decode(reader.getGranted().getEndpoint());
        capnp::MallocMessageBuilder message;
        encode(endpoint, message.initRoot<rpc::Endpoint>());
        const auto decodedAgain = decode(message.getRoot<rpc::Endpoint>().asReader());
        require(decodedAgain.port == endpoint.port && decodedAgain.support == endpoint.support,
            "encoding keeps the port and the supported features of an endpoint");
        break;
    }
    case rpc::Answer::REFUSED: {
        const auto reason = fromWire(reader.getRefused().getReason());
        require(fromWire(toWire(reason)) == reason, "encoding keeps a rejection reason");
        break;
    }
    case rpc::Answer::MOVED:
        (void)reader.getMoved().size();
        break;
    }
}

void readMessage(std::uint8_t kind, kj::ArrayPtr<const capnp::word> words)
{
    capnp::FlatArrayMessageReader message(words, readerOptions);
    switch (kind % 4) {
    case 0:
        checkRequest(message.getRoot<rpc::Request>());
        break;
    case 1:
        checkReregistration(message.getRoot<rpc::Adoption>());
        break;
    case 2:
        checkAnswer(message.getRoot<rpc::Answer>());
        break;
    default: {
        const auto outcome = fromWire(message.getRoot<rpc::Permit::FinishParams>().getOutcome());
        require(fromWire(toWire(outcome)) == outcome, "encoding keeps an outcome");
    }
    }
}

} // namespace

/// Guards against messages of a peer that crash the process, or that change when they are decoded and encoded again. The
/// first byte of an input selects the type of the message.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer prescribes the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size <= sizeof(capnp::word)) {
        return 0;
    }
    std::vector<capnp::word> words((size - 1) / sizeof(capnp::word));
    std::memcpy(words.data(), data + 1, words.size() * sizeof(capnp::word));
    // The decoder throws on malformed messages; the server fails the call with that exception.
    (void)kj::runCatchingExceptions([&] { readMessage(data[0], kj::arrayPtr(words.data(), words.size())); });
    return 0;
}
