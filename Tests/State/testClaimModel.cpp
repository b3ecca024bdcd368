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

constexpr int MaxDaemons = 3;
const TimePoint Now{};
const RequestKey Key("account/key");

enum class Step { Idle, Appending, Appended, AwaitingConsent, Granted, Failed };

struct DaemonState
{
    Step step = Step::Idle;
    unsigned consented = 0; ///< Bit mask of the peers that consented.
    unsigned releaseReceived = 0; ///< Bit mask of the peers that received the release.
    bool appendPending = false; ///< The claim can still be appended.
    bool releasePending = false; ///< The release can still be appended.
    std::size_t offset = 0;
    std::size_t applied = 0;
};

struct ModelState
{
    std::array<ClaimTable, MaxDaemons> tables{ClaimTable(1s), ClaimTable(1s), ClaimTable(1s)};
    std::array<DaemonState, MaxDaemons> daemons;
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

std::string fingerprint(const ModelState &model)
{
    std::string text;
    for (int d = 0; d < MaxDaemons; ++d) {
        const DaemonState &state = model.daemons[d];
        for (const std::size_t field :
             {static_cast<std::size_t>(state.step), std::size_t{state.consented},
              std::size_t{state.releaseReceived}, std::size_t{state.appendPending},
              std::size_t{state.releasePending}, state.offset, state.applied}) {
            text += std::to_string(field) + ",";
        }
        const ClaimEntry entry = model.tables[d].find(Key);
        text += entry.claim.value() + std::to_string(static_cast<int>(entry.phase));
        for (int c = 0; c < MaxDaemons; ++c) {
            text += std::to_string(static_cast<int>(model.tables[d].phaseOf(Key, claimOf(c))));
        }
        text += ";";
    }
    for (const ClaimRecord &record : model.log) {
        text += record.claim.value() + (record.event == ClaimEvent::Claim ? "+" : "-");
    }
    return text;
}

/// Parameters of an exploration.
struct Parameters
{
    int daemons = MaxDaemons;
    bool releases = true; ///< Whether releases of failed claims can reach peers and the log.
    bool consentsAreRecorded = true; ///< False breaks the protocol deliberately.
};

/// Visits all reachable states, and stops at the first with more than one granted claim.
class Exploration
{
public:
    explicit Exploration(Parameters parameters)
        : m_parameters(parameters)
    {
    }

    void run()
    {
        std::vector<ModelState> frontier{ModelState()};
        m_seen.insert(fingerprint(frontier.back()));
        while (!frontier.empty() && m_doubleGrants == 0) {
            const ModelState model = std::move(frontier.back());
            frontier.pop_back();
            check(model);
            for (int d = 0; d < m_parameters.daemons; ++d) {
                expand(model, d, [&](ModelState next) {
                    if (m_seen.insert(fingerprint(next)).second) {
                        frontier.push_back(std::move(next));
                    }
                });
            }
        }
    }

    std::size_t stateCount() const { return m_seen.size(); }
    std::size_t doubleGrants() const { return m_doubleGrants; }
    std::size_t grants() const { return m_grants; }

private:
    using Visit = std::function<void(ModelState)>;

    void check(const ModelState &model)
    {
        int granted = 0;
        for (const DaemonState &state : model.daemons) {
            granted += state.step == Step::Granted ? 1 : 0;
        }
        m_grants += granted > 0 ? 1 : 0;
        m_doubleGrants += granted > 1 ? 1 : 0;
    }

    void failClaim(ModelState &model, int d) const
    {
        model.tables[d].release(Key, claimOf(d), Now);
        model.daemons[d].step = Step::Failed;
        model.daemons[d].releasePending = m_parameters.releases;
    }

    void expand(const ModelState &model, int d, const Visit &visit) const
    {
        expandLog(model, d, visit);
        const DaemonState &state = model.daemons[d];
        ModelState next = model;
        DaemonState &changed = next.daemons[d];
        switch (state.step) {
        case Step::Idle: {
            const ClaimEntry entry = next.tables[d].begin(Key, claimOf(d), instance(d), Now);
            const bool isOwnClaim = entry.claim == claimOf(d);
            changed.step = isOwnClaim ? Step::Appending : Step::Failed;
            changed.appendPending = isOwnClaim;
            visit(next);
            break;
        }
        case Step::Appending:
            changed.step = Step::AwaitingConsent; // The response of the log timed out.
            visit(next);
            break;
        case Step::Appended:
            if (state.applied > state.offset) {
                const auto winner = next.tables[d].logWinner(Key);
                if (winner && winner->claim == claimOf(d)) {
                    changed.step = Step::Granted;
                } else {
                    failClaim(next, d);
                }
            } else {
                changed.step = Step::AwaitingConsent; // Reading the record back timed out.
            }
            visit(next);
            break;
        case Step::AwaitingConsent:
            expandConsent(model, d, visit);
            break;
        case Step::Failed:
            expandRelease(model, d, visit);
            break;
        case Step::Granted:
            break;
        }
    }

    /// Pending records of this daemon reach the log, or it reads the next record.
    void expandLog(const ModelState &model, int d, const Visit &visit) const
    {
        const DaemonState &state = model.daemons[d];
        if (state.appendPending) {
            ModelState next = model;
            next.daemons[d].appendPending = false;
            if (state.step == Step::Appending) {
                next.daemons[d].step = Step::Appended;
                next.daemons[d].offset = model.log.size();
            }
            next.log.push_back({ClaimEvent::Claim, Key, claimOf(d), instance(d)});
            visit(next);
        }
        if (state.releasePending) {
            ModelState next = model;
            next.daemons[d].releasePending = false;
            next.log.push_back({ClaimEvent::Release, Key, claimOf(d), instance(d)});
            visit(next);
        }
        if (state.applied < model.log.size()) {
            ModelState next = model;
            next.tables[d].applyLogRecord(Offset(static_cast<std::int64_t>(state.applied)),
                                          model.log[state.applied], Now);
            ++next.daemons[d].applied;
            visit(next);
        }
    }

    void expandConsent(const ModelState &model, int d, const Visit &visit) const
    {
        std::vector<InstanceId> roster;
        for (int member = 0; member < m_parameters.daemons; ++member) {
            roster.push_back(instance(member));
        }
        bool unanimous = true;
        for (int peer = 0; peer < m_parameters.daemons; ++peer) {
            const unsigned bit = 1U << peer;
            if (peer == d || (model.daemons[d].consented & bit) != 0) {
                continue;
            }
            unanimous = false;
            ModelState next = model;
            ClaimTable scratch = next.tables[peer];
            ClaimTable &table = m_parameters.consentsAreRecorded ? next.tables[peer] : scratch;
            if (table.ask({Key, claimOf(d), instance(d), roster}, roster, Now).consent) {
                next.daemons[d].consented |= bit;
            } else {
                failClaim(next, d);
            }
            visit(next);
            ModelState unreachable = model;
            failClaim(unreachable, d);
            visit(unreachable);
        }
        if (unanimous) {
            ModelState next = model;
            next.daemons[d].step = Step::Granted;
            visit(next);
        }
    }

    void expandRelease(const ModelState &model, int d, const Visit &visit) const
    {
        for (int peer = 0; peer < m_parameters.daemons; ++peer) {
            const unsigned bit = 1U << peer;
            const bool needsRelease = m_parameters.releases
                && (model.daemons[d].consented & bit) != 0
                && (model.daemons[d].releaseReceived & bit) == 0;
            if (needsRelease) {
                ModelState next = model;
                next.daemons[d].releaseReceived |= bit;
                next.tables[peer].release(Key, claimOf(d), Now);
                visit(next);
            }
        }
    }

    Parameters m_parameters;
    std::set<std::string> m_seen;
    std::size_t m_grants = 0;
    std::size_t m_doubleGrants = 0;
};

} // namespace

Test(claimModel, a_key_is_never_granted_to_two_daemons_with_late_releases)
{
    Exploration exploration({2, true, true});
    exploration.run();
    cr_log_info("explored %zu states", exploration.stateCount());
    cr_expect_gt(exploration.grants(), 0);
    cr_expect_eq(exploration.doubleGrants(), 0);
}

Test(claimModel, a_key_is_never_granted_to_two_of_three_daemons)
{
    Exploration exploration({3, false, true});
    exploration.run();
    cr_log_info("explored %zu states", exploration.stateCount());
    cr_expect_gt(exploration.grants(), 0);
    cr_expect_eq(exploration.doubleGrants(), 0);
}

Test(claimModel, the_model_detects_a_protocol_that_does_not_record_consents)
{
    Exploration exploration({2, true, false});
    exploration.run();
    cr_expect_gt(exploration.doubleGrants(), 0);
}
