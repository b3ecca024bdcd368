#include <criterion/criterion.h>

#include <string>

#include "Fleet/JsonScanner.h"

using namespace lycheearch;

namespace {

std::string valueOf(std::string_view text, int maxDepth = 8)
{
    const auto value = JsonScanner(text).skipValue(maxDepth);
    return value ? std::string(*value) : "none";
}

} // namespace

Test(jsonScanner, a_value_ends_at_its_outermost_bracket)
{
    cr_expect_str_eq(valueOf(" {\"a\":[1,{}]} , 2").c_str(), "{\"a\":[1,{}]}");
    cr_expect_str_eq(valueOf("{\"}\\\"]\":\"\\\\\"}]").c_str(), "{\"}\\\"]\":\"\\\\\"}");
    cr_expect_str_eq(valueOf("-1.5e3\n}").c_str(), "-1.5e3");
    cr_expect_str_eq(valueOf("\"a,\\\"b\",").c_str(), "\"a,\\\"b\"");
}

Test(jsonScanner, text_that_ends_within_a_value_has_none)
{
    for (const char *text : {"", " ", "{", "[[]", "\"", "\"\\", "\"\\\"", "{\"a\":\"}", ",", "]"}) {
        cr_expect_str_eq(valueOf(text).c_str(), "none", "%s", text);
    }
}

Test(jsonScanner, a_value_nested_too_deeply_is_not_skipped)
{
    cr_expect_str_eq(valueOf("[[[]]]", 3).c_str(), "[[[]]]");
    cr_expect_str_eq(valueOf("[[[[]]]]", 3).c_str(), "none");
}

Test(jsonScanner, a_string_with_an_escape_sequence_is_not_plain)
{
    cr_expect(JsonScanner(" \"abc\" ").readPlainString() == "abc");
    cr_expect(JsonScanner("\"\"").readPlainString() == "");
    cr_expect_not(JsonScanner("\"a\\u0062\"").readPlainString().has_value());
    cr_expect_not(JsonScanner("abc").readPlainString().has_value());
    cr_expect_not(JsonScanner("\"abc").readPlainString().has_value());
}
