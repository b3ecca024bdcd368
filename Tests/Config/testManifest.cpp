#include <criterion/criterion.h>

#include "Config/Manifest.h"

using namespace lycheearch;

namespace {

std::string parseFindings(const std::string &text)
{
    Findings findings;
    parseManifest(text, "m.yaml", findings);
    return findings.text();
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

Test(manifest, reports_all_errors_with_their_locations)
{
    const std::string findings = parseFindings("deployment: d\n"
                                               "qualty_target: 0.9\n"
                                               "models:\n"
                                               "  - id: m\n"
                                               "    versions:\n"
                                               "      - { id: v, state: wrong, share: 3 }\n"
                                               "      - { id: c, state: canary }\n"
                                               "accounts:\n"
                                               "  - { id: a, key_sha256: abc, models: [other] }\n");
    cr_expect(contains(findings, "m.yaml:2:1 (qualty_target): found unknown key"));
    cr_expect(contains(findings, "m.yaml:6:25 (models[0].versions[0].state): found 'wrong'"));
    cr_expect(contains(findings, "share): found 3.000000"));
    cr_expect(contains(findings, "(models.m.c): found replaces ''"));
    cr_expect(contains(findings, "key_sha256): found 3 characters"));
    cr_expect(contains(findings, "(accounts.a): found model 'other'"));
}

Test(manifest, reports_a_syntax_error_with_its_location)
{
    cr_expect(contains(parseFindings("models: [\n  - x"), "m.yaml:2:"));
    cr_expect(contains(parseFindings("just text"), "found 'just text', expected a map"));
}

Test(manifest, finds_an_account_by_the_hash_of_its_key)
{
    // SHA-256 of "key".
    const std::string hash = "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683";
    Findings findings;
    const Manifest manifest = parseManifest(
        "deployment: d\naccounts:\n  - { id: a, key_sha256: " + hash + " }\n", "m", findings);
    cr_assert(findings.empty(), "%s", findings.text().c_str());
    cr_expect(manifest.findAccountByKey("key") != nullptr);
    cr_expect(manifest.findAccountByKey("other") == nullptr);
}
