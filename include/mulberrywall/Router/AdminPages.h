#pragma once

#include "mulberrywall/Http/Message.h"
#include "mulberrywall/Http/Server.h"
#include "mulberrywall/Permits/OwnedPool.h"
#include "mulberrywall/Router/PermitPeerGroup.h"
#include "mulberrywall/Router/RouterState.h"

#include <string>

namespace mulberrywall::router
{

/// The state that the operators' pages read and modify.
struct AdminContext
{
    RouterState &state;
    const permits::PoolTable &pools;
    const http::Server &callerServer;
    /// Null if this router has no peers.
    PermitPeerGroup *peers = nullptr;
    const support::InstanceId &instance;
    const support::DataCentreId &dataCentre;
    /// Bearer key of operators; if empty, the admin listener accepts every request.
    const std::string &operatorKey;
};

/// Returns whether the router has a valid configuration and accepts new requests, for readiness checks
/// of load balancers.
[[nodiscard]] bool isReady(const RouterState &state);

/// Returns the response to a request on the admin listener. Thread-safe.
[[nodiscard]] http::Response answerAdminRequest(const AdminContext &admin, const http::Request &request);

} // namespace mulberrywall::router
