#include <criterion/criterion.h>

#include <deque>
#include <random>

#include "Feed/FeedMessages.h"
#include "Routing/BackendPicker.h"

using namespace lycheearch;

namespace {

const ServiceId Service("s");
const TimePoint Start = TimePoint() + 100s;

/// A service all of whose servers are brittle.
struct Load
{
    const char *name;
    int daemons;
    int servers;
    int slots;
    double perSecond; ///< Requests of all callers together.
    Duration work; ///< Time that a server takes for a request.
    double maxRejections; ///< Per second, beyond which a server falls over.
    /// From when on servers fall over: what the daemons send before they know is not counted.
    Duration learningTime;
};

/// Plays a load: daemons with pickers of their own, servers without a queue that reject what
/// exceeds their slots and fall over, and news that take NewsDelay to all daemons.
class BrittleFleet
{
public:
    BrittleFleet(const Load &load, bool announced)
        : m_load(load)
        , m_announced(announced)
        , m_servers(static_cast<std::size_t>(load.servers))
    {
        for (int i = 0; i < load.daemons; ++i) {
            m_pickers.emplace_back(InstanceId("d" + std::to_string(i)), DataCentreId("here"));
            m_pickers.back().rateLimiter().setPosition({i, load.daemons, Duration::zero()});
            m_pickers.back().setDaemons(load.daemons);
        }
        for (int i = 0; i < load.servers; ++i) {
            BackendEntry report;
            report.id = idOf(i);
            report.service = Service;
            report.dataCentre = DataCentreId("here");
            report.version = VersionId("v1");
            report.slots = load.slots;
            m_view.apply({Offset(0), BackendReported{report}}, Start);
        }
        for (BackendPicker &picker : m_pickers) {
            picker.rateLimiter().setServers(m_view);
        }
    }

    void run(Duration time)
    {
        constexpr Duration step = 1ms;
        std::exponential_distribution<double> gap(m_load.perSecond);
        double nextArrival = 0;
        for (Duration at{}; at < time; at += step) {
            m_now = Start + at;
            endRequests();
            if (at % NewsDelay == Duration::zero()) {
                exchangeNews();
            }
            const double seconds = std::chrono::duration<double>(at).count();
            while (nextArrival <= seconds) {
                nextArrival += gap(m_random);
                arrive();
            }
        }
    }

    int served = 0;
    int refused = 0; ///< By the daemons.
    int falls = 0;

private:
    static constexpr Duration NewsDelay = 400ms;
    static constexpr Duration RestartTime = 3s;

    struct Server
    {
        int running = 0;
        std::deque<TimePoint> rejections;
        TimePoint backAt;
    };

    struct Running
    {
        TimePoint endsAt;
        int daemon = 0;
        int server = 0;
    };

    static InstanceId idOf(int server) { return InstanceId("b" + std::to_string(server)); }

    void arrive()
    {
        // Half of the requests arrive at a quarter of the daemons.
        const auto daemons = static_cast<std::uint64_t>(m_load.daemons);
        const bool busy = m_random() % 2 == 0;
        const auto daemon = static_cast<int>(
            m_random() % (busy ? std::max<std::uint64_t>(1, daemons / 4) : daemons));
        BackendPicker &picker = m_pickers[static_cast<std::size_t>(daemon)];
        PickRequest request;
        request.service = Service;
        constexpr int maxAttempts = 2;
        for (int attempt = 0; attempt < maxAttempts; ++attempt) {
            PickFault fault = PickFault::None;
            const auto pick = picker.pick(request, m_view, m_now, fault);
            if (!pick) {
                ++refused;
                return;
            }
            picker.onSent(*pick, request, m_now);
            if (send(daemon, pick->backend)) {
                return;
            }
            request.disallowedBackends.insert(pick->backend);
        }
    }

    bool send(int daemon, const InstanceId &id)
    {
        const int number = std::stoi(id.value().substr(1));
        Server &server = m_servers[static_cast<std::size_t>(number)];
        BackendPicker &picker = m_pickers[static_cast<std::size_t>(daemon)];
        if (server.backAt > m_now) {
            picker.onEnded(id, SendOutcome::Unreachable, 0, 0, m_now);
            return false;
        }
        if (m_announced) {
            picker.onBrittle(id, m_load.maxRejections, m_now);
        }
        if (server.running < m_load.slots) {
            ++server.running;
            m_running.push_back({m_now + m_load.work, daemon, number});
            return true;
        }
        picker.onEnded(id, SendOutcome::Overloaded, 0, 0, m_now);
        reject(server);
        return false;
    }

    void reject(Server &server)
    {
        server.rejections.push_back(m_now);
        while (m_now - server.rejections.front() > Duration(1s)) {
            server.rejections.pop_front();
        }
        if (static_cast<double>(server.rejections.size()) > m_load.maxRejections
            && m_now - Start > m_load.learningTime) {
            ++falls;
            server.backAt = m_now + RestartTime;
            server.rejections.clear();
        }
    }

    void endRequests()
    {
        while (!m_running.empty() && m_running.front().endsAt <= m_now) {
            const Running ended = m_running.front();
            m_running.pop_front();
            --m_servers[static_cast<std::size_t>(ended.server)].running;
            m_pickers[static_cast<std::size_t>(ended.daemon)].onEnded(
                idOf(ended.server), SendOutcome::Served, 0, 0, m_now);
            ++served;
        }
    }

    void exchangeNews()
    {
        std::vector<LimitsNotice> notices;
        BackendLoads total;
        std::vector<BackendLoads> own;
        for (BackendPicker &picker : m_pickers) {
            own.push_back(picker.ownLoads(m_now));
            addLoads(total, own.back());
            addNewest(notices, picker.rateLimiter().notices().takeUnpublished(m_now));
        }
        for (std::size_t i = 0; i < m_pickers.size(); ++i) {
            BackendLoads others = total;
            subtractLoads(others, own[i]);
            m_pickers[i].setOtherDaemonsLoads(std::move(others), m_now);
            for (const LimitsNotice &notice : notices) {
                m_pickers[i].rateLimiter().notices().apply(notice, m_now);
            }
        }
    }

    Load m_load;
    bool m_announced;
    FleetView m_view;
    std::vector<BackendPicker> m_pickers;
    std::vector<Server> m_servers;
    std::deque<Running> m_running;
    TimePoint m_now = Start;
    std::mt19937_64 m_random{1};
};

/// Servers may fall over so often while a service says that it is brittle.
double mostFalls(const Load &load)
{
    return 2 + 0.1 * load.servers;
}

constexpr Duration BrittleTime = 12s;

void expectServed(const Load &load)
{
    BrittleFleet fleet(load, true);
    fleet.run(BrittleTime);
    cr_expect(fleet.falls <= mostFalls(load), "%s: %d falls", load.name, fleet.falls);
    cr_expect(fleet.refused <= (fleet.served + fleet.refused) / 50,
              "%s: %d falls, %d served, %d refused", load.name, fleet.falls, fleet.served,
              fleet.refused);
}

} // namespace

Test(brittleServers, they_do_not_fall_over_under_more_than_they_can_bear, .timeout = 120)
{
    const Load loads[] = {
        {"8 daemons, a model service", 8, 12, 48, 400, 2s, 3, 3s},
        {"8 daemons, a plain service", 8, 3, 6, 900, 30ms, 3, 3s},
        {"76 daemons, a model service", 76, 60, 64, 2600, 2s, 3, 4s},
        {"195 daemons, a model service", 195, 156, 24, 2600, 2s, 1, 5s},
    };
    for (const Load &load : loads) {
        BrittleFleet unaware(load, false);
        unaware.run(BrittleTime);
        BrittleFleet aware(load, true);
        aware.run(BrittleTime);
        cr_expect(unaware.falls > mostFalls(load), "%s: the load is too small", load.name);
        cr_expect(aware.falls <= mostFalls(load), "%s: %d falls", load.name, aware.falls);
        cr_expect_gt(aware.served, unaware.served, "%s", load.name);
    }
}

Test(brittleServers, those_of_a_service_with_fewer_slots_than_daemons_do_not_fall_over,
     .timeout = 60)
{
    const Load load{"195 daemons, a plain service", 195, 5, 6, 2500, 15ms, 3, 5s};
    BrittleFleet unaware(load, false);
    unaware.run(BrittleTime);
    BrittleFleet aware(load, true);
    aware.run(BrittleTime);
    cr_expect(unaware.falls > mostFalls(load), "the load is too small");
    cr_expect(aware.falls <= mostFalls(load), "%d falls", aware.falls);
}

Test(brittleServers, a_usual_load_is_served, .timeout = 60)
{
    expectServed({"8 daemons, a model service", 8, 12, 48, 60, 2s, 1, 3s});
    expectServed({"8 daemons, a plain service", 8, 3, 6, 15, 30ms, 1, 3s});
    expectServed({"195 daemons, a model service", 195, 156, 24, 420, 2s, 1, 5s});
}

Test(brittleServers, a_usual_load_is_served_with_fewer_slots_than_daemons, .timeout = 60)
{
    expectServed({"195 daemons, a plain service", 195, 5, 6, 150, 15ms, 1, 5s});
}

Test(brittleServers, a_service_with_fewer_slots_than_daemons_serves_as_much_as_one_that_falls_over,
     .timeout = 60)
{
    const Load load{"195 daemons, a plain service", 195, 5, 6, 2500, 15ms, 3, 5s};
    BrittleFleet unaware(load, false);
    unaware.run(BrittleTime);
    BrittleFleet aware(load, true);
    aware.run(BrittleTime);
    cr_expect(aware.served >= unaware.served, "%d served, %d by servers that fall over",
              aware.served, unaware.served);
}
