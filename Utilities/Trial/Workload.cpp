#include "Workload.h"

#include "Base/Hash.h"

namespace lycheearch::trial {

namespace {
constexpr std::size_t MaxThreads = 600; ///< Limits the concurrent requests of a workload.
constexpr std::size_t PrefixLength = 6;
} // namespace

Workload::Workload(const Manifest &manifest, WorkloadSpec spec)
    : m_manifest(manifest)
    , m_spec(spec)
    , m_random(spec.seed)
    , m_prefix(randomHex().substr(0, PrefixLength))
{
    for (const auto &[id, account] : manifest.accounts) {
        for (int i = 0; i < std::max(1, static_cast<int>(account.weight)); ++i) {
            m_accounts.push_back(id.value());
        }
    }
}

RequestRecord Workload::drawRequest()
{
    std::uniform_real_distribution<double> uniform(0.0, 1.0);
    RequestRecord record;
    record.account = m_accounts[m_random() % m_accounts.size()];
    const AccountSpec &account = m_manifest.accounts.at(AccountId(record.account));
    record.nonce = "n" + m_prefix + std::to_string(m_drawnCount++);
    const double kindSample = uniform(m_random);
    const bool chat = kindSample < m_spec.chatShare || account.services.empty();
    if (chat) {
        record.kind = CallKind::Chat;
        record.model = account.models.begin()->value();
        record.stream = uniform(m_random) < m_spec.streamShare;
        record.tokens = m_spec.tokens;
        record.key = "k" + record.nonce;
        if (uniform(m_random) < m_spec.sessionShare) {
            record.session = "s" + m_prefix + std::to_string(m_random() % m_spec.sessions) + "-"
                + record.account;
        }
        return record;
    }
    const bool booking = kindSample < m_spec.chatShare + m_spec.bookingShare;
    record.kind = booking ? CallKind::Booking : CallKind::Lookup;
    record.key = "k" + record.nonce;
    record.service = account.services.begin()->value();
    chooseOperation(record, !booking);
    return record;
}

void Workload::chooseOperation(RequestRecord &record, bool idempotent)
{
    for (const OperationSpec &operation :
         m_manifest.services.at(ServiceId(record.service)).operations) {
        if (operation.idempotent == idempotent) {
            record.operation = operation.name.value();
            return;
        }
    }
}

std::vector<RequestRecord> Workload::run(Balancer &balancer)
{
    std::exponential_distribution<double> interarrivalSeconds(m_spec.requestsPerSecond);
    struct Arrival
    {
        RequestRecord record;
        Duration at{};
    };
    std::vector<Arrival> arrivals;
    double seconds = 0;
    const double end = std::chrono::duration<double>(m_spec.length).count();
    while ((seconds += interarrivalSeconds(m_random)) < end) {
        const auto at =
            std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
        arrivals.push_back({drawRequest(), at});
    }
    const TimePoint start = SystemClock().now();
    const Caller caller(balancer, m_spec.deadline, m_spec.maxAttempts);
    std::atomic<std::size_t> next = 0;
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < std::min(MaxThreads, arrivals.size()); ++i) {
        threads.emplace_back([&] {
            while (true) {
                const std::size_t index = next++;
                if (index >= arrivals.size()) {
                    return;
                }
                Arrival &arrival = arrivals[index];
                std::this_thread::sleep_until(start + arrival.at);
                caller.run(arrival.record, start + arrival.at);
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    std::vector<RequestRecord> records;
    for (Arrival &arrival : arrivals) {
        records.push_back(std::move(arrival.record));
    }
    return records;
}

} // namespace lycheearch::trial
