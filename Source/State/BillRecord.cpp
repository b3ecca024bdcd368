#include "State/BillRecord.h"

#include <nlohmann/json.hpp>

namespace lycheearch {

std::string encodeBill(const BillRecord &bill)
{
    return nlohmann::json{{"key", bill.key.value()},
                          {"account", bill.account.value()},
                          {"request", bill.request.value()},
                          {"subject", bill.subject},
                          {"cost", bill.cost.value()},
                          {"tokens", bill.tokens.value()},
                          {"kind", bill.kind == BillKind::Charge ? "charge" : "unresolved"}}
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<BillRecord> decodeBill(const std::string &text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        BillRecord bill;
        bill.key = RequestKey(json.at("key").get<std::string>());
        bill.account = AccountId(json.at("account").get<std::string>());
        bill.request = RequestId(json.at("request").get<std::string>());
        bill.subject = json.at("subject").get<std::string>();
        bill.cost = MicroCost(json.at("cost").get<std::int64_t>());
        bill.tokens = Tokens(json.at("tokens").get<std::int64_t>());
        bill.kind = json.at("kind") == "charge" ? BillKind::Charge : BillKind::Unresolved;
        return bill;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace lycheearch
