#pragma once

#include "RpcLoop.h"

#include "mulberrywall/Permits/PeerNetwork.h"

#include <unordered_map>

namespace mulberrywall::permits
{

/// Serves other routers. Lives in the thread of the loop.
class PeerServer final : private kj::TaskSet::ErrorHandler
{
public:
    /// Brings the answer to a call, from any thread, to deliver in the thread of the loop, if the server still exists.
    using AnswerRoute = std::function<void(std::uint64_t call, OwnerAnswer answer)>;

    PeerServer(RpcLoop &loop, const PeerOptions &options, const PeerHandlers &handlers, AnswerRoute route);

    /// Starts to accept connections; returns the port in use.
    std::uint16_t listen();
    /// Passes the answer of the pool to the call with the given number, unless the call has ended.
    void deliver(std::uint64_t call, OwnerAnswer answer);
    [[nodiscard]] const PeerCounters &counters() const
    {
        return counters_;
    }

private:
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
    const PeerOptions &options_;
    const PeerHandlers &handlers_;
    AnswerRoute route_;
    PeerCounters counters_;
    std::size_t connections_ = 0;
    std::uint64_t lastCall_ = 0;
    std::unordered_map<std::uint64_t, kj::Own<kj::PromiseFulfiller<kj::Own<OwnerAnswer>>>> calls_;
    kj::Own<kj::ConnectionReceiver> receiver_;
    kj::TaskSet tasks_;
};

} // namespace mulberrywall::permits
