#include <criterion/criterion.h>

#include <fstream>
#include <sstream>

#include "Config/Manifest.h"
#include "Config/RouterSettings.h"
#include "Config/Settings.h"

using namespace lycheearch;

namespace {

std::string page(const std::string &name)
{
    std::ifstream file(std::string(LYCHEEARCH_SOURCE_DIR) + "/docs/operators/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

Test(reference, pages_agree_with_the_declarations)
{
    cr_expect(page("settings.md").find(settingsReference()) != std::string::npos,
              "run lycheearchd --describe-config");
    cr_expect(page("router-settings.md").find(routerSettingsReference()) != std::string::npos,
              "run lycheearchd --platform --describe-config");
    cr_expect(page("manifest.md").find(manifestReference()) != std::string::npos,
              "run lycheearch describe-manifest");
}
