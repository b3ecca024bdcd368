#include <criterion/criterion.h>

#include "State/ReplicaStore.h"

using namespace lycheearch;

namespace {

const TimePoint Now = TimePoint() + 100s;

KeptRecord record(KeptKind kind, const std::string &key, const std::string &data = "")
{
    return {kind, key, InstanceId("owner"), data, {}};
}

} // namespace

Test(replicaStore, the_first_pin_of_a_session_wins)
{
    ReplicaStore store(10, 60s);
    cr_expect(store.put({record(KeptKind::Session, "s", "v1")}, Now).empty());
    const auto present = store.put({record(KeptKind::Session, "s", "v2")}, Now);
    cr_assert_eq(present.size(), 1);
    cr_expect(present.front().data == "v1");
}

Test(replicaStore, a_full_store_evicts_old_answers_but_never_a_bill)
{
    ReplicaStore store(20, 60s);
    for (int i = 0; i < 25; ++i) {
        store.put({record(KeptKind::Answer, std::to_string(i))}, Now + Duration(i));
    }
    cr_expect_leq(store.size(KeptKind::Answer), 20);
    cr_expect_not(store.get(KeptKind::Answer, "0", Now).has_value());
    cr_expect(store.get(KeptKind::Answer, "24", Now).has_value());
    for (int i = 0; i < 20; ++i) {
        cr_expect(store.put({record(KeptKind::Bill, std::to_string(i))}, Now).empty());
    }
    cr_expect_eq(store.put({record(KeptKind::Bill, "one more")}, Now).size(), 1);
    store.expire(Now + 1000s);
    cr_expect_eq(store.size(KeptKind::Bill), 20);
    cr_expect_eq(store.size(KeptKind::Answer), 0);
}
