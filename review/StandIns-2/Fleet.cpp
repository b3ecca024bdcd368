#include "Fleet.h"

#include <cstdlib>
#include <iostream>

namespace review {

namespace {

constexpr Milliseconds ContactTime(3000);
constexpr Milliseconds LongestStart(20000);
constexpr int PoolSlots = 64;
constexpr int DeskSlots = 6;
constexpr std::size_t DeskBodyBytes = 800;

const std::string Config = R"({"Version":1,"Routes":[
{"Name":"drafts","Host":"h.example","PathPrefix":"/draft/","Kind":"stream","TimeoutMs":12000,
"TargetLatencyMs":3000,"GapAimMs":800,"Priority":0,"Service":"pool","MaxAttempts":3,"Public":false,
"Sticky":true,"Resumable":true},
{"Name":"bookings","Host":"h.example","PathPrefix":"/book/","Kind":"non_idempotent",
"TimeoutMs":800,"TargetLatencyMs":100,"Priority":2,"Service":"desk","MaxAttempts":1,
"Public":false},
{"Name":"lookups","Host":"h.example","PathPrefix":"/look/","Kind":"idempotent",
"TimeoutMs":800,"TargetLatencyMs":100,"Priority":2,"Service":"desk","MaxAttempts":2,
"Public":false}],
"Services":[{"Name":"pool","HealthPath":"/health","MaxConns":360,"ColdS":0,"ColdPerS":0},
{"Name":"desk","HealthPath":"/health","MaxConns":100,"ColdS":0,"ColdPerS":0}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,
"IdleTimeoutMs":15000},"Tenants":[{"Name":"tenant-one","ApiKeys":["key-one"]},
{"Name":"tenant-two","ApiKeys":["key-two"]}]})";

std::string zoneOf(const Site &site, std::size_t i)
{
    return site.zones[i % site.zones.size()];
}

} // namespace

Fleet::Fleet(const Folders &folders, Record &record, const Site &site, int daemons,
             Store::AppendCallback onAppend)
    : m_site(site)
    , m_record(record)
    , m_store(std::move(onAppend))
{
    m_store.put("keyed.op", "config", Config);
    for (int i = 0; i < daemons; ++i) {
        const std::string name = "front-" + std::to_string(i);
        m_daemons.push_back(std::make_unique<Daemon>(folders.root, folders.work, name,
                                                     zoneOf(site, static_cast<std::size_t>(i)),
                                                     site, m_store.addressFor(name)));
    }
}

Runner &Fleet::addRunner(const std::string &service, Runner::Answer answer,
                         const std::string &version)
{
    const std::string id = "i-" + service + "-" + std::to_string(m_runners.size());
    const int slots = service == "pool" ? PoolSlots : DeskSlots;
    m_runners.push_back(std::make_unique<Runner>(
        m_store, RunnerEntry{id, service, zoneOf(m_site, m_runners.size()), version, slots},
        std::move(answer)));
    m_runners.back()->registerAs("ready");
    return *m_runners.back();
}

void Fleet::addDesk(int runners, Milliseconds work)
{
    for (int i = 0; i < runners; ++i) {
        addRunner("desk", [work](const HttpMessage &request, Connection &connection) {
            std::this_thread::sleep_for(work);
            return connection.write(answerWithBody(request, 200, std::string(DeskBodyBytes, 'x')));
        });
    }
}

void Fleet::start()
{
    for (const auto &daemon : m_daemons) {
        daemon->start();
    }
    for (const auto &daemon : m_daemons) {
        if (!daemon->waitUntilReady(LongestStart)) {
            std::cerr << daemon->name() << " does not get ready\n";
            stop();
            std::_Exit(2);
        }
    }
    std::this_thread::sleep_for(ContactTime);
    m_record.line("all daemons are ready and in touch");
}

void Fleet::stop()
{
    for (const auto &daemon : m_daemons) {
        daemon->stop();
    }
}

void Fleet::recordUse()
{
    for (const auto &daemon : m_daemons) {
        m_record.line(daemon->name() + ": processor time " + std::to_string(daemon->processorMs())
                      + " ms, memory " + std::to_string(daemon->memoryMb()) + " MiB");
    }
}

Bookings::Bookings(Fleet &fleet, Record &record, int clientsOfEach, Milliseconds pause)
    : m_fleet(fleet)
    , m_record(record)
    , m_pause(pause)
{
    for (std::size_t i = 0; i < fleet.daemons(); ++i) {
        for (int j = 0; j < clientsOfEach; ++j) {
            m_threads.emplace_back([this, i, j] { run(i, j); });
        }
    }
}

void Bookings::run(std::size_t daemon, int client)
{
    for (int i = 0; !m_ends; ++i) {
        Call booking;
        booking.id =
            "b" + std::to_string(daemon) + std::to_string(client) + "-" + std::to_string(i);
        booking.path = "/book/1";
        booking.body = "booking " + booking.id;
        booking.budgetMs = BookingBudgetMs;
        const Outcome outcome =
            call(m_fleet.daemon(daemon).front(), booking, Milliseconds(BookingBudgetMs));
        m_record.line("booking " + booking.id + " at " + m_fleet.daemon(daemon).name() + ": "
                      + outcome.text());
        {
            const std::lock_guard lock(m_mutex);
            m_counts.add(outcome, BookingTimeoutMs);
        }
        std::this_thread::sleep_for(m_pause);
    }
}

LateCounts Bookings::end()
{
    m_ends = true;
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    return m_counts;
}

} // namespace review
