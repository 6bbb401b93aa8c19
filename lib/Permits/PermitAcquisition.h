#pragma once

#include "mulberrywall/Membership/UdpDriver.h"
#include "mulberrywall/Permits/RoutedPermits.h"

namespace mulberrywall::permits
{

/// One request on its way to a permit: asks owner after owner until one grants or each has refused.
///
/// Runs on a strand of its own. A request that waits at an owner has not run, so it may be asked for elsewhere.
class PermitAcquisition : public std::enable_shared_from_this<PermitAcquisition>
{
public:
    PermitAcquisition(std::shared_ptr<RoutedPermits> permits, PermitRequest request, PermitHandler handler);

    void start();
    /// Withdraws the request; thread-safe.
    void cancel();

private:
    void ask();
    void askOwner(const membership::Member &owner);
    void reportAndAsk(const membership::Member &owner);
    void answered(const support::InstanceId &owner, OwnerAnswer answer);
    void refused(const PermitRejection &refusal);
    void moved(const support::InstanceId &from, const support::InstanceId &to);
    void askOtherDataCentre();
    [[nodiscard]] std::vector<support::DataCentreId> dataCentresByHeadroom() const;
    void askLater();
    void end(PermitResult result);
    void release();

    std::shared_ptr<RoutedPermits> permits_;
    boost::asio::strand<boost::asio::io_context::executor_type> strand_;
    boost::asio::steady_timer deadline_;
    boost::asio::steady_timer retry_;
    PermitRequest request_;
    PermitHandler handler_;
    AcquireTicket ticket_;
    support::DataCentreId dataCentre_;
    std::set<support::DataCentreId> refusedBy_;
    std::optional<PermitRejection> firstRefusal_;
    /// Answers to earlier questions carry a lower number and are ignored.
    std::uint64_t question_ = 0;
    unsigned moves_ = 0;
    bool ended_ = false;
};

} // namespace mulberrywall::permits
