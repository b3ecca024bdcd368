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

} // namespace lycheearch
