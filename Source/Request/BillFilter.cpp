#include "Request/BillFilter.h"

namespace lycheearch {

BillFilter::BillFilter(Billing &billing, Metrics &metrics, const Clock &clock)
    : m_billing(billing)
    , m_metrics(metrics)
    , m_clock(clock)
{
}

Status BillFilter::apply(RequestContext & /*context*/)
{
    return std::nullopt;
}

void BillFilter::onRequestEnd(RequestContext &context, const Status &failure)
{
    if (context.replayed) {
        return;
    }
    const bool mayHaveRun = failure && failure->run == RunState::Unknown
        && context.request.kind == RequestKind::Service && !context.operation.idempotent;
    if (!failure) {
        bill(context, BillKind::Charge);
    } else if (mayHaveRun) {
        bill(context, BillKind::Unresolved);
    }
}

void BillFilter::bill(const RequestContext &context, BillKind kind)
{
    BillRecord bill;
    bill.key = context.key;
    bill.account = context.account.id;
    bill.request = context.request.id;
    bill.subject = context.subject;
    bill.cost = kind == BillKind::Charge ? context.charge : MicroCost();
    bill.tokens = context.result ? context.result->tokens : Tokens();
    bill.kind = kind;
    std::vector<KeptRecord> additionalRecords;
    if (context.result && !context.request.idempotencyKey.empty()) {
        additionalRecords.push_back(
            {KeptKind::Answer, context.key.value(), {}, encodeRequestResult(*context.result)});
    }
    if (!m_billing.record(bill, additionalRecords, m_clock.now())) {
        m_metrics.count("lycheearch_bills_single_copy_total");
    }
    m_metrics.count("lycheearch_bills_total",
                    std::string("kind=\"") + (kind == BillKind::Charge ? "charge" : "unresolved")
                        + "\"");
}

} // namespace lycheearch
