#include "Request/AuthenticateFilter.h"

namespace lycheearch {

namespace {
constexpr Duration RetryAfter = 1s;
}

AuthenticateFilter::AuthenticateFilter(const ConfigStore &config)
    : m_config(config)
{
}

Status AuthenticateFilter::apply(RequestContext &context)
{
    context.config = m_config.current();
    if (context.config->manifestRevision.value() == 0) {
        return makeFailure(Errc::NotReady, "no manifest has been loaded yet", RunState::NotRun,
                           RetryAfter);
    }
    const AccountSpec *account =
        context.config->manifest->findAccountByKey(context.request.bearerKey);
    if (account == nullptr) {
        return makeFailure(Errc::Unauthenticated, "no client account has this key");
    }
    context.account = *account;
    return std::nullopt;
}

} // namespace lycheearch
