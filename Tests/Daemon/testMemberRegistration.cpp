#include <criterion/criterion.h>

#include "Daemon/MemberRegistration.h"
#include "Fleet/FakeStore.h"
#include "ManualLoop.h"
#include "platform/PlatformRecordCodec.h"

using namespace lycheearch;

namespace {

struct Fixture
{
    Fixture()
        : loop(clock)
        , registration(loop, store, codec, clock,
                       {InstanceId("i"), DataCentreId("d"), {"127.0.0.1", 1}, 0},
                       [this](TimePoint) { ++attempts; })
    {
        registration.start();
    }

    /// Answers each write at once, for \p span.
    void answerFor(Duration span, bool written)
    {
        runLoopFor(clock, loop, span, [&] {
            while (!store.writes.empty()) {
                const FakeStore::Write write = std::move(store.writes.back());
                store.writes.pop_back();
                StoreOutcome<Offset> outcome;
                if (written) {
                    outcome.value = Offset(1);
                }
                write.callback(outcome, clock.now());
            }
        });
    }

    ManualClock clock;
    EventLoop loop;
    FakeStore store;
    platform::PlatformRecordCodec codec;
    int attempts = 0;
    MemberRegistration registration;
};

} // namespace

Test(memberRegistration, failed_writes_are_repeated_less_and_less_often)
{
    Fixture test;
    test.answerFor(60s, false);
    cr_expect(test.attempts >= 5 && test.attempts <= 8, "%d", test.attempts);
}

Test(memberRegistration, a_failed_write_is_repeated_soon_after_the_store_answers_again)
{
    Fixture test;
    test.answerFor(40s, false);
    const int before = test.attempts;
    test.registration.onStoreRegained(test.clock.now());
    test.answerFor(1100ms, true);
    cr_expect_eq(test.attempts, before + 1);
}

Test(memberRegistration, a_record_is_renewed_and_written_again_after_the_store_came_back_older)
{
    Fixture test;
    test.answerFor(71s, true);
    cr_expect_eq(test.attempts, 2);
    test.registration.onStoreRegained(test.clock.now());
    test.answerFor(2s, true);
    cr_expect_eq(test.attempts, 2);
    test.registration.onStoreEra(test.clock.now());
    test.answerFor(2s, true);
    cr_expect_eq(test.attempts, 3);
}
