#include "Fleet/FleetStore.h"

namespace lycheearch {

const char *storeFaultName(StoreFault fault)
{
    switch (fault) {
    case StoreFault::Unreachable:
        return "unreachable";
    case StoreFault::Refused:
        return "refused";
    case StoreFault::Truncated:
        return "truncated";
    case StoreFault::Conflict:
        return "conflict";
    case StoreFault::Expired:
        return "expired";
    case StoreFault::Unexpected:
        break;
    }
    return "unexpected";
}

const char *topicName(Topic topic)
{
    switch (topic) {
    case Topic::Operator:
        return "operator";
    case Topic::Backends:
        return "backends";
    case Topic::Status:
        return "status";
    case Topic::Own:
        break;
    }
    return "own";
}

bool RecordPage::full() const
{
    std::size_t bytes = 0;
    for (const RawRecord &record : records) {
        bytes += record.key.size() + record.value.size();
    }
    // The next record, of half the limit at most, did not fit.
    return bytes >= MaxPageBytes / 2;
}

} // namespace lycheearch
