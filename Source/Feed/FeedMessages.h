#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Fleet/FleetStore.h"
#include "Routing/BackendLoads.h"
#include "Routing/CrashEvidence.h"
#include "Routing/PeerSelector.h"
#include "Routing/PromptCacheIndex.h"
#include "Routing/ServerNotices.h"
#include "Routing/ServerSpeeds.h"
#include "Routing/ServiceUses.h"

namespace lycheearch {

/// Subscribes to the feed; the first message of a follower.
struct FeedSubscribe
{
    InstanceId instance; ///< The follower.
    bool acceptsLoadChanges = true; ///< It reads loads that are FeedLoad::changesOnly.
};

/// Records that the source read from the store.
struct FeedPage
{
    Topic topic = Topic::Operator;
    bool listing = false; ///< All keys of the topic, not only new records.
    RecordPage page;
};

/// Sent periodically by the source, with the staleness of its view of the store.
struct FeedHeartbeat
{
    /// FleetFollower::storeStaleness() of the source; std::nullopt if the source does not read the
    /// store itself.
    std::optional<Duration> storeStaleness;
};

/// Rollout evidence of a follower, sent to its source.
struct FeedEvidence
{
    std::vector<RolloutEvidence> evidence;
};

/// Load that one or more daemons put on backend servers, and what they learned about prompts.
struct FeedLoad
{
    /// Data centre whose daemons the loads are summed over; empty for the loads of one follower and
    /// for the total of all daemons.
    DataCentreId dataCentre;
    BackendLoads loads;
    /// Entries that are new or that must be published again before they expire.
    std::vector<PromptCacheEntry> promptCacheEntries;
    CrashEvidence crashEvidence;
    std::vector<LimitsNotice> rateLimits; ///< That servers named since the last message.
    /// All daemons that reach no backend server of some services, as of now.
    std::vector<CutOffDaemon> cutOff;
    std::vector<SpeedReport> speeds; ///< Observed since the last message.
    /// Of all accounts with use lately; empty if admission is off.
    ServiceUses uses{};
    /// The loads replace those of the last load message on the same connection; entries without
    /// load end.
    bool changesOnly = false;
    /// Between two totals of the source. Above zero: the source accepts changesOnly. Zero from
    /// sources of older builds and in reports.
    Duration period{};
};

using FeedMessage = std::variant<FeedSubscribe, FeedPage, FeedHeartbeat, FeedEvidence, FeedLoad>;

/// Returns the frame of a message: the length of the body (4 bytes, little-endian), a compression
/// flag (1 byte), and the message, compressed if it is large.
std::string encodeFeedFrame(const FeedMessage &message);

/// Largest frame, and largest message after decompression.
struct FeedFrameLimits
{
    std::size_t frameBytes = 8UL * 1024 * 1024;
    std::size_t messageBytes = 64UL * 1024 * 1024;
};

/// Splits a byte stream into frames and decodes their messages.
class FeedFrameReader
{
public:
    explicit FeedFrameReader(FeedFrameLimits limits = {})
        : m_limits(limits)
    {
    }

    /// Adds \p bytes to the input and appends the messages that are now complete to \p messages.
    /// Returns false on a frame that is too large or can't be decoded; the connection can't be used
    /// any further.
    bool feed(std::string_view bytes, std::vector<FeedMessage> &messages);
    /// Memory of the frame that is not complete, in bytes.
    std::size_t pendingBytes() const { return m_pending.capacity(); }

private:
    FeedFrameLimits m_limits;
    std::string m_pending;
};

} // namespace lycheearch
