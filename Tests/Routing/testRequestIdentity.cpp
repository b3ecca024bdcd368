#include <criterion/criterion.h>

#include "Routing/RequestIdentity.h"

using namespace lycheearch;

namespace {

using Parts = std::vector<std::string>;

/// Whether the two requests have a family in common.
bool related(const RequestIdentity &left, const RequestIdentity &right)
{
    for (const std::uint64_t family : left.families) {
        for (const std::uint64_t other : right.families) {
            if (family == other) {
                return true;
            }
        }
    }
    return false;
}

RequestIdentity draft(const Parts &parts, const std::string &body = "b",
                      const std::string &target = "/a/x")
{
    return requestIdentity("POST", target, parts, body);
}

} // namespace

Test(requestIdentity, what_differs_only_in_the_last_part_is_related)
{
    cr_expect(draft({"s", "1"}) == draft({"s", "1"}));
    cr_expect_neq(draft({"s", "1"}).content, draft({"s", "2"}).content);
    cr_expect_eq(draft({"s", "1"}).families.front(), draft({"s", "2"}).families.front());
    cr_expect(related(draft({"1"}), draft({"2"})));
}

Test(requestIdentity, path_and_body_relate_requests_whose_other_parts_and_queries_differ)
{
    cr_expect(related(draft({"s", "1"}), draft({"t", "2"})));
    cr_expect(related(draft({}, "b", "/a/x?n=1"), draft({}, "b", "/a/x?n=2")));
    cr_expect_not(related(draft({"s", "1"}), draft({"s", "1"}, "other")));
    cr_expect_not(related(draft({"s", "1"}), draft({"s", "1"}, "b", "/a/y")));
}

// Guards against a verdict on all requests of an account on one path.
Test(requestIdentity, a_path_alone_relates_no_requests)
{
    cr_expect_not(related(draft({"s", "1"}, ""), draft({"t", "2"}, "")));
    cr_expect(draft({"1"}, "").families.empty());
    cr_expect(draft({}, "", "/a/x?n=1").families.empty());
    cr_expect(related(draft({"s", "1"}, ""), draft({"s", "2"}, "")));
}

Test(requestIdentity, a_width_that_says_no_less_is_left_out)
{
    cr_expect(draft({}).families.empty());
    cr_expect_eq(draft({"1"}).families.size(), 1);
    cr_expect_eq(draft({"s", "1"}).families.size(), 2);
}
