#pragma once

#include <optional>
#include <string>

#include "Base/Ids.h"
#include "Base/Time.h"

namespace lycheearch {

/// A record in the stream of order leases.
struct LeaseRecord
{
    DataCentreId dataCentre;
    InstanceId holder;
    StartId startId; ///< Identifies the run of the holder's process.
    Offset previous; ///< Offset of the lease record that this one replaces; -1: none.
};

std::string encodeLeaseRecord(const LeaseRecord &record);
/// Returns std::nullopt if the text is not a valid record.
std::optional<LeaseRecord> decodeLeaseRecord(const std::string &text);

/// Lease on sending orders to the engines of a data centre, so that only one daemon at a time sends
/// them. Handles daemons that acquire the lease concurrently, and holders that crash, pause or are
/// partitioned. A lease record takes effect only if it names the record in force as its
/// predecessor, so the order of the log decides between concurrent records, without clocks. The
/// holder measures the term from the time before it appends a record, other daemons from the time
/// at which they read it, so the holder stops sending before another daemon may append a record.
/// The fencing token, by which engines that check it reject orders of an earlier holder, is the
/// offset of the record with which the holder acquired the lease. Not thread-safe.
class OrderLease
{
public:
    static constexpr Duration Term = 6s;
    /// Age of its record at which the holder renews the lease, and the shortest time between two
    /// records that a daemon makes.
    static constexpr Duration RenewalInterval = 2s;
    static constexpr Duration SafetyMargin = 1s; ///< The holder stops this long before Term ends.

    OrderLease(DataCentreId dataCentre, InstanceId self, StartId startId);

    /// Applies a record of the stream, read at \p now. Records of other data centres and
    /// records that do not follow the one in force are ignored.
    void applyRecord(Offset offset, const LeaseRecord &record, TimePoint now);
    /// The record to append now in order to renew the lease, or to acquire a free or expired one;
    /// std::nullopt if none is due. The term of the record starts at \p now.
    std::optional<LeaseRecord> recordToAppend(TimePoint now);
    /// Whether this daemon holds the lease and may send an order now.
    bool holds(TimePoint now) const;
    /// When this daemon acquired the lease; std::nullopt if it has not, or another daemon has
    /// since.
    std::optional<TimePoint> heldSince() const;
    /// Fencing token of this holder; -1 before it has acquired the lease.
    Offset fencingToken() const { return m_fencingToken; }

private:
    bool isOwnRecord(const LeaseRecord &record) const;

    DataCentreId m_dataCentre;
    InstanceId m_self;
    StartId m_startId;
    std::optional<LeaseRecord> m_currentRecord;
    Offset m_currentOffset{-1};
    TimePoint m_currentReadAt;
    std::optional<TimePoint> m_ownRecordCreatedAt;
    std::optional<TimePoint> m_termStart; ///< Start of the current term of this daemon, if any.
    std::optional<TimePoint> m_heldSince;
    Offset m_fencingToken{-1};
};

} // namespace lycheearch
