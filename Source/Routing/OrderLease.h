#pragma once

#include <optional>
#include <string>

#include "Base/Ids.h"
#include "Base/Time.h"

namespace lycheearch {

/// One record of the order leases' stream.
struct LeaseRecord
{
    DataCentreId dataCentre;
    InstanceId holder;
    StartId startId; ///< Run of the holder's process.
    Offset previous; ///< Offset of the lease record that it follows; -1: none.
};

std::string encodeLeaseRecord(const LeaseRecord &record);
std::optional<LeaseRecord> decodeLeaseRecord(const std::string &text);

/// Decides who may give orders to the engines of a data centre. A lease record takes effect only
/// if it follows the record in force, so the log orders racing daemons without clocks. The holder
/// counts its term from before it appended; a challenger from when it read the record; so the
/// holder has stopped before a challenger appends. The offset of the record with which the holder
/// took over is the fencing number. Not thread-safe.
class OrderLease
{
public:
    static constexpr Duration Term = 6s;
    static constexpr Duration Renewal = 2s; ///< Time between renewals.
    static constexpr Duration SafetyMargin = 1s; ///< Of the holder's own end of term.

    OrderLease(DataCentreId dataCentre, InstanceId self, StartId startId);

    /// Folds a record of the stream, read at \p now.
    void fold(Offset offset, const LeaseRecord &record, TimePoint now);
    /// The record to append now, if any. \p now is noted as the start of the term that it gives.
    std::optional<LeaseRecord> wanted(TimePoint now);
    /// Whether this daemon may send an order now.
    bool holds(TimePoint now) const;
    /// When this daemon took over; nothing if it does not hold the lease.
    std::optional<TimePoint> heldSince() const;
    /// Fencing number of this holder.
    Offset fence() const { return m_fence; }

private:
    bool isMine(const LeaseRecord &record) const;

    DataCentreId m_dataCentre;
    InstanceId m_self;
    StartId m_startId;
    std::optional<LeaseRecord> m_current;
    Offset m_currentOffset{-1};
    TimePoint m_readAt;
    std::optional<TimePoint> m_askedAt; ///< When the newest record of this daemon was made.
    std::optional<TimePoint> m_termFrom; ///< Start of the term in force, if it is this daemon's.
    std::optional<TimePoint> m_heldSince;
    Offset m_fence{-1};
};

} // namespace lycheearch
