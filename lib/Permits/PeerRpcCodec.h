#pragma once

#include "generated/Peer.capnp.h"

#include "mulberrywall/Permits/PeerRpc.h"

namespace mulberrywall::permits
{

// Conversions between the RPC messages and the types of this library. Enum values that this version does not have, which
// only a newer peer can send, are decoded as the most conservative value.

void encode(const PermitRequest &request, const std::vector<support::InstanceId> &unreachable, rpc::Request::Builder builder);
PermitRequest decode(rpc::Request::Reader reader);
std::vector<support::InstanceId> decodeUnreachable(rpc::Request::Reader reader);

void encode(const configuration::Endpoint &endpoint, rpc::Endpoint::Builder builder);
configuration::Endpoint decode(rpc::Endpoint::Reader reader);

rpc::Outcome toWire(policy::AttemptOutcome outcome);
policy::AttemptOutcome fromWire(rpc::Outcome outcome);
rpc::RefusalReason toWire(policy::RejectionReason reason);
policy::RejectionReason fromWire(rpc::RefusalReason reason);

void encode(const PoolReregistration &reregistration, rpc::Adoption::Builder builder);
PoolReregistration decode(rpc::Adoption::Reader reader);

} // namespace mulberrywall::permits
