#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "Routing/AdmissionController.h"

using namespace lycheearch;

namespace {

const TimePoint Start = TimePoint() + 100s;
const ServiceId Desk("desk");
constexpr Duration Tick = 5ms;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// What happened to the requests of a route or an account, in all.
struct Outcome
{
    int offered = 0; ///< Callers' requests; one that comes back counts once.
    int inTime = 0;
    int late = 0;
    int refused = 0; ///< In the end.
    int ended = 0; ///< At their deadline.

    double share() const { return offered == 0 ? 1 : static_cast<double>(inTime) / offered; }
};

struct RouteLoad
{
    const char *name;
    int priority;
    Duration objective;
    Duration timeout;
    double part; ///< Of all requests.
};

/// A fleet of daemons in front of a service whose places work off the requests by priority. The
/// daemons know of each other's requests and uses what was so 400 ms ago.
class SharedService
{
public:
    struct Load
    {
        int daemons = 79;
        int places = 240;
        Duration run = 500ms; ///< Time that a request takes a place.
        double usual = 0.8; ///< Requests for each place-time, without trouble.
        int accounts = 10;
        double hog = 1; ///< Factor on the requests of account 0, all the time.
        double burst = 1; ///< Factor on the requests of the last route, from 4 to 11 s.
        double lost = 0; ///< Part of the places that are lost from 6 to 8 s.
        bool abuse = false; ///< Account 0 repeats each refused request at once, five times.
        bool withPart = true;
    };

    explicit SharedService(const Load &load)
        : m_load(load)
        , m_random(1)
    {
        for (int i = 0; i < load.daemons; ++i) {
            m_daemons.push_back(std::make_unique<Daemon>(i));
        }
    }

    void play(Duration length)
    {
        const TimePoint end = Start + length;
        for (m_now = Start; m_now < end; m_now += Tick) {
            if ((m_now - Start) % Duration(200ms) == Duration::zero()) {
                exchange();
            }
            arrive();
            comeBack();
            callWaiting();
            work();
        }
    }

    void print(const char *title) const
    {
        std::printf("%s, %d daemons, %s:\n", title, m_load.daemons,
                    m_load.withPart ? "with" : "without");
        const auto row = [](const std::string &name, const Outcome &outcome) {
            std::printf(
                "  %-10s offered %6d in time %6d late %5d refused %5d deadline %5d share %.3f\n",
                name.c_str(), outcome.offered, outcome.inTime, outcome.late, outcome.refused,
                outcome.ended, outcome.share());
        };
        for (std::size_t i = 0; i < routes.size(); ++i) {
            row(routes.at(i).name, byRoute.at(i));
        }
        for (const int account : {0, 1}) {
            row("account " + std::to_string(account), byAccount.at(account));
        }
        row("all", all);
        std::printf("  refused with free places: %d\n", refusedWhileFree);
    }

    /// The three kinds of a service: a most urgent one, usual work and work that can wait.
    static constexpr std::array<RouteLoad, 3> routes{
        {{"urgent", 0, 1500ms, 6s, 0.3}, {"usual", 1, 2s, 8s, 0.3}, {"calm", 2, 3s, 10s, 0.4}}};
    std::array<Outcome, 3> byRoute;
    std::map<int, Outcome> byAccount;
    Outcome all;
    int refusedWhileFree = 0;
    std::vector<bool> cutOff = std::vector<bool>(1000); ///< Daemons that hear nothing.

private:
    struct Daemon
    {
        explicit Daemon(int number)
            : controller(InstanceId("d" + std::to_string(number)), 0.5)
        {
        }
        AdmissionController controller;
        std::map<AdmissionQueue::Ticket, int> waiting; ///< Requests by ticket.
        int atService = 0;
    };

    struct Request
    {
        int daemon = 0;
        int account = 0;
        std::size_t route = 0;
        TimePoint cameAt;
        TimePoint admittedAt;
        Duration expected{};
        AdmissionRequest admission;
        int returns = 0;
        int repeats = 0;
        bool finished = false;
    };

    /// State of the fleet that is on its way to the daemons.
    struct View
    {
        int atService = 0;
        std::vector<int> byDaemon;
        ServiceUses uses;
        std::vector<ServiceUses> usesByDaemon;
        int waiting = 0;
        std::map<int, double> waitingByPriority;
        int running = 0;
    };

    int placesNow() const
    {
        const bool lost = m_now >= Start + 6s && m_now < Start + 8s;
        return static_cast<int>(m_load.places * (lost ? 1 - m_load.lost : 1));
    }

    void exchange()
    {
        View view;
        view.atService = static_cast<int>(m_running.size() + m_queued);
        view.waiting = static_cast<int>(m_queued);
        view.running = static_cast<int>(m_running.size());
        for (const auto &[priority, queue] : m_service) {
            view.waitingByPriority[priority] = static_cast<double>(queue.size());
        }
        for (const auto &daemon : m_daemons) {
            view.byDaemon.push_back(daemon->atService);
            view.usesByDaemon.push_back(daemon->controller.shares().ownUses(m_now));
            addUses(view.uses, view.usesByDaemon.back());
        }
        m_views.push_back(std::move(view));
        if (m_views.size() > 3) {
            m_views.pop_front(); // The oldest is 400 ms old.
        }
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            if (!cutOff.at(i)) {
                ServiceUses others = m_views.front().uses;
                subtractUses(others, m_views.front().usesByDaemon[i]);
                m_daemons[i]->controller.shares().setOtherDaemonsUses(std::move(others), m_now);
            }
        }
    }

    double random() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    void arrive()
    {
        const double perTick = m_load.usual * m_load.places / seconds(m_load.run) * seconds(Tick);
        const bool burst = m_now >= Start + 4s && m_now < Start + 11s;
        for (std::size_t route = 0; route < routes.size(); ++route) {
            const double factor = burst && route + 1 == routes.size() ? m_load.burst : 1;
            for (int account = 0; account < m_load.accounts; ++account) {
                const double rate = perTick * routes.at(route).part * factor / m_load.accounts
                    * (account == 0 ? m_load.hog : 1);
                const int count = std::poisson_distribution<int>(rate)(m_random);
                for (int i = 0; i < count; ++i) {
                    create(account, route);
                }
            }
        }
    }

    void create(int account, std::size_t route)
    {
        // A quarter of the daemons gets half of the requests.
        const double place = random();
        const double daemon = place < 0.5 ? place / 2 : 0.25 + (place - 0.5) * 1.5;
        const int number = std::min(m_load.daemons - 1, static_cast<int>(daemon * m_load.daemons));
        Request request;
        request.daemon = number;
        request.account = account;
        request.route = route;
        request.cameAt = m_now;
        const RouteLoad &kind = routes.at(route);
        request.admission = {Desk,
                             static_cast<std::uint64_t>(account + 1),
                             kind.name,
                             kind.priority,
                             kind.objective,
                             m_now,
                             m_now + kind.timeout,
                             m_requests.size() + 1,
                             1,
                             0};
        m_requests.push_back(request);
        each(request, [](Outcome &outcome) { ++outcome.offered; });
        ask(static_cast<int>(m_requests.size()) - 1, 0);
    }

    void each(const Request &request, const std::function<void(Outcome &)> &change)
    {
        change(byRoute.at(request.route));
        change(byAccount[request.account]);
        change(all);
    }

    ServiceForecast forecast(const Request &request) const
    {
        ServiceOccupancy occupancy;
        occupancy.places = placesNow();
        const int own = m_daemons[static_cast<std::size_t>(request.daemon)]->atService;
        occupancy.taken = own;
        if (!cutOff.at(static_cast<std::size_t>(request.daemon))) {
            const View &view = m_views.front();
            occupancy.taken +=
                view.atService - view.byDaemon[static_cast<std::size_t>(request.daemon)];
            occupancy.waiting = view.waiting;
        }
        // Servers serve by priority; the picker counts less urgent work by a quarter.
        double ahead = 0;
        if (!cutOff.at(static_cast<std::size_t>(request.daemon))) {
            const View &view = m_views.front();
            ahead = std::max(0, view.running + 1 - occupancy.places);
            for (const auto &[priority, waiting] : view.waitingByPriority) {
                ahead += waiting * (priority <= routes.at(request.route).priority ? 1 : 0.25);
            }
            ahead += std::max(0, own - view.byDaemon[static_cast<std::size_t>(request.daemon)]);
            ahead = occupancy.taken + 1 > occupancy.places ? ahead : 0;
        }
        const double perPlace = seconds(m_load.run) / occupancy.places;
        return CapacityForecast::ofEngine(
            occupancy, ahead, 0.1 * occupancy.places,
            std::chrono::duration_cast<Duration>(std::chrono::duration<double>(perPlace)));
    }

    void ask(int number, AdmissionQueue::Ticket ticket)
    {
        Request &request = m_requests[static_cast<std::size_t>(number)];
        Daemon &daemon = *m_daemons[static_cast<std::size_t>(request.daemon)];
        AdmissionDecision decision;
        if (m_load.withPart) {
            decision =
                daemon.controller.decide(request.admission, forecast(request), ticket, m_now);
        }
        daemon.waiting.erase(ticket);
        switch (decision.verdict) {
        case AdmissionDecision::Verdict::Admit:
            request.admittedAt = m_now;
            request.expected = decision.expected;
            m_service[routes.at(request.route).priority].push_back(number);
            ++m_queued;
            ++daemon.atService;
            break;
        case AdmissionDecision::Verdict::Wait:
            daemon.waiting[decision.ticket] = number;
            break;
        case AdmissionDecision::Verdict::Refuse:
            refuse(number, decision.retryAfter);
            break;
        }
        for (const AdmissionQueue::Ticket evicted : decision.evicted) {
            const int other = daemon.waiting.at(evicted);
            daemon.waiting.erase(evicted);
            refuse(other,
                   daemon.controller.refuseWaiting(
                       m_requests[static_cast<std::size_t>(other)].admission, evicted, m_now));
        }
    }

    void refuse(int number, Duration retryAfter)
    {
        Request &request = m_requests[static_cast<std::size_t>(number)];
        if (m_running.size() + m_queued < static_cast<std::size_t>(placesNow()) / 2
            && m_queued == 0) {
            ++refusedWhileFree;
        }
        const bool abuses = m_load.abuse && request.account == 0;
        if (abuses && request.repeats < 5) {
            ++request.repeats;
            m_returns.emplace(m_now + 10ms, number);
        } else if (!abuses && request.returns == 0) {
            ++request.returns;
            m_returns.emplace(m_now + retryAfter, number);
        } else {
            each(request, [](Outcome &outcome) { ++outcome.refused; });
        }
    }

    void comeBack()
    {
        while (!m_returns.empty() && m_returns.begin()->first <= m_now) {
            const int number = m_returns.begin()->second;
            m_returns.erase(m_returns.begin());
            m_requests[static_cast<std::size_t>(number)].admission.receivedAt = m_now;
            ask(number, 0);
        }
    }

    void callWaiting()
    {
        if ((m_now - Start) % Duration(20ms) != Duration::zero()) {
            return;
        }
        for (const auto &daemon : m_daemons) {
            for (const AdmissionQueue::Ticket ticket : daemon->controller.queue().expired(m_now)) {
                const int number = daemon->waiting.at(ticket);
                daemon->waiting.erase(ticket);
                refuse(number,
                       daemon->controller.refuseWaiting(
                           m_requests[static_cast<std::size_t>(number)].admission, ticket, m_now));
            }
            for (int i = 0; i < 4; ++i) {
                const auto first = daemon->controller.queue().first(Desk);
                if (!first) {
                    break;
                }
                ask(daemon->waiting.at(*first), *first);
                if (daemon->controller.queue().find(*first) != nullptr) {
                    break;
                }
            }
        }
    }

    void work()
    {
        while (!m_running.empty() && m_running.begin()->first <= m_now) {
            finish(m_running.begin()->second);
            m_running.erase(m_running.begin());
        }
        for (auto &[priority, queue] : m_service) {
            while (!queue.empty() && m_running.size() < static_cast<std::size_t>(placesNow())) {
                const int number = queue.front();
                queue.pop_front();
                --m_queued;
                if (m_now > m_requests[static_cast<std::size_t>(number)].admission.deadline) {
                    each(m_requests[static_cast<std::size_t>(number)],
                         [](Outcome &outcome) { ++outcome.ended; });
                    --m_daemons[static_cast<std::size_t>(
                                    m_requests[static_cast<std::size_t>(number)].daemon)]
                          ->atService;
                    continue;
                }
                answer(number);
                m_running.emplace(
                    m_now + std::chrono::duration_cast<Duration>(m_load.run * (0.5 + random())),
                    number);
            }
        }
    }

    /// The first event follows a tenth of the time that the request takes a place.
    void answer(int number)
    {
        const Request &request = m_requests[static_cast<std::size_t>(number)];
        const bool late = m_now + m_load.run / 10 - request.admission.receivedAt
            > request.admission.latencyObjective;
        m_daemons[static_cast<std::size_t>(request.daemon)]->controller.onFirstEvent(
            Desk, request.admission.route, request.expected,
            m_now + m_load.run / 10 - request.admittedAt, m_now);
        each(request, [late](Outcome &outcome) { ++(late ? outcome.late : outcome.inTime); });
    }

    void finish(int number)
    {
        --m_daemons[static_cast<std::size_t>(m_requests[static_cast<std::size_t>(number)].daemon)]
              ->atService;
    }

    Load m_load;
    std::mt19937 m_random;
    TimePoint m_now;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::vector<Request> m_requests;
    std::deque<View> m_views;
    std::map<int, std::deque<int>> m_service; ///< Waiting at the servers, by priority.
    std::size_t m_queued = 0;
    std::multimap<TimePoint, int> m_running;
    std::multimap<TimePoint, int> m_returns;
};

struct Comparison
{
    SharedService without;
    SharedService with;

    Comparison(const char *title, SharedService::Load load, Duration length = 14s)
        : without((load.withPart = false, load))
        , with((load.withPart = true, load))
    {
        without.play(length);
        with.play(length);
        without.print(title);
        with.print(title);
    }
};

} // namespace

Test(sharedCapacity, a_burst_of_calm_work_does_not_make_the_urgent_late, .timeout = 120)
{
    for (const int daemons : {8, 79, 300}) {
        SharedService::Load load;
        load.daemons = daemons;
        load.places = daemons * 6;
        load.burst = 2.5;
        const Comparison played("burst of 2.5", load);
        cr_expect_geq(played.with.all.share(), played.without.all.share());
        cr_expect_geq(played.with.byRoute[0].share(), played.without.byRoute[0].share() - 0.01);
        cr_expect_geq(played.with.byRoute[0].share(), played.with.byRoute[2].share() - 0.05);
        cr_expect_geq(played.with.byRoute[1].share(), played.with.byRoute[2].share() - 0.05);
        cr_expect_geq(played.with.byRoute[2].share(), played.with.all.share() / 4);
        cr_expect_eq(played.with.refusedWhileFree, 0);
    }
}

Test(sharedCapacity, an_account_at_15_times_its_usual_takes_what_is_free_and_no_more,
     .timeout = 120)
{
    for (const int daemons : {8, 79, 300}) {
        SharedService::Load load;
        load.daemons = daemons;
        load.places = daemons * 6;
        load.hog = 15;
        const Comparison played("an account at 15 times", load);
        cr_expect_geq(played.with.byAccount.at(1).share(), 0.9);
        cr_expect_geq(played.with.byAccount.at(0).share(), played.with.all.share() / 4);
        cr_expect_geq(played.with.all.share(), played.without.all.share());
        cr_expect_geq(played.with.byRoute[0].share(), played.with.byRoute[2].share() - 0.05);
        cr_expect_eq(played.with.refusedWhileFree, 0);
    }
}

Test(sharedCapacity, a_quarter_of_the_servers_lost_for_a_while, .timeout = 120)
{
    for (const int daemons : {8, 79, 300}) {
        SharedService::Load load;
        load.daemons = daemons;
        load.places = daemons * 6;
        load.usual = 0.95;
        load.lost = 0.25;
        const Comparison played("a quarter of the servers lost", load);
        cr_expect_geq(played.with.all.share(), played.without.all.share() - 0.005);
        cr_expect_geq(played.with.byRoute[0].share(), played.with.byRoute[2].share() - 0.05);
        cr_expect_eq(played.with.refusedWhileFree, 0);
    }
}

Test(sharedCapacity, callers_who_repeat_at_once_gain_nothing, .timeout = 120)
{
    SharedService::Load load;
    load.places = load.daemons * 6;
    load.hog = 8;
    load.usual = 1;
    SharedService patient(load);
    patient.play(14s);
    load.abuse = true;
    SharedService abusive(load);
    abusive.play(14s);
    patient.print("patient callers");
    abusive.print("callers who repeat at once");
    cr_expect_leq(abusive.byAccount.at(0).share(), patient.byAccount.at(0).share() + 0.01);
    cr_expect_geq(abusive.byAccount.at(1).share(), patient.byAccount.at(1).share() - 0.02);
}

Test(sharedCapacity, daemons_that_are_cut_off_serve_and_do_not_harm_the_others, .timeout = 120)
{
    SharedService::Load load;
    load.places = load.daemons * 6;
    load.burst = 2.5;
    SharedService fleet(load);
    for (std::size_t i = 0; i < 8; ++i) {
        fleet.cutOff[i] = true;
    }
    fleet.play(14s);
    fleet.print("8 daemons cut off");
    SharedService whole(load);
    whole.play(14s);
    cr_expect_geq(fleet.byRoute[0].share(), whole.byRoute[0].share() - 0.05);
    cr_expect_geq(fleet.byRoute[0].share(), fleet.byRoute[2].share() - 0.05);
}

Test(sharedCapacity, nothing_is_refused_or_waits_at_a_usual_load, .timeout = 60)
{
    SharedService::Load load;
    load.places = load.daemons * 6;
    load.usual = 0.6;
    SharedService fleet(load);
    fleet.play(14s);
    cr_expect_eq(fleet.all.refused, 0);
    cr_expect_eq(fleet.all.late, 0);
}
