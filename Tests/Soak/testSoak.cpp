#include <criterion/criterion.h>

#include "PortLock.h"
#include "Soak.h"

using namespace lycheearch;
using namespace lycheearch::soak;

Test(soak, guarantees_hold_under_random_faults, .timeout = 90)
{
    SoakOptions options;
    options.seed = 7;
    options.faultDuration = 10s;
    options.daemons = 3;
    options.firstPort = 23000;
    options.buildFolder = LYCHEEARCH_BUILD_DIR;
    options.workFolder = options.buildFolder + "/test-soak";
    const PortLock ports(options.firstPort);
    Soak soak(options);
    for (const std::string &finding : soak.run()) {
        cr_expect(false, "%s", finding.c_str());
    }
    cr_expect(soak.requests() > 300, "%zu requests", soak.requests());
}
