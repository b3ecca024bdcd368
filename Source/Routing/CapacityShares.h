#pragma once

#include <map>
#include <optional>
#include <string>

#include "Base/Time.h"
#include "Routing/ServiceUses.h"

namespace lycheearch {

/// Weight and upper limit of a client account.
struct AccountTerms
{
    double weight = 1; ///< Relative to the weights of the other accounts.
    double cap = 1; ///< Largest part of a service's room, while others want it, from 0 to 1.

    bool operator==(const AccountTerms &) const = default;
};

/// Shares the room of each service among client accounts, max-min fair by weight, over all daemons
/// and without a message per request. It answers the load of one account at many times its usual
/// beside others at theirs. Each daemon publishes the work that it admitted and refused for each
/// account lately. From the sum over the fleet follows the part of its requests that an account
/// over its share keeps; the same part holds at every daemon, so uneven use of the daemons doesn't
/// matter, and the age of the sum shifts the part only while the demand changes.
class CapacityShares
{
public:
    /// By hash of the account; accounts without an entry have a weight of 1 and no cap.
    void setTerms(std::map<std::uint64_t, AccountTerms> terms) { m_terms = std::move(terms); }
    double weight(std::uint64_t account) const { return termsOf(account).weight; }

    void onAdmitted(const UseKey &key, double work, TimePoint now);
    void onRefused(const UseKey &key, double work, TimePoint now);

    /// Part of its requests that the account keeps, from 0 to 1, if the service can do only
    /// \p room of the work that was admitted lately. 1 for an account that stays within its share
    /// and for a daemon that knows of no use.
    double keptPart(const UseKey &key, double room, TimePoint now) const;
    /// Work of the account that all daemons admitted lately, relative to its weight.
    double served(const UseKey &key, TimePoint now) const;
    /// Requests' work that this daemon admitted lately at the service, per second.
    double ownRate(const ServiceId &service, TimePoint now) const;

    /// Use at this daemon, to be published.
    ServiceUses ownUses(TimePoint now);
    /// Sets the use at all other daemons. It expires if it is not renewed.
    void setOtherDaemonsUses(ServiceUses uses, TimePoint now);
    /// Age of the other daemons' use; std::nullopt if none is known.
    std::optional<Duration> age(TimePoint now) const;

private:
    /// A use as of the time of its last change.
    struct DecayingUse
    {
        AccountUse use;
        TimePoint at;

        AccountUse value(TimePoint now) const;
    };

    const AccountTerms &termsOf(std::uint64_t account) const;
    AccountUse &entry(const UseKey &key, TimePoint now);
    /// Use of the accounts of a service at all daemons.
    std::map<std::uint64_t, AccountUse> total(const ServiceId &service, TimePoint now) const;

    std::map<std::uint64_t, AccountTerms> m_terms;
    std::map<UseKey, DecayingUse> m_own;
    ServiceUses m_others;
    TimePoint m_othersAt;
};

} // namespace lycheearch
