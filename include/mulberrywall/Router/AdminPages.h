#pragma once

#include "mulberrywall/Http/Message.h"
#include "mulberrywall/Permits/PoolOwner.h"
#include "mulberrywall/Router/PermitPeerGroup.h"
#include "mulberrywall/Router/RouterState.h"

#include <string>

namespace mulberrywall::router
{

/// What the pages for operators show and change.
struct AdminContext
{
    RouterState &state;
    const permits::PoolTable &pools;
    /// Null without other routers.
    PermitPeerGroup *peers = nullptr;
    const support::InstanceId &instance;
    const support::DataCentreId &dataCentre;
    /// Empty lets everybody in.
    const std::string &operatorKey;
};

/// Returns whether the router has a configuration and takes new requests.
[[nodiscard]] bool isReady(const RouterState &state);

/// Answers a request to the admin listener. Thread-safe.
[[nodiscard]] http::Response answerAdminRequest(const AdminContext &admin, const http::Request &request);

} // namespace mulberrywall::router
