#pragma once

#include "mulberrywall/Membership/UdpDriver.h"
#include "mulberrywall/Permits/RoutedPermits.h"

namespace mulberrywall::permits
{

/// Acquisition of a permit for one request: sends the request to one owner after another until one grants a permit or all
/// have rejected it.
///
/// Runs on its own strand. A request that waits at an owner has not run, so it may safely be sent to another owner.
class PermitAcquisition : public std::enable_shared_from_this<PermitAcquisition>
{
public:
    PermitAcquisition(std::shared_ptr<RoutedPermits> permits, PermitRequest request, PermitHandler handler);

    void start();
    /// Withdraws the request. Thread-safe.
    void cancel();

private:
    void requestPermit();
    void requestFromOwner(const membership::Member &owner);
    void registerThenRequest(const membership::Member &owner);
    void onAnswer(const support::InstanceId &owner, OwnerAnswer answer);
    void onRejected(const PermitRejection &rejection);
    void onMoved(const support::InstanceId &from, const support::InstanceId &to);
    void tryNextDataCentre();
    [[nodiscard]] std::vector<support::DataCentreId> dataCentresByHeadroom() const;
    void retryLater();
    void complete(PermitResult result);
    void release();

    std::shared_ptr<RoutedPermits> permits_;
    boost::asio::strand<boost::asio::io_context::executor_type> strand_;
    boost::asio::steady_timer deadline_;
    boost::asio::steady_timer retry_;
    PermitRequest request_;
    PermitHandler handler_;
    AcquireTicket ticket_;
    support::DataCentreId dataCentre_;
    std::set<support::DataCentreId> rejectedBy_;
    std::optional<PermitRejection> firstRejection_;
    /// Sequence number of the latest query to an owner. Answers to earlier queries are ignored.
    std::uint64_t querySequence_ = 0;
    unsigned redirects_ = 0;
    bool ended_ = false;
};

} // namespace mulberrywall::permits
