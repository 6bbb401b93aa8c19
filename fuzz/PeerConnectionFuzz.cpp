#include "Alarm.h"
#include "Require.h"

#include "mulberrywall/Permits/PeerRpc.h"
#include "mulberrywall/Support/Log.h"
#include "mulberrywall/Support/WorkerPool.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <cstdint>

namespace
{

using namespace mulberrywall;
using namespace mulberrywall::permits;
using boost::asio::ip::tcp;
using fuzz::require;

std::shared_ptr<PeerRpc> startRouter(boost::asio::io_context &context)
{
    PeerRpcHandlers handlers {
        .acquire = [](const PermitRequest &request, const std::vector<support::InstanceId> &, const OwnerAnswerHandler &handler) -> AcquireTicket {
            handler(PermitRejection {.reason = policy::RejectionReason::Shed, .detail = request.pool.value()});
            return nullptr;
        },
        .reregister = [](const support::InstanceId &, const std::vector<PoolReregistration> &pools) { return std::vector<ReregistrationResult>(pools.size()); },
        .fetchConfiguration = [](std::uint64_t minimumRevision) -> std::optional<ConfigurationDocument> {
            return minimumRevision > 7 ? std::nullopt : std::optional(ConfigurationDocument {.revision = 7, .json = "{}"});
        },
    };
    return PeerRpc::create(
        context, {.listen = {boost::asio::ip::address_v4::loopback(), 0}, .secret = "secret", .instance = support::InstanceId("self")}, std::move(handlers));
}

} // namespace

/// Guards against input on the peer port that crashes the process, and against a router that keeps a connection open, or
/// permits or pending calls of it, after the peer has closed its sending side.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer prescribes the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    fuzz::restartCallsAfterAlarm();
    static support::WorkerPool workers(1);
    static const std::shared_ptr<PeerRpc> router = startRouter(workers.context());
    boost::asio::io_context context;
    tcp::socket socket(context);
    socket.connect(router->localEndpoint());
    boost::system::error_code error;
    boost::asio::write(socket, boost::asio::buffer(data, size), error);
    socket.shutdown(tcp::socket::shutdown_send, error);
    std::string response;
    boost::asio::read(socket, boost::asio::dynamic_buffer(response), error);
    require(error.failed(), "the router closes the connection after the peer has stopped sending");
    const PeerRpcCounters counters = router->counters();
    require(counters.permitsHeldByPeers == 0 && counters.acquireCallsWaiting == 0, "a closed connection leaves no permits and no pending calls");
    return 0;
}
