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

} // namespace lycheearch
