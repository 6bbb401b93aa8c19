#pragma once

#include "RpcLoop.h"

#include "mulberrywall/Permits/PeerRpc.h"

#include <memory>

namespace mulberrywall::permits
{

/// Serves other routers. Lives in the thread of the loop.
class PeerRpcServer final : private kj::TaskSet::ErrorHandler
{
public:
    /// Ways from any thread to the functions below, in the thread of the loop, if the server still exists.
    struct Routes
    {
        std::function<void(std::uint64_t call, OwnerAnswer answer)> answer;
        std::function<void(std::uint64_t session, std::uint32_t permit, const OwnerCommand &command)> command;
    };

    PeerRpcServer(RpcLoop &loop, const PeerRpcOptions &options, const PeerRpcHandlers &handlers, Routes routes);

    /// Starts to accept connections; returns the port in use.
    std::uint16_t listen();
    /// Passes the answer of the pool to the call with the given number, unless the call has ended.
    void deliver(std::uint64_t call, OwnerAnswer answer);
    /// Passes a command of the pool to the router at the other end of a session, unless that has ended.
    void command(std::uint64_t session, std::uint32_t permit, const OwnerCommand &command);
    [[nodiscard]] const PeerRpcCounters &counters() const;

private:
    struct Shared;
    struct Session;
    struct Connection;
    class LoginService;
    class PeerService;
    class PermitService;

    void taskFailed(kj::Exception &&exception) override;
    kj::Promise<void> acceptNext();
    void serve(kj::Own<kj::AsyncIoStream> stream);
    kj::Promise<void> watch(const std::shared_ptr<Session> &session);
    bool mustClose(const Session &session);

    RpcLoop &loop_;
    const PeerRpcOptions &options_;
    /// Cap'n Proto ends calls some events after their connection, and thus after this object.
    std::shared_ptr<Shared> shared_;
    std::size_t connections_ = 0;
    kj::Own<kj::ConnectionReceiver> receiver_;
    kj::TaskSet tasks_;
};

} // namespace mulberrywall::permits
