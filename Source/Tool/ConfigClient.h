#pragma once

#include <functional>

#include "Adapters/LogService.h"
#include "Config/ConfigStateMachine.h"

namespace lycheearch {

/// Reads and appends to the configuration stream of the log, for commands of the operator.
class ConfigClient
{
public:
    ConfigClient(LogService &log, const Clock &clock);

    /// Reads the stream to its end and returns the configuration in force.
    Result<ConfigStatePtr> fetch();
    /// Appends a record and returns whether it was accepted. Retries for up to \p timeout while the
    /// stream does not show the outcome, for example because a response of the log was lost. A
    /// duplicate of the record has no effect, since its operation id is the same.
    Result<OperationOutcome> submit(const ConfigRecord &record, Duration timeout);

private:
    Status readToEnd();

    LogService &m_log;
    const Clock &m_clock;
    ConfigStateMachine m_stateMachine;
    Offset m_position;
};

} // namespace lycheearch
