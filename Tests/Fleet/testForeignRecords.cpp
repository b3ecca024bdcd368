#include <criterion/criterion.h>

#include <random>

#include <nlohmann/json.hpp>

#include "Fleet/FleetView.h"
#include "Fleet/OwnRecords.h"
#include "platform/PlatformRecordCodec.h"

// Entries that another writer left among those of the platform: they name no server to use, and do
// no harm to those that read them.

using namespace lycheearch;

namespace {

constexpr std::size_t MaxRecordBytes = 262'144;
constexpr int GeneratedEntries = 20'000;

const std::string Sound = R"({"Service":"s","Address":"10.0.0.1:80","Zone":"d","Version":"v1",)"
                          R"("Slots":4,"State":"ready","ColdMs":0,"Sequence":3,)"
                          R"("born":1700000000000,"Models":[{"Name":"m0"}]})";

FleetRecord decode(Topic topic, const std::string &key, const std::string &value)
{
    return platform::PlatformRecordCodec().decode(topic, {Offset(0), key, value});
}

/// The sound entry with one field replaced, or added, by the text.
std::string entryWith(const std::string &field, const std::string &text)
{
    std::string entry = Sound;
    const std::size_t at = entry.find("\"" + field + "\":");
    if (at == std::string::npos) {
        return entry.insert(1, "\"" + field + "\":" + text + ",");
    }
    const std::size_t begin = at + field.size() + 3;
    const std::size_t end = entry.find_first_of(",}", begin);
    return entry.replace(begin, end - begin, text);
}

std::string nested(const std::string &open, const std::string &close, std::size_t depth)
{
    std::string text;
    for (std::size_t i = 0; i < depth; ++i) {
        text += open;
    }
    text += "1";
    for (std::size_t i = 0; i < depth; ++i) {
        text += close;
    }
    return text;
}

bool isUnreadable(const FleetRecord &record)
{
    return std::holds_alternative<UnreadableRecord>(record);
}

/// One random change to the text of an entry.
std::string mutated(std::string text, std::mt19937 &random)
{
    static const std::vector<std::string> values = {"-1",
                                                    "0",
                                                    "1e308",
                                                    "1e999",
                                                    "-1e18",
                                                    "2147483648",
                                                    "4294967297",
                                                    "9223372036854775807",
                                                    "18446744073709551615",
                                                    "99999999999999999999",
                                                    "null",
                                                    "true",
                                                    "[]",
                                                    "{}",
                                                    "\"\"",
                                                    "\"\\u0000\"",
                                                    "\"\xff\xfe\"",
                                                    "\"10.0.0.1:65536\"",
                                                    "\"10.0.0.1:-1\"",
                                                    "\"10.0.0.1:4294967376\"",
                                                    "\"[::1]:80\"",
                                                    "\":80\"",
                                                    "[[[[[[[[[[1]]]]]]]]]]"};
    static const std::vector<std::string> fields = {"Service", "Address", "Zone",   "Version",
                                                    "Slots",   "State",   "ColdMs", "Sequence",
                                                    "born",    "Models",  "other"};
    switch (random() % 4) {
    case 0:
        return entryWith(fields[random() % fields.size()], values[random() % values.size()]);
    case 1:
        return text.substr(0, random() % (text.size() + 1));
    case 2:
        text[random() % text.size()] = static_cast<char>(random());
        return text;
    default:
        return text.insert(random() % text.size(), values[random() % values.size()]);
    }
}

} // namespace

// Guards against a daemon that ends, or needs much memory, because of a deeply nested entry.
Test(foreignRecords, a_deeply_nested_entry_is_unreadable, .timeout = 30)
{
    const std::size_t depth = MaxRecordBytes / 2 - 200;
    const std::string arrays = nested("[", "]", depth);
    const std::string objects = nested("{\"a\":", "}", depth / 6);
    for (const std::string &text :
         {arrays, objects, entryWith("other", arrays), entryWith("Models", objects),
          std::string(MaxRecordBytes, '[')}) {
        cr_expect(isUnreadable(decode(Topic::Backends, "i-1", text)));
        cr_expect(isUnreadable(decode(Topic::Own, "member/i-1", text)));
        cr_expect(isUnreadable(decode(Topic::Operator, "config", text)));
        cr_expect(isUnreadable(decode(Topic::Status, "rollout/s", text)));
    }
    cr_expect_not(isUnreadable(decode(Topic::Backends, "i-1", Sound)));
    cr_expect_not(isUnreadable(decode(Topic::Backends, "i-1", entryWith("other", "[[\"[[[\"]]"))));
}

// Guards against numbers that overflow when they are converted or added to a time.
Test(foreignRecords, numbers_that_are_out_of_range_make_an_entry_unreadable)
{
    for (const char *field : {"Slots", "ColdMs", "Sequence", "born"}) {
        for (const char *number : {"9223372036854775807", "18446744073709551615", "-1", "1e18",
                                   "99999999999999999999", "1e999"}) {
            cr_expect(isUnreadable(decode(Topic::Backends, "i-1", entryWith(field, number))),
                      "%s=%s", field, number);
        }
    }
    for (const char *slots : {"2147483648", "4294967297", "100000000"}) {
        cr_expect(isUnreadable(decode(Topic::Backends, "i-1", entryWith("Slots", slots))), "%s",
                  slots);
    }
    cr_expect_not(isUnreadable(decode(Topic::Backends, "i-1", entryWith("Slots", "4096"))));
}

// Guards against a server in use that no connection can be opened to.
Test(foreignRecords, an_address_that_is_no_ip_and_port_makes_an_entry_unreadable)
{
    for (const char *address :
         {"10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:4294967376", "10.0.0.1:-1", "10.0.0.1:+80",
          "10.0.0.1: 80", "10.0.0.1:80 ", "10.0.0.1:0x50", "10.0.0.1:", "10.0.0.1", ":80", "",
          "host:80", "10.0.0.256:80", "10.0.0.1:8\\u0000", "[::1]:80", "::1:80"}) {
        const std::string text = "\"" + std::string(address) + "\"";
        cr_expect(isUnreadable(decode(Topic::Backends, "i-1", entryWith("Address", text))), "%s",
                  address);
    }
}

// Guards against values out of range, whatever another writer left, and against harm to sound
// entries.
Test(foreignRecords, generated_entries_are_refused_or_within_range_and_the_others_hold,
     .timeout = 60)
{
    std::mt19937 random(42);
    FleetView view;
    TimePoint now(Duration(1000s));
    view.apply({Offset(0), decode(Topic::Backends, "sound", Sound)}, now);
    int refused = 0;
    for (int i = 0; i < GeneratedEntries; ++i) {
        std::string text = Sound;
        for (unsigned changes = 1 + random() % 3; changes > 0 && !text.empty(); --changes) {
            text = mutated(text, random);
        }
        now += 1ms;
        const FleetRecord record =
            decode(Topic::Backends, "i-" + std::to_string(random() % 50), text);
        refused += isUnreadable(record) ? 1 : 0;
        if (const auto *reported = std::get_if<BackendReported>(&record)) {
            const BackendEntry &report = reported->report;
            cr_expect(report.slots >= 1 && report.slots <= 65'536, "%s", text.c_str());
            cr_expect(report.coldFor >= Duration::zero() && report.coldFor <= Duration(86'400s),
                      "%s", text.c_str());
            cr_expect(report.sequence >= 0 && report.startedAt >= 0, "%s", text.c_str());
            cr_expect_neq(report.address.port, 0);
        }
        view.apply({Offset(i), record}, now);
    }
    cr_expect_gt(refused, GeneratedEntries / 2);
    const BackendState *sound = view.backend(InstanceId("sound"));
    cr_assert_not_null(sound);
    cr_expect_eq(sound->report.address.port, 80);
}
