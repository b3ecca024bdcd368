#include <criterion/criterion.h>

#include <array>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "State/ClaimTable.h"

using namespace lycheearch;

/// Model check of the claim protocol with the real ClaimTable: explores every order of events of a
/// few daemons that all claim the same key. An append to the log takes effect immediately, late or
/// never, and its response can be lost. The daemon then requests consent from its peers one by one,
/// and any of them can be unreachable. The release of a failed claim reaches the peers and the log
/// early, late or never. At most one claim may be granted.
namespace {

constexpr int MostDaemons = 3;
const TimePoint Now{};
const RequestKey Key("account/key");

enum class Step { Idle, Appending, Landed, Asking, Granted, GaveUp };

struct DaemonState
{
    Step step = Step::Idle;
    unsigned consented = 0; ///< Bit mask of the peers that consented.
    unsigned toldRelease = 0; ///< Bit mask of the peers that received the release.
    bool appendOpen = false; ///< The claim can still be appended.
    bool releaseOpen = false; ///< The release can still be appended.
    std::size_t offset = 0;
    std::size_t folded = 0;
};

struct World
{
    std::array<ClaimTable, MostDaemons> tables{ClaimTable(1s), ClaimTable(1s), ClaimTable(1s)};
    std::array<DaemonState, MostDaemons> daemons;
    std::vector<ClaimRecord> log;
};

InstanceId instance(int daemon)
{
    return InstanceId("d" + std::to_string(daemon));
}

ClaimId claimOf(int daemon)
{
    return ClaimId("c" + std::to_string(daemon));
}

std::string fingerprint(const World &world)
{
    std::string text;
    for (int d = 0; d < MostDaemons; ++d) {
        const DaemonState &state = world.daemons[d];
        for (const std::size_t part :
             {static_cast<std::size_t>(state.step), std::size_t{state.consented},
              std::size_t{state.toldRelease}, std::size_t{state.appendOpen},
              std::size_t{state.releaseOpen}, state.offset, state.folded}) {
            text += std::to_string(part) + ",";
        }
        const ClaimEntry entry = world.tables[d].find(Key);
        text += entry.claim.value() + std::to_string(static_cast<int>(entry.phase));
        for (int c = 0; c < MostDaemons; ++c) {
            text += std::to_string(static_cast<int>(world.tables[d].phaseOf(Key, claimOf(c))));
        }
        text += ";";
    }
    for (const ClaimRecord &record : world.log) {
        text += record.claim.value() + (record.event == ClaimEvent::Claim ? "+" : "-");
    }
    return text;
}

/// Parameters of an exploration.
struct Scope
{
    int daemons = MostDaemons;
    bool releases = true; ///< Whether releases of failed claims can reach peers and the log.
    bool consentsAreRecorded = true; ///< False breaks the protocol deliberately.
};

/// Visits all reachable states, and stops at the first with more than one granted claim.
class Exploration
{
public:
    explicit Exploration(Scope scope)
        : m_scope(scope)
    {
    }

    void run()
    {
        std::vector<World> open{World()};
        m_seen.insert(fingerprint(open.back()));
        while (!open.empty() && m_doubleGrants == 0) {
            const World world = std::move(open.back());
            open.pop_back();
            check(world);
            for (int d = 0; d < m_scope.daemons; ++d) {
                expand(world, d, [&](World next) {
                    if (m_seen.insert(fingerprint(next)).second) {
                        open.push_back(std::move(next));
                    }
                });
            }
        }
    }

    std::size_t worlds() const { return m_seen.size(); }
    std::size_t doubleGrants() const { return m_doubleGrants; }
    std::size_t grants() const { return m_grants; }

private:
    using Visit = std::function<void(World)>;

    void check(const World &world)
    {
        int granted = 0;
        for (const DaemonState &state : world.daemons) {
            granted += state.step == Step::Granted ? 1 : 0;
        }
        m_grants += granted > 0 ? 1 : 0;
        m_doubleGrants += granted > 1 ? 1 : 0;
    }

    void giveUp(World &world, int d) const
    {
        world.tables[d].release(Key, claimOf(d), Now);
        world.daemons[d].step = Step::GaveUp;
        world.daemons[d].releaseOpen = m_scope.releases;
    }

    void expand(const World &world, int d, const Visit &visit) const
    {
        expandLog(world, d, visit);
        const DaemonState &state = world.daemons[d];
        World next = world;
        DaemonState &changed = next.daemons[d];
        switch (state.step) {
        case Step::Idle: {
            const ClaimEntry entry = next.tables[d].begin(Key, claimOf(d), instance(d), Now);
            const bool mine = entry.claim == claimOf(d);
            changed.step = mine ? Step::Appending : Step::GaveUp;
            changed.appendOpen = mine;
            visit(next);
            break;
        }
        case Step::Appending:
            changed.step = Step::Asking; // The response of the log timed out.
            visit(next);
            break;
        case Step::Landed:
            if (state.folded > state.offset) {
                const auto winner = next.tables[d].logWinner(Key);
                if (winner && winner->claim == claimOf(d)) {
                    changed.step = Step::Granted;
                } else {
                    giveUp(next, d);
                }
            } else {
                changed.step = Step::Asking; // Reading the record back timed out.
            }
            visit(next);
            break;
        case Step::Asking:
            expandAsking(world, d, visit);
            break;
        case Step::GaveUp:
            expandRelease(world, d, visit);
            break;
        case Step::Granted:
            break;
        }
    }

    /// Pending records of this daemon reach the log, or it reads the next record.
    void expandLog(const World &world, int d, const Visit &visit) const
    {
        const DaemonState &state = world.daemons[d];
        if (state.appendOpen) {
            World next = world;
            next.daemons[d].appendOpen = false;
            if (state.step == Step::Appending) {
                next.daemons[d].step = Step::Landed;
                next.daemons[d].offset = world.log.size();
            }
            next.log.push_back({ClaimEvent::Claim, Key, claimOf(d), instance(d)});
            visit(next);
        }
        if (state.releaseOpen) {
            World next = world;
            next.daemons[d].releaseOpen = false;
            next.log.push_back({ClaimEvent::Release, Key, claimOf(d), instance(d)});
            visit(next);
        }
        if (state.folded < world.log.size()) {
            World next = world;
            next.tables[d].foldLog(Offset(static_cast<std::int64_t>(state.folded)),
                                   world.log[state.folded], Now);
            ++next.daemons[d].folded;
            visit(next);
        }
    }

    void expandAsking(const World &world, int d, const Visit &visit) const
    {
        std::vector<InstanceId> roster;
        for (int member = 0; member < m_scope.daemons; ++member) {
            roster.push_back(instance(member));
        }
        bool unanimous = true;
        for (int peer = 0; peer < m_scope.daemons; ++peer) {
            const unsigned bit = 1U << peer;
            if (peer == d || (world.daemons[d].consented & bit) != 0) {
                continue;
            }
            unanimous = false;
            World next = world;
            ClaimTable scratch = next.tables[peer];
            ClaimTable &table = m_scope.consentsAreRecorded ? next.tables[peer] : scratch;
            if (table.ask({Key, claimOf(d), instance(d), roster}, roster, Now).consent) {
                next.daemons[d].consented |= bit;
            } else {
                giveUp(next, d);
            }
            visit(next);
            World silent = world;
            giveUp(silent, d);
            visit(silent);
        }
        if (unanimous) {
            World next = world;
            next.daemons[d].step = Step::Granted;
            visit(next);
        }
    }

    void expandRelease(const World &world, int d, const Visit &visit) const
    {
        for (int peer = 0; peer < m_scope.daemons; ++peer) {
            const unsigned bit = 1U << peer;
            const bool concerned = m_scope.releases && (world.daemons[d].consented & bit) != 0
                && (world.daemons[d].toldRelease & bit) == 0;
            if (concerned) {
                World next = world;
                next.daemons[d].toldRelease |= bit;
                next.tables[peer].release(Key, claimOf(d), Now);
                visit(next);
            }
        }
    }

    Scope m_scope;
    std::set<std::string> m_seen;
    std::size_t m_grants = 0;
    std::size_t m_doubleGrants = 0;
};

} // namespace

Test(claimModel, two_daemons_with_late_releases_never_both_run)
{
    Exploration exploration({2, true, true});
    exploration.run();
    cr_log_info("explored %zu states", exploration.worlds());
    cr_expect_gt(exploration.grants(), 0);
    cr_expect_eq(exploration.doubleGrants(), 0);
}

Test(claimModel, three_daemons_never_run_twice)
{
    Exploration exploration({3, false, true});
    exploration.run();
    cr_log_info("explored %zu states", exploration.worlds());
    cr_expect_gt(exploration.grants(), 0);
    cr_expect_eq(exploration.doubleGrants(), 0);
}

Test(claimModel, a_protocol_that_forgets_consents_is_caught)
{
    Exploration exploration({2, true, false});
    exploration.run();
    cr_expect_gt(exploration.doubleGrants(), 0);
}
