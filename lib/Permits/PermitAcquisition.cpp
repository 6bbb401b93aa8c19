#include "PermitAcquisition.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <limits>

namespace mulberrywall::permits
{

/// Maximum number of consecutive redirects to another owner. After these, the owner is determined again after a delay.
static constexpr unsigned maxRedirects = 2;
static constexpr std::chrono::milliseconds unreachableRetryAfter {1'000};

PermitAcquisition::PermitAcquisition(std::shared_ptr<RoutedPermits> permits, PermitRequest request, PermitHandler handler)
    : permits_(std::move(permits)),
      strand_(boost::asio::make_strand(permits_->context_)),
      deadline_(strand_),
      retry_(strand_),
      request_(std::move(request)),
      handler_(std::move(handler)),
      dataCentre_(permits_->options_.ownership.dataCentre)
{
}

void PermitAcquisition::start()
{
    boost::asio::post(strand_, [self = shared_from_this()] {
        if (self->request_.submission.deadline != policy::TimePoint::max()) {
            self->deadline_.expires_at(self->request_.submission.deadline);
            self->deadline_.async_wait([self](const boost::system::error_code &error) {
                if (!error && !self->ended_) {
                    self->complete(PermitRejection {.reason = policy::RejectionReason::DeadlineExpired, .detail = "no endpoint was free before the deadline"});
                }
            });
        }
        self->requestPermit();
    });
}

void PermitAcquisition::cancel()
{
    boost::asio::post(strand_, [self = shared_from_this()] {
        self->ended_ = true;
        self->release();
    });
}

void PermitAcquisition::release()
{
    ++querySequence_;
    ticket_.reset();
    deadline_.cancel();
    retry_.cancel();
    handler_ = nullptr;
}

void PermitAcquisition::complete(PermitResult result)
{
    const PermitHandler handler = std::move(handler_);
    ended_ = true;
    release();
    handler(std::move(result));
}

void PermitAcquisition::requestPermit()
{
    if (ended_) {
        return;
    }
    const std::vector<membership::Member> members = permits_->reachableMembers();
    const membership::Member *owner = ownerOf(members, dataCentre_, request_.pool);
    const PoolOwnershipOptions &own = permits_->options_.ownership;
    if (owner != nullptr) {
        if (dataCentre_ == own.dataCentre && !permits_->isRegisteredWith(owner->instance, request_.pool)) {
            registerThenRequest(*owner);
            return;
        }
        requestFromOwner(*owner);
        return;
    }
    if (dataCentre_ == own.dataCentre) {
        // A router that has left the membership serves its own requests if it was the last one of its data centre.
        requestFromOwner({.instance = own.instance, .dataCentre = own.dataCentre});
        return;
    }
    tryNextDataCentre();
}

/// Registers the running requests of this ingress with a new owner before requesting another permit from it. Otherwise the
/// owner would grant slots that are in use.
void PermitAcquisition::registerThenRequest(const membership::Member &owner)
{
    boost::asio::post(permits_->strand_, [self = shared_from_this(), owner] {
        self->permits_->reconcile();
        boost::asio::post(self->strand_, [self, owner] {
            if (!self->ended_) {
                self->requestFromOwner(owner);
            }
        });
    });
}

void PermitAcquisition::requestFromOwner(const membership::Member &owner)
{
    const std::uint64_t query = ++querySequence_;
    if (owner.instance == permits_->options_.ownership.instance) {
        ticket_
            = permits_->ownership_.acquire(request_, permits_->unreachable(), [self = shared_from_this(), query, owner = owner.instance](OwnerAnswer answer) {
                  boost::asio::post(self->strand_, [self, query, owner, answer = std::move(answer)]() mutable {
                      if (query == self->querySequence_) {
                          self->onAnswer(owner, std::move(answer));
                      }
                  });
              });
        return;
    }
    const PeerAddress peer {.instance = owner.instance, .address = membership::toTcpEndpoint(owner.peerAddress)};
    ticket_ = permits_->peers_->acquire(
        peer, request_, permits_->unreachable(), [self = shared_from_this(), query, owner = owner.instance](PeerCallResult<OwnerAnswer> result) {
            boost::asio::post(self->strand_, [self, query, owner, result = std::move(result)]() mutable {
                if (query != self->querySequence_) {
                    return;
                }
                if (auto *answer = std::get_if<OwnerAnswer>(&result)) {
                    self->onAnswer(owner, std::move(*answer));
                    return;
                }
                self->permits_->markUnreachable(owner);
                self->request_.submission.wasQueued = true;
                self->requestPermit();
            });
        });
}

void PermitAcquisition::onAnswer(const support::InstanceId &owner, OwnerAnswer answer)
{
    if (auto *granted = std::get_if<std::shared_ptr<Permit>>(&answer)) {
        complete(permits_->track(dataCentre_, owner, request_, *granted));
        return;
    }
    if (const auto *rejection = std::get_if<PermitRejection>(&answer)) {
        onRejected(*rejection);
        return;
    }
    onMoved(owner, std::get<PoolMoved>(answer).owner);
}

static bool mayRetryElsewhere(const PermitRejection &rejection, policy::AttemptPurpose purpose)
{
    if (purpose == policy::AttemptPurpose::Hedge) {
        return false;
    }
    switch (rejection.reason) {
    case policy::RejectionReason::Shed:
    case policy::RejectionReason::TargetUnreachable:
    case policy::RejectionReason::NoEndpoint:
        return true;
    case policy::RejectionReason::DeadlineExpired:
    case policy::RejectionReason::Quarantined:
    case policy::RejectionReason::UnknownClass:
    case policy::RejectionReason::HedgeDenied:
        return false;
    }
    return false;
}

void PermitAcquisition::onRejected(const PermitRejection &rejection)
{
    // The first rejection, by the local owner, determines the reason: a remote data centre may lack the class or have the
    // request in quarantine.
    if (!firstRejection_) {
        firstRejection_ = rejection;
    }
    if (!mayRetryElsewhere(*firstRejection_, request_.submission.purpose)) {
        complete(*firstRejection_);
        return;
    }
    tryNextDataCentre();
}

void PermitAcquisition::onMoved(const support::InstanceId &from, const support::InstanceId &to)
{
    request_.submission.wasQueued = true;
    const std::vector<membership::Member> members = permits_->reachableMembers();
    const auto owner = std::find_if(members.begin(), members.end(), [&to](const membership::Member &member) { return member.instance == to; });
    // In the local data centre the running requests must be registered with the owner first, and the owner accepts them only
    // once both routers agree on the ownership.
    if (owner == members.end() || to == from || redirects_ >= maxRedirects || dataCentre_ == permits_->options_.ownership.dataCentre) {
        retryLater();
        return;
    }
    ++redirects_;
    requestFromOwner(*owner);
}

void PermitAcquisition::retryLater()
{
    ticket_.reset();
    redirects_ = 0;
    retry_.expires_after(permits_->options_.retryDelay);
    retry_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error) {
            self->requestPermit();
        }
    });
}

void PermitAcquisition::tryNextDataCentre()
{
    rejectedBy_.insert(dataCentre_);
    ticket_.reset();
    const std::vector<support::DataCentreId> others = dataCentresByHeadroom();
    if (others.empty()) {
        complete(firstRejection_.value_or(PermitRejection {
            .reason = policy::RejectionReason::NoEndpoint, .retryAfter = unreachableRetryAfter, .detail = "no router that owns the pool can be reached"}));
        return;
    }
    dataCentre_ = others.front();
    redirects_ = 0;
    requestPermit();
}

std::vector<support::DataCentreId> PermitAcquisition::dataCentresByHeadroom() const
{
    std::map<support::DataCentreId, std::int64_t> headroom;
    for (const membership::Member &member : permits_->membership_.liveMembers()) {
        if (!rejectedBy_.contains(member.dataCentre)) {
            headroom.emplace(member.dataCentre, std::numeric_limits<std::int64_t>::min());
        }
    }
    for (const membership::PoolLoad &load : permits_->membership_.poolLoads(request_.pool)) {
        const auto found = headroom.find(load.dataCentre);
        if (found != headroom.end()) {
            found->second = static_cast<std::int64_t>(load.freeSlots) - static_cast<std::int64_t>(load.waiting);
        }
    }
    std::vector<support::DataCentreId> ordered;
    ordered.reserve(headroom.size());
    for (const auto &[dataCentre, slots] : headroom) {
        ordered.push_back(dataCentre);
    }
    std::stable_sort(ordered.begin(), ordered.end(), [&headroom](const support::DataCentreId &left, const support::DataCentreId &right) {
        return headroom.at(left) > headroom.at(right);
    });
    return ordered;
}

} // namespace mulberrywall::permits
