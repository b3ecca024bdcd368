#include <criterion/criterion.h>

#include <cstdio>
#include <fstream>
#include <string>

#include <unistd.h>

#include "Config/RouterSettings.h"

using namespace lycheearch;

namespace {

/// Loads settings with the given lines below the required ones.
RouterSettings load(const std::string &lines, Findings &findings)
{
    const std::string path = "/tmp/lycheearch-hedging-" + std::to_string(getpid()) + ".yaml";
    std::ofstream(path) << "instance: a\ndata_centre: d\nlisten: 127.0.0.1:1\n"
                           "readiness_listen: 127.0.0.1:2\nmetrics_listen: 127.0.0.1:3\n"
                           "feed_listen: 127.0.0.1:4\nstore: 127.0.0.1:5\n"
                        << lines;
    const RouterSettings settings = loadRouterSettings(path, findings);
    std::remove(path.c_str());
    return settings;
}

} // namespace

Test(hedgeSettings, nothing_is_sent_twice_unless_the_settings_say_so)
{
    Findings findings;
    cr_expect_eq(load("", findings).hedging.maxShare, 0);
    cr_expect(findings.empty());
}

Test(hedgeSettings, the_section_is_read_and_checked)
{
    Findings findings;
    const HedgeSettings hedging =
        load("hedging:\n  max_share: 0.1\n  window_s: 20\n  reserve_share: 0.3\n", findings)
            .hedging;
    cr_expect(findings.empty());
    cr_expect_eq(hedging.maxShare, 0.1);
    cr_expect_eq(hedging.window.count(), Duration(20s).count());
    cr_expect_eq(hedging.reserveShare, 0.3);
    for (const char *line : {"max_share: 1.5", "max_share: -0.1", "max_share: nan", "window_s: 0",
                             "reserve_share: 2", "share: 0.1"}) {
        Findings wrong;
        load(std::string("hedging:\n  ") + line + "\n", wrong);
        cr_expect_not(wrong.empty(), "%s", line);
    }
}
