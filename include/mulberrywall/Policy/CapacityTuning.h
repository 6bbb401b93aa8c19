#pragma once

#include <chrono>

namespace mulberrywall::policy
{

/// Parameters of the number of endpoints, see docs/design/autoscaling.md.
struct CapacityTuning
{
    /// Worth of a waiting prompt relative to the price of an on-demand endpoint. With 0.5, on-demand endpoints are used to 0.59,
    /// at which few prompts wait for longer than one prefill.
    double waitingWorth = 0.5;
    /// Limits on the share of time for which endpoints prefill. Above 0.6 the wait exceeds the shortest first-token targets;
    /// below 0.4 a further endpoint shortens it by less than the duration of a step.
    double minimumUtilisation = 0.4;
    double maximumUtilisation = 0.6;
    /// Share of the slots that requests may occupy. Requests come unevenly, and one that finds no slot misses its target.
    double slotUtilisation = 0.5;
    /// Utilisation after the loss of a data centre: requests wait, but the backlog does not grow.
    double utilisationAfterLoss = 0.85;
    /// Prefill speed of endpoints whose speed is not known yet, in tokens per second; rather too low than too high.
    double defaultPrefillTokensPerSecond = 35'000.0;
    /// Share of the refused requests that counts as demand. Some of the others are sent again and counted twice.
    double refusedShare = 0.7;
    /// The highest demand within this time counts, so that demand which rises and falls within it causes no orders.
    std::chrono::milliseconds demandMemory {12'000};
    /// Demand must be known for this long before a decrease.
    std::chrono::milliseconds demandWindow {5'000};
    /// A pool without any demand counts as idle only after this long. Endpoints may be started some time before their callers.
    std::chrono::milliseconds idleTime {120'000};
    /// After a longer gap the demand must be known for a whole window again. Routers that are restarted are not known for 2 s.
    std::chrono::milliseconds demandGap {4'000};
    /// Assumed ratio of the highest demand to that of the first window, which may not contain the peak of a swing.
    double unobservedPeakFactor = 1.3;
    /// A rise above this multiple of the highest demand before is a burst and not a swing; the rise is expected to go on.
    double burstRatio = 1.3;
    /// Upper limit on the expected demand, as a multiple of the demand before the burst.
    double maximumBurst = 2.8;
    /// Demand until this long ago is compared with the latest for a burst; rates are computed over 2 s.
    std::chrono::milliseconds burstOnset {2'500};
    /// Requests count as refused for lack of endpoints above this share.
    double pressureRefusedShare = 0.02;
    /// Mean pending prefill above which callers with a first-token target of 0.5 s are late.
    std::chrono::milliseconds pressureBacklog {300};
    double correctionStep = 1.2;
    double maximumCorrection = 2.0;
    /// Longer than the backlog of a short burst lasts.
    std::chrono::milliseconds correctionInterval {4'000};
    /// Time without pressure after which the correction decays by a step. A step that was wrong raises the cost for this long.
    std::chrono::milliseconds correctionDecay {6'000};
    /// Relative surplus that is kept, because the highest demand varies by a few percent from one window to the next.
    double surplusKept = 0.1;
    /// Relative deficit that is tolerated. An endpoint that crashes and is started again is not worth an order.
    double deficitTolerated = 0.05;
    /// Nothing is ordered before the number of registered endpoints has not grown by itself for this long: an order for fewer than
    /// are about to register would remove the others.
    std::chrono::milliseconds settlingTime {2'000};
    /// Share of the ready endpoints that one decrease may remove, and the time between decreases. Prompts of the removed endpoints are
    /// prefilled again at others, which is seen in the demand after this time.
    double decreaseShare = 1.0 / 3.0;
    std::chrono::milliseconds decreaseInterval {2'000};
    /// Charge for an endpoint beyond the demand of its data centre's routers, relative to the lowest on-demand price: bytes between
    /// data centres.
    double distanceCharge = 0.05;
    /// Discount for endpoints that serve already. Others are paid for while they boot, and begin with a cold prefix cache.
    double servingDiscount = 0.2;
    /// Time beyond the boot time within which an ordered endpoint must have registered.
    std::chrono::milliseconds bootMargin {3'000};
    /// Pause before the next order of a kind in a data centre where none was available; doubles with each further refusal.
    std::chrono::milliseconds unavailablePause {5'000};
    std::chrono::milliseconds maximumUnavailablePause {20'000};
    /// While too few endpoints serve, a kind is not ordered for this long after one of its orders had no effect, which takes the
    /// boot time to show.
    std::chrono::milliseconds doubtAfterNoEffect {30'000};
    /// Pause before spot endpoints are ordered again in a data centre where they were reclaimed.
    std::chrono::milliseconds reclaimPause {20'000};
    /// Time before an order that got no answer or was rejected is sent again; doubles with each further one.
    std::chrono::milliseconds retryPause {1'000};
    std::chrono::milliseconds maximumRetryPause {8'000};
    /// On-demand endpoints are not reduced for this long after none was available, since they could not be replaced.
    std::chrono::milliseconds shortageHold {20'000};
};

} // namespace mulberrywall::policy
