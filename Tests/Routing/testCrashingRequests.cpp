#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>

#include "Routing/EvidenceFleet.h"

using namespace lycheearch;

namespace {

constexpr std::uint64_t Account = 7;
constexpr std::uint64_t OtherAccount = 8;
constexpr std::uint64_t CrashingContent = 500;

/// Time after the third crash from which on requests with the content count.
constexpr Duration ContactTime = 3s;
constexpr int MaxLaterRequests = 3;
constexpr std::size_t MaxServersOfAnArrival = 2;
constexpr Duration DownTime = 3s;
constexpr Duration Step = 10ms;

TimePoint start()
{
    return TimePoint(Duration(1000s));
}

RequestCrash lost(std::uint64_t request, std::uint64_t server, const RequestIdentity &identity,
                  std::uint64_t account = Account)
{
    return {request, server, account, {}, Duration::zero(), identity};
}

/// What requests say, by the number of the request.
using Identities = std::function<RequestIdentity(std::uint64_t)>;

/// Sound requests: half of them are the same read of the same account, the others all differ.
RequestIdentity soundRead(std::uint64_t request)
{
    return {request % 2 == 0 ? 1 : 1'000'000 + request, {}};
}

/// The request that crashes servers, and those beside it.
struct Traffic
{
    Identities crashing = [](std::uint64_t) { return RequestIdentity{CrashingContent, {}}; };
    Identities sound = soundRead;
};

/// Plays a request that comes again and again, at any daemon, and ends each server that runs it,
/// with all requests that run there; the servers are back after DownTime.
class RepeatedCrash
{
public:
    RepeatedCrash(std::size_t daemons, std::size_t servers, unsigned seed, Traffic traffic = {})
        : m_fleet(daemons, seed)
        , m_servers(servers)
        , m_traffic(std::move(traffic))
    {
    }

    void play(double arrivalsPerSecond, Duration time)
    {
        const TimePoint end = m_now + time;
        for (; m_now < end; m_now += Step) {
            m_fleet.exchange(m_now);
            serveSound();
            const double arrivals = arrivalsPerSecond * std::chrono::duration<double>(Step).count();
            if (std::uniform_real_distribution<double>(0, 1)(m_fleet.random()) < arrivals) {
                arrive();
            }
        }
    }

    int crashes() const { return m_crashes; }
    int laterSends() const { return m_laterSends; }
    int soundRefused() const { return m_soundRefused; }

private:
    struct Server
    {
        std::uint64_t run = 0;
        TimePoint upAt;
    };

    /// A sound request that runs on a server.
    struct Running
    {
        std::size_t daemon;
        std::size_t server;
        std::uint64_t request;
        RequestIdentity identity;
        TimePoint endsAt;
    };

    void serveSound()
    {
        for (const Running &request : m_running) {
            if (request.endsAt <= m_now) {
                CrashTable &table = *m_fleet.tables[request.daemon];
                table.recordSuccess(Account, {}, request.identity, m_now);
                table.withdrawCrashes(request.request);
            }
        }
        std::erase_if(m_running, [&](const Running &request) { return request.endsAt <= m_now; });
        const std::uint64_t request = ++m_nextRequest;
        startSound(m_fleet.pick(), request, m_traffic.sound(request));
    }

    void startSound(std::size_t daemon, std::uint64_t request, const RequestIdentity &identity)
    {
        if (m_fleet.tables[daemon]->refusesRequest(Account, identity, m_now)) {
            ++m_soundRefused;
            return;
        }
        if (const std::optional<std::size_t> server = serverThatIsUp()) {
            m_running.push_back({daemon, *server, request, identity, m_now + 30ms});
        }
    }

    void arrive()
    {
        const std::size_t daemon = m_fleet.pick();
        CrashTable &table = *m_fleet.tables[daemon];
        const std::uint64_t request = ++m_nextRequest;
        const RequestIdentity identity = m_traffic.crashing(request);
        if (table.refusesRequest(Account, identity, m_now)) {
            return;
        }
        do {
            const std::optional<std::size_t> server = serverThatIsUp();
            if (!server) {
                return;
            }
            m_laterSends += m_thirdCrash && m_now > *m_thirdCrash + ContactTime ? 1 : 0;
            crash(daemon, request, identity, *server);
        } while (table.serversEndedUnder(Account, identity) < MaxServersOfAnArrival);
    }

    void crash(std::size_t daemon, std::uint64_t request, const RequestIdentity &identity,
               std::size_t server)
    {
        const std::uint64_t run = server + 1000 * m_servers[server].run++;
        m_servers[server].upAt = m_now + DownTime;
        if (++m_crashes == 3) {
            m_thirdCrash = m_now;
        }
        m_fleet.tables[daemon]->recordCrash(lost(request, run, identity), m_now);
        std::vector<Running> victims;
        std::copy_if(m_running.begin(), m_running.end(), std::back_inserter(victims),
                     [&](const Running &victim) { return victim.server == server; });
        std::erase_if(m_running, [&](const Running &victim) { return victim.server == server; });
        for (const Running &victim : victims) {
            m_fleet.tables[victim.daemon]->recordCrash(lost(victim.request, run, victim.identity),
                                                       m_now);
            startSound(victim.daemon, victim.request, victim.identity);
        }
    }

    std::optional<std::size_t> serverThatIsUp()
    {
        std::vector<std::size_t> up;
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            if (m_servers[i].upAt <= m_now) {
                up.push_back(i);
            }
        }
        return up.empty() ? std::nullopt : std::optional(up[m_fleet.random()() % up.size()]);
    }

    EvidenceFleet m_fleet;
    std::vector<Server> m_servers;
    Traffic m_traffic;
    std::vector<Running> m_running;
    std::uint64_t m_nextRequest = 0;
    TimePoint m_now = start();
    std::optional<TimePoint> m_thirdCrash;
    int m_crashes = 0;
    int m_laterSends = 0;
    int m_soundRefused = 0;
};

} // namespace

Test(crashingRequests, a_request_that_crashes_servers_is_refused_in_time_by_fleets_of_any_size)
{
    for (const std::size_t daemons : {1, 8, 76, 195}) {
        for (const std::size_t servers : {3, 12, 156}) {
            for (const double perSecond : {0.3, 2.0, 20.0}) {
                for (unsigned seed = 1; seed <= 3; ++seed) {
                    RepeatedCrash day(daemons, servers, seed);
                    day.play(0, 2s);
                    day.play(perSecond, 30s);
                    cr_expect(day.laterSends() <= MaxLaterRequests,
                              "%zu daemons, %zu servers, %.1f a second, seed %u: %d sends later, "
                              "%d crashes",
                              daemons, servers, perSecond, seed, day.laterSends(), day.crashes());
                    cr_expect_eq(day.soundRefused(), 0,
                                 "%zu daemons, %zu servers, %.1f a second, seed %u", daemons,
                                 servers, perSecond, seed);
                }
            }
        }
    }
}

Test(crashingRequests, a_read_that_many_callers_send_is_not_condemned_beside_crashes)
{
    CrashTable table;
    TimePoint now = start();
    for (std::uint64_t i = 0; i < 40; ++i) {
        now += 200ms;
        table.recordCrash(lost(i, i, {1}), now);
        table.recordSuccess(Account, {}, {1}, now + 50ms);
    }
    cr_expect_not(table.refusesRequest(Account, {1}, now + 2s));
}

Test(crashingRequests, the_success_of_another_daemon_acquits_a_request)
{
    CrashTable table;
    CrashTable other;
    const TimePoint now = start();
    other.recordSuccess(Account, {}, {1}, now - Duration(10s));
    for (std::uint64_t i = 0; i < 4; ++i) {
        table.recordCrash(lost(i, i, {1}), now);
    }
    other.apply(table.takeUnpublished(now + 100ms), now + 200ms);
    other.recordSuccess(Account, {}, {1}, now + 300ms);
    table.apply(other.takeUnpublished(now + 400ms), now + 600ms);
    cr_expect_not(table.refusesRequest(Account, {1}, now + 2s));
}

Test(crashingRequests, one_arrival_alone_is_not_condemned)
{
    CrashTable table;
    for (std::uint64_t server = 0; server < 5; ++server) {
        table.recordCrash(lost(1, server, {CrashingContent}), start());
    }
    cr_expect_not(table.refusesRequest(Account, {CrashingContent}, start() + 2s));
}

Test(crashingRequests, a_request_that_was_served_in_the_end_is_no_evidence)
{
    CrashTable table;
    for (std::uint64_t i = 0; i < 4; ++i) {
        table.recordCrash(lost(i, i, {CrashingContent}), start());
        table.withdrawCrashes(i);
    }
    cr_expect_eq(table.serversEndedUnder(Account, {CrashingContent}), 0);
    cr_expect(table.takeUnpublished(start() + 100ms).crashes.empty());
}

Test(crashingRequests, a_request_that_is_repeated_does_not_condemn_the_parts_of_its_prompt)
{
    CrashTable table;
    for (std::uint64_t i = 0; i < 6; ++i) {
        table.recordCrash({i, i, Account, {100, 200}, Duration::zero(), CrashingContent}, start());
    }
    cr_expect(table.refusesRequest(Account, {CrashingContent}, start() + 2s));
    cr_expect_not(table.refusedPart(Account, {100, 200}, start() + 2s).has_value());
}

Test(crashingRequests, a_condemned_request_of_two_accounts_is_refused_to_these_only)
{
    CrashTable table;
    for (const std::uint64_t account : {Account, OtherAccount}) {
        for (std::uint64_t i = 0; i < 4; ++i) {
            table.recordCrash(lost(10 * account + i, 10 * account + i, {CrashingContent}, account),
                              start());
        }
    }
    cr_expect(table.refusesRequest(Account, {CrashingContent}, start() + 2s));
    cr_expect(table.refusesRequest(OtherAccount, {CrashingContent}, start() + 2s));
    cr_expect_not(table.refusesRequest(99, {CrashingContent}, start() + 2s));
}

Test(crashingRequests, an_account_that_crashes_servers_in_many_ways_pushes_out_its_own_entries_only)
{
    constexpr std::uint64_t hostile = 66;
    CrashTable table;
    TimePoint now = start();
    std::uint64_t id = 1000;
    const auto crashThrice = [&](std::uint64_t account, std::uint64_t content) {
        for (int i = 0; i < 3; ++i, ++id) {
            table.recordCrash(lost(id, id, {content}, account), now);
        }
    };
    crashThrice(Account, CrashingContent);
    now += 1s;
    cr_expect(table.refusesRequest(Account, {CrashingContent}, now));
    for (std::uint64_t content = 10'000; content < 11'000; ++content) {
        crashThrice(hostile, content);
        now += 100ms;
        table.evaluate(now);
    }
    cr_expect(table.refusesRequest(Account, {CrashingContent}, now));
    cr_expect(table.condemned(now).size() <= 256);
    crashThrice(OtherAccount, CrashingContent);
    now += 1s;
    cr_expect(table.refusesRequest(OtherAccount, {CrashingContent}, now));
}

namespace {

constexpr std::uint64_t CrashingFamily = 600;
constexpr std::uint64_t CrashingPath = 601;
constexpr std::uint64_t PopularFamily = 700;

/// Plays the traffic before fleets of several sizes, and expects that the request that crashes
/// servers is stopped in time and that no sound one is refused.
void expectStopped(const char *name, const Traffic &traffic)
{
    for (const std::size_t daemons : {1, 8, 76, 195}) {
        for (const double perSecond : {0.3, 2.0, 20.0}) {
            for (unsigned seed = 1; seed <= 3; ++seed) {
                RepeatedCrash day(daemons, 12, seed, traffic);
                day.play(0, 2s);
                day.play(perSecond, 30s);
                cr_expect(day.laterSends() <= MaxLaterRequests,
                          "%s, %zu daemons, %.1f a second, seed %u: %d sends later, %d crashes",
                          name, daemons, perSecond, seed, day.laterSends(), day.crashes());
                cr_expect_eq(day.soundRefused(), 0, "%s, %zu daemons, %.1f a second, seed %u: %d",
                             name, daemons, perSecond, seed, day.soundRefused());
            }
        }
    }
}

} // namespace

// Guards against a request that is taken for another one each time, as its last part is new.
Test(crashingRequests, a_request_whose_last_prompt_part_is_new_each_time_is_refused_in_time)
{
    Traffic traffic;
    traffic.crashing = [](std::uint64_t request) {
        return RequestIdentity{5'000'000 + request, {CrashingFamily, CrashingPath}};
    };
    expectStopped("new last part", traffic);
}

// Guards against the same when the parts that it shares with others are new, too.
Test(crashingRequests, a_request_all_of_whose_prompt_parts_are_new_each_time_is_refused_in_time)
{
    Traffic traffic;
    traffic.crashing = [](std::uint64_t request) {
        return RequestIdentity{5'000'000 + request, {6'000'000 + request, CrashingPath}};
    };
    expectStopped("all parts new", traffic);
}

// Guards against a verdict on the family of sound requests that the cause belongs to.
Test(crashingRequests, a_repeated_request_of_a_popular_family_is_refused_and_the_family_served)
{
    Traffic traffic;
    traffic.crashing = [](std::uint64_t) {
        return RequestIdentity{CrashingContent, {PopularFamily}};
    };
    traffic.sound = [](std::uint64_t request) {
        return RequestIdentity{1'000'000 + request, {PopularFamily}};
    };
    expectStopped("popular family", traffic);
}

Test(crashingRequests, two_requests_that_crash_servers_are_both_refused_in_time)
{
    Traffic traffic;
    traffic.crashing = [](std::uint64_t request) {
        return request % 2 == 0
            ? RequestIdentity{5'000'000 + request, {CrashingFamily, CrashingPath}}
            : RequestIdentity{CrashingContent, {}};
    };
    for (const std::size_t daemons : {1, 8, 76, 195}) {
        for (unsigned seed = 1; seed <= 3; ++seed) {
            RepeatedCrash day(daemons, 12, seed, traffic);
            day.play(0, 2s);
            day.play(2.0, 30s);
            // Each may take as many as one alone, counted from the third crash of the first.
            cr_expect(day.laterSends() <= 2 * MaxLaterRequests, "%zu daemons, seed %u: %d sends",
                      daemons, seed, day.laterSends());
            cr_expect_eq(day.soundRefused(), 0);
        }
    }
}

// Sound requests of the same family can't be told from the cause by what they say: they are served.
Test(crashingRequests, sound_requests_that_say_the_same_as_a_changing_cause_are_not_refused)
{
    Traffic traffic;
    traffic.crashing = [](std::uint64_t request) {
        return RequestIdentity{5'000'000 + request, {PopularFamily}};
    };
    traffic.sound = [](std::uint64_t request) {
        return RequestIdentity{1'000'000 + request, {PopularFamily}};
    };
    for (const std::size_t daemons : {1, 8, 76, 195}) {
        RepeatedCrash day(daemons, 12, 1, traffic);
        day.play(0, 2s);
        day.play(2.0, 30s);
        cr_expect_eq(day.soundRefused(), 0);
    }
}

Test(crashingRequests, a_success_with_another_last_part_acquits_the_family)
{
    CrashTable table;
    table.recordSuccess(Account, {}, {1, {PopularFamily}}, start());
    TimePoint now = start();
    for (std::uint64_t i = 2; i < 10; ++i) {
        now += 1100ms;
        table.recordCrash(lost(i, i, {i, {PopularFamily}}), now);
    }
    cr_expect_not(table.refusesRequest(Account, {100, {PopularFamily}}, now + 2s));
}

Test(crashingRequests, another_daemon_is_told_of_families)
{
    CrashTable table;
    CrashTable other;
    TimePoint now = start();
    for (std::uint64_t i = 1; i <= 3; ++i) {
        now += 1100ms;
        table.recordCrash(lost(i, i, {i, {CrashingFamily}}), now);
        other.apply(table.takeUnpublished(now), now + 200ms);
    }
    cr_expect(other.refusesRequest(Account, {100, {CrashingFamily}}, now + 2s));
    cr_expect_not(other.refusesRequest(OtherAccount, {100, {CrashingFamily}}, now + 2s));
    cr_expect_not(other.refusesRequest(Account, {100, {}}, now + 2s));
}
