#include <criterion/criterion.h>

#include <random>

#include "Routing/EvidenceFleet.h"

using namespace lycheearch;

namespace {

constexpr std::uint64_t Account = 7;
constexpr std::uint64_t OtherAccount = 8;
constexpr std::uint64_t FirstPart = 100; ///< Shared by sound and crashing prompts.
constexpr std::uint64_t BadPart = 200;

/// Time after the fifth crash from which on requests with the part count.
constexpr Duration ContactTime = 3s;
constexpr int MaxLaterRequests = 3;

TimePoint start()
{
    return TimePoint(Duration(1000s));
}

RequestCrash crash(std::uint64_t request, std::uint64_t server, std::vector<std::uint64_t> parts,
                   std::uint64_t account = Account)
{
    return {request, server, account, std::move(parts), Duration::zero()};
}

bool refuses(CrashTable &table, std::vector<std::uint64_t> parts, TimePoint now,
             std::uint64_t account = Account)
{
    return table.refusedPart(account, parts, now).has_value();
}

/// What happened in Storm.
struct StormResult
{
    int crashes = 0;
    int laterRequests = 0; ///< With the part, sent later than ContactTime after the fifth crash.
    int soundSent = 0;
    int soundRefused = 0;
};

/// Requests of one account: sound ones, and from the fifth second on some with BadPart, under which
/// each server ends with the sound requests on it. Servers are down for two seconds.
StormResult storm(std::size_t daemons, std::size_t servers, int badPerSecond, unsigned seed)
{
    constexpr Duration step = 10ms;
    constexpr int soundPerSecond = 30;
    constexpr Duration runTime = 400ms;
    constexpr int stepsPerSecond = 100;
    struct Running
    {
        TimePoint end;
        std::size_t daemon;
        std::size_t server;
        std::uint64_t request;
        std::vector<std::uint64_t> parts;
    };
    EvidenceFleet fleet(daemons, seed);
    std::vector<TimePoint> downUntil(servers, start());
    std::vector<std::uint64_t> runs(servers, 0);
    std::vector<Running> running;
    StormResult result;
    std::optional<TimePoint> fifthCrash;
    std::uint64_t request = 0;
    const auto chance = [&](int perSecond) {
        return static_cast<int>(fleet.random()() % stepsPerSecond) < perSecond;
    };
    for (TimePoint now = start(); now < start() + 40s; now += step) {
        fleet.exchange(now);
        for (const Running &answer : running) {
            if (answer.end <= now) {
                fleet.tables[answer.daemon]->recordSuccess(Account, answer.parts, {0}, now);
            }
        }
        std::erase_if(running, [&](const Running &answer) { return answer.end <= now; });
        const std::size_t server = fleet.random()() % servers;
        const std::size_t daemon = fleet.pick();
        const bool up = downUntil[server] <= now;
        if (chance(soundPerSecond)) {
            const std::vector<std::uint64_t> parts = {FirstPart, 1000 + fleet.random()() % 500};
            const bool refused = refuses(*fleet.tables[daemon], parts, now);
            ++result.soundSent;
            result.soundRefused += refused ? 1 : 0;
            if (!refused && up) {
                running.push_back({now + runTime, daemon, server, ++request, parts});
            }
        }
        const std::vector<std::uint64_t> badParts = {FirstPart, BadPart};
        if (now > start() + 5s && chance(badPerSecond) && up
            && !refuses(*fleet.tables[daemon], badParts, now)) {
            result.laterRequests += fifthCrash && now > *fifthCrash + ContactTime ? 1 : 0;
            const std::uint64_t run = server * 1000 + runs[server]++;
            fleet.tables[daemon]->recordCrash(crash(++request, run, badParts), now);
            for (const Running &victim : running) {
                if (victim.server == server) {
                    fleet.tables[victim.daemon]->recordCrash(
                        crash(victim.request, run, victim.parts), now);
                }
            }
            std::erase_if(running, [&](const Running &other) { return other.server == server; });
            downUntil[server] = now + 2s;
            if (++result.crashes == 5) {
                fifthCrash = now;
            }
        }
    }
    return result;
}

} // namespace

Test(crashTable, a_part_under_which_servers_end_is_refused_in_time_by_fleets_of_any_size)
{
    for (const std::size_t daemons : {1, 8, 76, 195}) {
        for (const int badPerSecond : {1, 5, 40}) {
            for (unsigned seed = 1; seed <= 3; ++seed) {
                const StormResult result = storm(daemons, 12, badPerSecond, seed);
                cr_expect(result.crashes >= 3);
                cr_expect(result.laterRequests <= MaxLaterRequests,
                          "%zu daemons, %d a second, seed %u: %d requests later, %d crashes",
                          daemons, badPerSecond, seed, result.laterRequests, result.crashes);
                cr_expect_eq(result.soundRefused, 0,
                             "%zu daemons, %d a second, seed %u: %d of %d sound requests refused",
                             daemons, badPerSecond, seed, result.soundRefused, result.soundSent);
            }
        }
    }
}

Test(crashTable, the_loss_of_many_servers_at_once_condemns_no_part)
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        std::mt19937 random(seed);
        CrashTable table;
        TimePoint now = start();
        // Each server ends with some requests whose parts are new, as after a change of prompts.
        for (std::uint64_t server = 0; server < 40; ++server) {
            for (int i = 0; i < 4; ++i) {
                table.recordCrash(crash(random(), server, {random() % 100, random()}), now);
            }
        }
        now += 2s;
        table.evaluate(now);
        cr_expect(table.takeVerdicts().empty(), "seed %u", seed);
    }
}

Test(crashTable, a_part_that_another_daemon_has_served_is_not_condemned)
{
    CrashTable table;
    const TimePoint now = start();
    for (std::uint64_t i = 0; i < 5; ++i) {
        table.recordCrash(crash(i, i, {FirstPart}), now);
    }
    CrashEvidence objection;
    objection.successes = {{{Account, FirstPart}, Duration(100ms)}};
    table.apply(objection, now + 700ms);
    cr_expect_not(refuses(table, {FirstPart}, now + 1s));
    cr_expect_not(refuses(table, {FirstPart}, now + 10s));
}

Test(crashTable, a_daemon_objects_for_a_part_that_it_has_served)
{
    CrashTable table;
    table.recordSuccess(Account, {FirstPart}, {0}, start());
    CrashEvidence evidence;
    evidence.crashes = {crash(1, 1, {FirstPart, BadPart})};
    table.apply(evidence, start() + 1s);
    const CrashEvidence told = table.takeUnpublished(start() + 1100ms);
    cr_assert_eq(told.successes.size(), 1);
    cr_expect(told.successes[0].key == (SuspectKey{Account, FirstPart}));
}

Test(crashTable, a_part_that_was_served_and_crashes_servers_from_now_on_is_condemned)
{
    CrashTable table;
    TimePoint now = start();
    table.recordSuccess(Account, {BadPart}, {0}, now);
    for (std::uint64_t i = 0; i < 8; ++i) {
        now += 1s;
        table.recordCrash(crash(i, i, {BadPart}), now);
    }
    cr_expect(refuses(table, {BadPart}, now + 1s));
}

Test(crashTable, retries_of_one_request_condemn_no_part)
{
    CrashTable table;
    for (std::uint64_t server = 0; server < 9; ++server) {
        table.recordCrash(crash(1, server, {BadPart}), start());
    }
    cr_expect_not(refuses(table, {BadPart}, start() + 2s));
}

Test(crashTable, one_account_cannot_have_the_prompts_of_another_refused)
{
    CrashTable table;
    TimePoint now = start();
    const std::uint64_t victimPart = 42;
    // The hostile account adds the other account's part to prompts that crash servers.
    for (std::uint64_t i = 0; i < 2000; ++i) {
        now += 10ms;
        table.recordCrash(crash(i, i, {victimPart, 10'000 + i}), now);
    }
    now += 2s;
    cr_expect(refuses(table, {victimPart}, now));
    cr_expect_not(refuses(table, {victimPart}, now, OtherAccount));
    cr_expect(table.condemned(now).size() <= 256);
}

Test(crashTable, a_part_condemned_for_two_accounts_is_refused_to_all)
{
    CrashTable table;
    table.condemn({{Account, BadPart}, Duration::zero()}, start());
    cr_expect_not(refuses(table, {BadPart}, start(), 99));
    table.condemn({{OtherAccount, BadPart}, Duration::zero()}, start());
    cr_expect(refuses(table, {BadPart}, start(), 99));
}

Test(crashTable, a_daemon_that_starts_later_is_told_what_is_condemned)
{
    CrashTable old;
    old.condemn({{Account, BadPart}, Duration::zero()}, start());
    old.takeUnpublished(start());
    CrashTable newcomer;
    newcomer.apply(old.takeUnpublished(start() + 2s), start() + 2s);
    cr_expect(refuses(newcomer, {BadPart}, start() + 2s));
}

Test(crashTable, a_condemned_part_is_released_after_its_lifetime_by_all_daemons)
{
    CrashTable first;
    CrashTable second;
    first.condemn({{Account, BadPart}, Duration::zero()}, start());
    TimePoint now = start();
    for (; now < start() + CondemnedTable::Lifetime + 60s; now += 30s) {
        second.apply(first.takeUnpublished(now), now);
        first.apply(second.takeUnpublished(now), now);
    }
    cr_expect_not(refuses(first, {BadPart}, now));
    cr_expect_not(refuses(second, {BadPart}, now));
}

Test(crashTable, crashes_and_memory_of_successes_are_bounded)
{
    CrashTable table;
    for (std::uint64_t i = 0; i < 100'000; ++i) {
        table.recordSuccess(Account, {i}, {i}, start());
        table.recordCrash(crash(i, i % 7, {i}), start());
    }
    cr_expect(table.takeUnpublished(start() + 1s).crashes.size() <= 512);
}
