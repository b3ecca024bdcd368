#include "Request/AdmitFilter.h"

namespace lycheearch {

namespace {
constexpr Duration RetryAfter = 1s;
}

AdmitFilter::AdmitFilter(const Billing &billing, RetryBudget &retryBudget,
                         const std::atomic<bool> &stopping)
    : m_billing(billing)
    , m_retryBudget(retryBudget)
    , m_stopping(stopping)
{
}

Status AdmitFilter::apply(RequestContext &context)
{
    if (m_stopping) {
        return makeFailure(Errc::Stopping, "this instance is stopping", RunState::NotRun,
                           RetryAfter);
    }
    if (!m_billing.hasCapacity()) {
        return makeFailure(Errc::Overloaded, "too many bills are waiting to be appended to the log",
                           RunState::NotRun, RetryAfter);
    }
    m_retryBudget.deposit();
    return context.request.kind == RequestKind::Chat ? admitChat(context) : admitService(context);
}

Status AdmitFilter::admitChat(RequestContext &context) const
{
    const auto &models = context.config->manifest->models;
    const auto model = models.find(context.request.model);
    if (model == models.end()) {
        return makeFailure(Errc::UnknownModel,
                           "there is no model '" + context.request.model.value() + "'");
    }
    if (!context.account.models.contains(context.request.model)) {
        return makeFailure(Errc::AccountForbidsModel,
                           "the account may not use model '" + context.request.model.value() + "'");
    }
    context.priority = model->second.priority;
    return std::nullopt;
}

Status AdmitFilter::admitService(RequestContext &context) const
{
    const CallerRequest &request = context.request;
    if (!context.account.services.contains(request.service)) {
        return makeFailure(Errc::AccountForbidsModel,
                           "the account may not use service '" + request.service.value() + "'");
    }
    const OperationSpec *operation =
        context.config->manifest->findOperation(request.service, request.operation);
    if (operation == nullptr) {
        return makeFailure(Errc::UnknownOperation,
                           "service '" + request.service.value() + "' has no operation '"
                               + request.operation.value() + "'");
    }
    context.operation = *operation;
    context.priority = operation->priority;
    return std::nullopt;
}

} // namespace lycheearch
