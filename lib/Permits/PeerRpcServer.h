#pragma once

#include "RpcLoop.h"

#include "mulberrywall/Permits/PeerRpc.h"

#include <memory>

namespace mulberrywall::permits
{

/// Server for other routers. To be used on the thread of the loop only.
class PeerRpcServer final : private kj::TaskSet::ErrorHandler
{
public:
    /// Thread-safe functions that call the functions of the same names below on the thread of the loop, unless the server has
    /// been destroyed.
    struct Dispatchers
    {
        std::function<void(std::uint64_t callId, OwnerAnswer answer)> deliverAnswer;
        std::function<void(std::uint64_t session, std::uint32_t permit, const OwnerCommand &command)> sendCommand;
    };

    PeerRpcServer(RpcLoop &loop, const PeerRpcOptions &options, const PeerRpcHandlers &handlers, Dispatchers dispatchers);

    /// Starts accepting connections and returns the port in use.
    std::uint16_t listen();
    /// Completes the call with the given number with the answer of the pool, unless the call has ended.
    void deliverAnswer(std::uint64_t callId, OwnerAnswer answer);
    /// Sends a command of the pool to the router at the other end of a session, unless the session has ended.
    void sendCommand(std::uint64_t session, std::uint32_t permit, const OwnerCommand &command);
    [[nodiscard]] const PeerRpcCounters &counters() const;

private:
    struct SharedServerState;
    struct PeerSession;
    struct ServerConnection;
    class LoginService;
    class PeerService;
    class PermitService;

    void taskFailed(kj::Exception &&exception) override;
    kj::Promise<void> acceptNext();
    void serve(kj::Own<kj::AsyncIoStream> stream);
    kj::Promise<void> monitorSession(const std::shared_ptr<PeerSession> &session);
    bool shouldClose(const PeerSession &session);

    RpcLoop &loop_;
    const PeerRpcOptions &options_;
    /// Shared because Cap'n Proto destroys calls some events after their connection, and so possibly after this object.
    std::shared_ptr<SharedServerState> shared_;
    std::size_t connections_ = 0;
    kj::Own<kj::ConnectionReceiver> receiver_;
    kj::TaskSet tasks_;
};

} // namespace mulberrywall::permits
