#pragma once

#include <map>
#include <optional>
#include <vector>

#include "Fleet/FleetRecord.h"

namespace lycheearch {

/// A daemon to connect to.
struct FeedSourceChoice
{
    MemberRegistered member;
    /// The daemon is only asked for news while this one can't read the store: its feed does not
    /// replace reads of the store.
    bool substitute = false;
};

/// Decides which daemon's feed to connect to.
///
/// While this daemon's view is fresh, its source is the first daemon before it in the feed order of
/// its data centre that is not in backoff. While its view is stale because the store does not
/// answer, any other daemon may have a fresh one. They are tried one after the other: those before
/// it, a few others of its data centre, the first of each other data centre, and the rest. So the
/// first daemon of the order, which has no source otherwise, does not depend on the store alone.
class FeedSourceSelector
{
public:
    FeedSourceSelector(InstanceId self, DataCentreId dataCentre);

    /// The source to connect to; std::nullopt to keep the present one, \p source, which is empty
    /// without a connection. \p wallMilliseconds is the present time in Unix milliseconds.
    std::optional<FeedSourceChoice> choose(const std::map<InstanceId, MemberRegistered> &members,
                                           const InstanceId &source, bool viewStale,
                                           std::int64_t wallMilliseconds, TimePoint now);

    /// A connection to the source failed or ended.
    void onFailed(const InstanceId &source, TimePoint now);
    /// The source's own view is stale.
    void onStale(const InstanceId &source, TimePoint now);
    /// The source's view is fresh.
    void onFresh(const InstanceId &source);
    /// This daemon reads the store again: sources that were stale are tried again at once.
    void onStoreRegained();

private:
    struct Backoff
    {
        TimePoint until;
        Duration staleDelay{}; ///< Backoff of the last time that the source was stale.
    };

    bool inBackoff(const InstanceId &source, TimePoint now) const;
    TimePoint backoffEnd(const InstanceId &source) const;
    std::optional<FeedSourceChoice> choosePreferred(const std::vector<MemberRegistered> &candidates,
                                                    const InstanceId &source, TimePoint now) const;
    std::optional<FeedSourceChoice> search(const std::map<InstanceId, MemberRegistered> &members,
                                           const std::vector<MemberRegistered> &candidates,
                                           std::int64_t wallMilliseconds, TimePoint now);
    std::vector<FeedSourceChoice> searchOrder(const std::map<InstanceId, MemberRegistered> &members,
                                              const std::vector<MemberRegistered> &candidates,
                                              std::int64_t wallMilliseconds) const;
    /// The first member in the feed order of each other data centre.
    std::vector<FeedSourceChoice>
    firstOfOthers(const std::map<InstanceId, MemberRegistered> &members,
                  std::int64_t wallMilliseconds) const;

    InstanceId m_self;
    DataCentreId m_dataCentre;
    std::map<InstanceId, Backoff> m_backoffs;
    Duration m_searchDelay; ///< Between two sources that are tried while the view is stale.
    TimePoint m_nextSearchAt;
};

} // namespace lycheearch
