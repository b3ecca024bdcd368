#include "Routing/ExecutionState.h"

namespace lycheearch {

void ExecutionState::onSent()
{
    m_earlierMayHaveRun = mayHaveRun();
    m_latestMayHaveRun = true;
}

void ExecutionState::onProvenNotExecuted()
{
    m_latestMayHaveRun = false;
}

} // namespace lycheearch
