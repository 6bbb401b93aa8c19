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

/// As the peer server reads its messages.
constexpr capnp::ReaderOptions readerOptions {.traversalLimitInWords = 1024 * 1024 / sizeof(capnp::word)};

void checkRequest(rpc::Request::Reader reader)
{
    const PermitRequest request = decode(reader);
    const auto unreachable = decodeUnreachable(reader);
    capnp::MallocMessageBuilder message;
    encode(request, unreachable, message.initRoot<rpc::Request>());
    const rpc::Request::Reader copy = message.getRoot<rpc::Request>().asReader();
    const PermitRequest again = decode(copy);
    require(again.submission.fingerprint == request.submission.fingerprint && again.submission.prefixHash == request.submission.prefixHash
            && again.submission.promptTokens == request.submission.promptTokens && again.submission.purpose == request.submission.purpose,
        "a decoded request can be sent on");
    require(again.submission.excludedEndpoints.size() == request.submission.excludedEndpoints.size(), "excluded endpoints are kept");
    require(decodeUnreachable(copy).size() == unreachable.size(), "unreachable owners are kept");
}

void checkAdoption(rpc::Adoption::Reader reader)
{
    const PoolReregistration adoption = decode(reader);
    capnp::MallocMessageBuilder message;
    encode(adoption, message.initRoot<rpc::Adoption>());
    require(decode(message.getRoot<rpc::Adoption>().asReader()).requests.size() == adoption.requests.size(), "adopted requests are kept");
}

void checkAnswer(rpc::Answer::Reader reader)
{
    switch (reader.which()) {
    case rpc::Answer::GRANTED: {
        const configuration::Endpoint endpoint = decode(reader.getGranted().getEndpoint());
        capnp::MallocMessageBuilder message;
        encode(endpoint, message.initRoot<rpc::Endpoint>());
        const auto again = decode(message.getRoot<rpc::Endpoint>().asReader());
        require(again.port == endpoint.port && again.support == endpoint.support, "an endpoint is kept");
        break;
    }
    case rpc::Answer::REFUSED: {
        const auto reason = fromWire(reader.getRefused().getReason());
        require(fromWire(toWire(reason)) == reason, "a reason is kept");
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
        checkAdoption(message.getRoot<rpc::Adoption>());
        break;
    case 2:
        checkAnswer(message.getRoot<rpc::Answer>());
        break;
    default: {
        const auto outcome = fromWire(message.getRoot<rpc::Permit::FinishParams>().getOutcome());
        require(fromWire(toWire(outcome)) == outcome, "an outcome is kept");
    }
    }
}

} // namespace

/// Guards against messages of a peer that end the process, or that the decoder changes. The first byte names the kind.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer prescribes the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size <= sizeof(capnp::word)) {
        return 0;
    }
    std::vector<capnp::word> words((size - 1) / sizeof(capnp::word));
    std::memcpy(words.data(), data + 1, words.size() * sizeof(capnp::word));
    // The server ends a call by the exception that the decoder throws.
    (void)kj::runCatchingExceptions([&] { readMessage(data[0], kj::arrayPtr(words.data(), words.size())); });
    return 0;
}
