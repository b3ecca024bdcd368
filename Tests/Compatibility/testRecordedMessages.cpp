#include <criterion/criterion.h>

#include <fstream>
#include <sstream>

#include "Compatibility/SampleMessages.h"
#include "platform/PlatformRecordCodec.h"

// Messages and records as the last landing writes them (data/, written there by
// lycheearch-record-messages): daemons of both builds run beside each other during an upgrade.

using namespace lycheearch;

namespace {

std::string contentOf(const std::string &name)
{
    std::ifstream file(std::string(LYCHEEARCH_SOURCE_DIR) + "/Tests/Compatibility/data/" + name,
                       std::ios::binary);
    cr_assert(file.good(), "no file %s", name.c_str());
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

/// The lines of a file, each split at its tab.
std::vector<std::pair<std::string, std::string>> linesOf(const std::string &name)
{
    std::vector<std::pair<std::string, std::string>> lines;
    std::istringstream content(contentOf(name));
    for (std::string line; std::getline(content, line);) {
        const std::size_t tab = line.find('\t');
        lines.emplace_back(line.substr(0, tab), line.substr(tab + 1));
    }
    return lines;
}

HttpFields fieldsOf(const std::string &name)
{
    HttpFields fields;
    for (const auto &[field, value] : linesOf(name)) {
        fields.add(field, value);
    }
    return fields;
}

} // namespace

Test(recordedMessages, feed_messages_of_the_last_landing_are_read)
{
    std::vector<FeedMessage> messages;
    cr_assert(FeedFrameReader().feed(contentOf("feed.bin"), messages));
    cr_assert_eq(messages.size(), 5);
    cr_expect(std::get<FeedSubscribe>(messages[0]).instance == InstanceId("me"));
    cr_expect_not(std::get<FeedSubscribe>(messages[0]).acceptsLoadChanges); // Not known to 80a49b2.
    const FeedPage expectedPage = compatibility::samplePage();
    const auto &page = std::get<FeedPage>(messages[1]);
    cr_expect(page.topic == expectedPage.topic && page.listing == expectedPage.listing);
    cr_expect(page.page.era == expectedPage.page.era && page.page.end == expectedPage.page.end);
    cr_assert_eq(page.page.records.size(), 2);
    cr_expect(page.page.records[0].key == "i-1" && page.page.records[0].value == "{}");
    cr_expect(page.page.records[1].key == "i-2" && page.page.records[1].value.empty());
    cr_expect(std::get<FeedHeartbeat>(messages[2]).storeStaleness == Duration(5ms));
    cr_expect(std::get<FeedEvidence>(messages[3]).evidence
              == compatibility::sampleEvidence().evidence);
    const FeedLoad expected = compatibility::sampleLoad();
    const auto &load = std::get<FeedLoad>(messages[4]);
    cr_expect(load.dataCentre == expected.dataCentre && load.loads == expected.loads);
    cr_expect(load.promptCacheEntries == expected.promptCacheEntries);
    cr_expect(load.crashEvidence == expected.crashEvidence);
    cr_expect(load.rateLimits == expected.rateLimits);
    cr_expect(!load.changesOnly && load.period == Duration::zero());
    cr_assert_eq(load.cutOff.size(), 1);
    cr_expect(load.cutOff[0].daemon == expected.cutOff[0].daemon
              && load.cutOff[0].services == expected.cutOff[0].services);
}

// Guards against records that a build of the last landing would not find or not read.
Test(recordedMessages, records_of_the_last_landing_are_read_and_written_alike)
{
    const platform::PlatformRecordCodec codec;
    const std::vector<FleetRecord> expected = compatibility::sampleRecords();
    const auto lines = linesOf("records.txt");
    cr_assert_eq(lines.size(), expected.size());
    for (std::size_t i = 0; i < lines.size(); ++i) {
        const auto &[key, value] = lines[i];
        const FleetRecord record = codec.decode(Topic::Own, {Offset(0), key, value});
        cr_expect_not(std::holds_alternative<UnreadableRecord>(record), "%s", key.c_str());
        const RawRecord written = encodeOwnRecord(record);
        cr_expect(written.key == key && written.value == value, "%s: %s", key.c_str(),
                  written.value.c_str());
        cr_expect(encodeOwnRecord(expected[i]).value == value, "%s", key.c_str());
    }
}

Test(recordedMessages, relayed_requests_and_responses_of_the_last_landing_are_read)
{
    HttpFields fields = fieldsOf("relayed-request.txt");
    const RelayedRequest request = takeRelayedRequest(fields);
    const RelayedRequest expectedRequest = compatibility::sampleRelayedRequest();
    cr_expect(request.attempts == expectedRequest.attempts && request.tried == expectedRequest.tried
              && request.config == expectedRequest.config);
    cr_expect(fields.all().empty());
    fields = fieldsOf("relayed-response.txt");
    const RelayedResponse response = takeRelayedResponse(fields);
    const RelayedResponse expectedResponse = compatibility::sampleRelayedResponse();
    cr_expect(response.attempts == expectedResponse.attempts
              && response.backend == expectedResponse.backend
              && response.declined == expectedResponse.declined);
    cr_expect(fields.all().empty());
}
