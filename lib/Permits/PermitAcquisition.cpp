#include "PermitAcquisition.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <limits>

namespace mulberrywall::permits
{

/// Redirections that are followed at once; after these the owner is looked for again after a pause.
static constexpr unsigned maxMoves = 2;
static constexpr std::chrono::milliseconds retryAfterUnreachable {1'000};

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
                    self->end(PermitRejection {.reason = policy::RejectionReason::DeadlineExpired, .detail = "no endpoint was free before the deadline"});
                }
            });
        }
        self->ask();
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
    ++question_;
    ticket_.reset();
    deadline_.cancel();
    retry_.cancel();
    handler_ = nullptr;
}

void PermitAcquisition::end(PermitResult result)
{
    const PermitHandler handler = std::move(handler_);
    ended_ = true;
    release();
    handler(std::move(result));
}

void PermitAcquisition::ask()
{
    if (ended_) {
        return;
    }
    const std::vector<membership::Member> members = permits_->reachableMembers();
    const membership::Member *owner = ownerOf(members, dataCentre_, request_.pool);
    const PoolOwnershipOptions &own = permits_->options_.ownership;
    if (owner != nullptr) {
        if (dataCentre_ == own.dataCentre && !permits_->isReportedTo(owner->instance, request_.pool)) {
            reportAndAsk(*owner);
            return;
        }
        askOwner(*owner);
        return;
    }
    if (dataCentre_ == own.dataCentre) {
        // A router that has left serves itself when it was the last one of its data centre.
        askOwner({.instance = own.instance, .dataCentre = own.dataCentre});
        return;
    }
    askOtherDataCentre();
}

/// Tells a new owner what this ingress runs before it is asked for more, or it would grant slots that are taken.
void PermitAcquisition::reportAndAsk(const membership::Member &owner)
{
    boost::asio::post(permits_->strand_, [self = shared_from_this(), owner] {
        self->permits_->review();
        boost::asio::post(self->strand_, [self, owner] {
            if (!self->ended_) {
                self->askOwner(owner);
            }
        });
    });
}

void PermitAcquisition::askOwner(const membership::Member &owner)
{
    const std::uint64_t question = ++question_;
    if (owner.instance == permits_->options_.ownership.instance) {
        ticket_ = permits_->ownership_.acquire(
            request_, permits_->unreachable(), [self = shared_from_this(), question, owner = owner.instance](OwnerAnswer answer) {
                boost::asio::post(self->strand_, [self, question, owner, answer = std::move(answer)]() mutable {
                    if (question == self->question_) {
                        self->answered(owner, std::move(answer));
                    }
                });
            });
        return;
    }
    const PeerAddress peer {.instance = owner.instance, .address = membership::toTcpEndpoint(owner.peerAddress)};
    ticket_ = permits_->peers_->acquire(
        peer, request_, permits_->unreachable(), [self = shared_from_this(), question, owner = owner.instance](PeerCallResult<OwnerAnswer> result) {
            boost::asio::post(self->strand_, [self, question, owner, result = std::move(result)]() mutable {
                if (question != self->question_) {
                    return;
                }
                if (auto *answer = std::get_if<OwnerAnswer>(&result)) {
                    self->answered(owner, std::move(*answer));
                    return;
                }
                self->permits_->markUnreachable(owner);
                self->ask();
            });
        });
}

void PermitAcquisition::answered(const support::InstanceId &owner, OwnerAnswer answer)
{
    if (auto *granted = std::get_if<std::shared_ptr<Permit>>(&answer)) {
        end(permits_->track(dataCentre_, owner, request_, *granted));
        return;
    }
    if (const auto *refusal = std::get_if<PermitRejection>(&answer)) {
        refused(*refusal);
        return;
    }
    moved(owner, std::get<PoolMoved>(answer).owner);
}

static bool isWorthAskingElsewhere(const PermitRejection &refusal, policy::AttemptPurpose purpose)
{
    if (purpose == policy::AttemptPurpose::Hedge) {
        return false;
    }
    switch (refusal.reason) {
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

void PermitAcquisition::refused(const PermitRejection &refusal)
{
    // A remote data centre may lack a class or suspect the request; the answer of the local owner decides the reason.
    if (!firstRefusal_) {
        firstRefusal_ = refusal;
    }
    if (!isWorthAskingElsewhere(*firstRefusal_, request_.submission.purpose)) {
        end(*firstRefusal_);
        return;
    }
    askOtherDataCentre();
}

void PermitAcquisition::moved(const support::InstanceId &from, const support::InstanceId &to)
{
    const std::vector<membership::Member> members = permits_->reachableMembers();
    const auto owner = std::find_if(members.begin(), members.end(), [&to](const membership::Member &member) { return member.instance == to; });
    // In the own data centre the owner has to be told first what runs here, and takes that only once both routers agree.
    if (owner == members.end() || to == from || moves_ >= maxMoves || dataCentre_ == permits_->options_.ownership.dataCentre) {
        askLater();
        return;
    }
    ++moves_;
    askOwner(*owner);
}

void PermitAcquisition::askLater()
{
    ticket_.reset();
    moves_ = 0;
    retry_.expires_after(permits_->options_.retryDelay);
    retry_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error) {
            self->ask();
        }
    });
}

void PermitAcquisition::askOtherDataCentre()
{
    refusedBy_.insert(dataCentre_);
    ticket_.reset();
    const std::vector<support::DataCentreId> others = dataCentresByHeadroom();
    if (others.empty()) {
        end(firstRefusal_.value_or(PermitRejection {
            .reason = policy::RejectionReason::NoEndpoint, .retryAfter = retryAfterUnreachable, .detail = "no router that owns the pool can be reached"}));
        return;
    }
    dataCentre_ = others.front();
    moves_ = 0;
    ask();
}

std::vector<support::DataCentreId> PermitAcquisition::dataCentresByHeadroom() const
{
    std::map<support::DataCentreId, std::int64_t> headroom;
    for (const membership::Member &member : permits_->membership_.liveMembers()) {
        if (!refusedBy_.contains(member.dataCentre)) {
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
