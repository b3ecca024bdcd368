#pragma once

#include <string>

#include "Routing/AdmissionController.h"
#include "Routing/BackendPicker.h"

namespace lycheearch {

/// A request that may wait for admission.
class AdmissionWaiter
{
public:
    virtual ~AdmissionWaiter() = default;
    /// There may be a place: the request must choose a server and ask again, or leave.
    virtual void onAdmissionTurn(TimePoint now) = 0;
    /// The request no longer waits, since it can't be served.
    virtual void onAdmissionRefused(const char *cause, Duration retryAfter, TimePoint now) = 0;
};

/// What the gate needs to know of a request that has a server to be sent to.
struct AdmissionAsk
{
    const std::string &id;
    const AdmissionRequest &request;
    const Pick &pick;
    const PickRequest &requirements;
    const std::string &model;
};

/// Answer to a request that asks for admission.
struct AdmissionAnswer
{
    AdmissionDecision::Verdict verdict = AdmissionDecision::Verdict::Admit;
    const char *cause = ""; ///< Of a refusal.
    Duration retryAfter{}; ///< Of a refusal.
    Duration expected{}; ///< Time to the first event, by the forecast.
};

/// Asked before the first attempt of each request whether it may be sent now.
class AdmissionGate
{
public:
    virtual ~AdmissionGate() = default;
    /// A request that has to wait is called back, unless it leaves.
    virtual AdmissionAnswer ask(const AdmissionAsk &ask, AdmissionWaiter &waiter,
                                TimePoint now) = 0;
    /// The request no longer wants to be admitted; it may not have waited.
    virtual void leave(AdmissionWaiter &waiter) = 0;
    /// Records the time to the first event of a request and what was expected.
    virtual void onFirstEvent(const ServiceId &service, const std::string &route, Duration expected,
                              Duration took, TimePoint now) = 0;
    /// Records the end of an attempt at a server of a plain service.
    virtual void onEnded(const ServiceId &service, SendOutcome outcome, Duration took,
                         TimePoint now) = 0;
};

} // namespace lycheearch
