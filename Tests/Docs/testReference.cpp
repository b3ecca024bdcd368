#include <criterion/criterion.h>

#include <fstream>
#include <sstream>

#include "Config/Manifest.h"
#include "Config/RouterSettings.h"
#include "Config/Settings.h"

using namespace lycheearch;

namespace {

std::string readPage(const std::string &name)
{
    std::ifstream file(std::string(LYCHEEARCH_SOURCE_DIR) + "/docs/operators/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

Test(reference, pages_match_generated_references)
{
    cr_expect(readPage("settings.md").find(settingsReference()) != std::string::npos,
              "run lycheearchd --describe-config");
    cr_expect(readPage("router-settings.md").find(routerSettingsReference()) != std::string::npos,
              "run lycheearchd --platform --describe-config");
    cr_expect(readPage("manifest.md").find(manifestReference()) != std::string::npos,
              "run lycheearch describe-manifest");
}
