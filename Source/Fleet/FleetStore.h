#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Fleet/FleetRecord.h"

namespace lycheearch {

/// A stream of keyed records in the store.
enum class Topic {
    Operator, ///< Configuration, rollout orders and evacuations from the operator.
    Backends, ///< Reports of the backend servers.
    Status, ///< Rollout states, written for the operator.
    Own, ///< The daemons' own records: those that they exchange or need after a restart.
};
constexpr int TopicCount = 4;
constexpr Topic AllTopics[TopicCount] = {Topic::Operator, Topic::Backends, Topic::Status,
                                         Topic::Own};

const char *topicName(Topic topic);

/// Why a call to the store failed.
enum class StoreFault {
    Unreachable, ///< No answer. A write may have been applied, or may still be.
    Refused, ///< The store refused the call without executing it.
    Truncated, ///< The requested records are no longer retained.
    Conflict, ///< The condition of a write did not hold.
    Expired, ///< The write was not sent in time, and not made.
    Unexpected, ///< An answer outside the protocol.
};

const char *storeFaultName(StoreFault fault);

/// Era of pages from daemons of a version that doesn't know eras.
constexpr StoreEra UnknownEra{-1};

/// Size limit of the records of one read, so that a page arrives within the timeout of a call over
/// a slow link: twice the largest record.
constexpr std::size_t MaxPageBytes = 512UL * 1024;

/// Records read from a topic.
struct RecordPage
{
    std::vector<RawRecord> records;
    Offset end; ///< Offset that the next record of the topic will have.
    std::string lastKey; ///< Key of the last record; the afterKey of the next listing page.
    bool hasMore = false; ///< Further pages of the listing follow.
    StoreEra era; ///< Era in which the offsets hold.

    /// Whether the page ends at its size limit and not at the end of what the store had to offer.
    bool full() const;
};

/// The outcome of a call: a value, or a fault with details.
template <typename T>
struct StoreOutcome
{
    std::optional<T> value;
    StoreFault fault = StoreFault::Unreachable;
    std::string detail;
    StoreEra era; ///< Era of the store when it answered; 0 if it did not answer or did not say.

    bool ok() const { return value.has_value(); }
};

/// What must hold for a write to be made.
struct WriteCondition
{
    std::optional<Offset> end; ///< The topic ends at this offset.
    /// The write is sent by then. It may wait for calls before it, or for a connection.
    std::optional<TimePoint> sendBy;
};

/// The log store of the platform, whose data outlives the daemons. Calls don't block; each callback
/// is called once, from the event loop.
class FleetStore
{
public:
    using PageCallback = std::function<void(StoreOutcome<RecordPage>, TimePoint)>;
    using WriteCallback = std::function<void(StoreOutcome<Offset>, TimePoint)>;

    virtual ~FleetStore() = default;
    /// Reads records from an offset on. If there are none, the store holds the call for up to
    /// \p wait until one is appended.
    virtual void read(Topic topic, Offset from, Duration wait, PageCallback callback) = 0;
    /// Reads a page of the newest record of each key, ordered by key, after \p afterKey.
    virtual void readNewest(Topic topic, const std::string &afterKey, PageCallback callback) = 0;
    /// Appends a record. Fails with StoreFault::Conflict or StoreFault::Expired if \p condition
    /// does not hold.
    virtual void append(Topic topic, const RawRecord &record, const WriteCondition &condition,
                        WriteCallback callback) = 0;
};

/// Converts between RawRecord and the typed records.
class RecordCodec
{
public:
    virtual ~RecordCodec() = default;
    /// Returns an UnreadableRecord with the key and the reason for input that can't be decoded.
    virtual FleetRecord decode(Topic topic, const RawRecord &record) const = 0;
    virtual RawRecord encode(const FleetRecord &record) const = 0;
    /// The name of the array of routes in the record, if the record is a configuration; else empty.
    virtual std::string_view routesMember(Topic topic, const RawRecord &record) const = 0;
    /// Decodes the text of a configuration but for its routes. Throws std::exception.
    virtual RoutingConfig decodeWithoutRoutes(const std::string &text) const = 0;
    /// Decodes the text of one route. Throws std::exception.
    virtual Route decodeRoute(const std::string &text) const = 0;
};

} // namespace lycheearch
