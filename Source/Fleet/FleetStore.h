#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Fleet/FleetRecord.h"

namespace lycheearch {

/// A stream of records of the store.
enum class Topic {
    Operator, ///< Configuration and orders.
    Backends, ///< Reports of the backend servers.
    Status, ///< States of rollouts, for the operator.
    Own, ///< What the daemons tell each other and what must outlive them.
};
constexpr int TopicCount = 4;

const char *topicName(Topic topic);

/// Why a call to the store gave no result.
enum class StoreFault {
    Unreachable, ///< No answer: what was written may have been done, or may yet be.
    Refused, ///< Nothing was done.
    Truncated, ///< The records asked for are gone.
    Conflict, ///< The condition of a write did not hold.
    Unexpected, ///< An answer that the protocol does not provide for.
};

const char *storeFaultName(StoreFault fault);

/// Records read from a topic.
struct RecordPage
{
    std::vector<RawRecord> records;
    Offset end; ///< Offset that the next record of the topic will have.
    std::string lastKey; ///< Key of the last record, to ask for the next page.
    bool hasMore = false;
};

/// The outcome of a call: a value or a fault.
template <typename T>
struct StoreOutcome
{
    std::optional<T> value;
    StoreFault fault = StoreFault::Unreachable;
    std::string detail;

    bool ok() const { return value.has_value(); }
};

/// The log store that lasts beyond all daemons. Calls return at once; the callback is called once,
/// from the event loop.
class FleetStore
{
public:
    using PageCallback = std::function<void(StoreOutcome<RecordPage>, TimePoint)>;
    using WriteCallback = std::function<void(StoreOutcome<Offset>, TimePoint)>;

    virtual ~FleetStore() = default;
    /// Reads records from an offset on. With \p wait the store holds the call until there is one.
    virtual void read(Topic topic, Offset from, Duration wait, PageCallback callback) = 0;
    /// Reads the newest record of each key, in pages by key.
    virtual void newest(Topic topic, const std::string &afterKey, PageCallback callback) = 0;
    /// Appends a record. With \p expected, only if the topic ends there.
    virtual void append(Topic topic, const RawRecord &record, std::optional<Offset> expected,
                        WriteCallback callback) = 0;
};

/// Translates between records as the store keeps them and typed ones.
class RecordCodec
{
public:
    virtual ~RecordCodec() = default;
    /// Whatever can't be read becomes an UnreadableRecord that tells what was found where.
    virtual FleetRecord decode(Topic topic, const RawRecord &record) const = 0;
    virtual RawRecord encode(const FleetRecord &record) const = 0;
};

} // namespace lycheearch
