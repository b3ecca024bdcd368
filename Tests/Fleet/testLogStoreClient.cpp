#include "Forward/ForwardHarness.h"

#include "Feed/FeedMessages.h"
#include "platform/LogStoreClient.h"

// What the store returns may contain what other writers left there.

using namespace lycheearch;

namespace {

using Pages = std::vector<StoreOutcome<RecordPage>>;

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int i = bytes - 1; i >= 0; --i) {
        text.push_back(static_cast<char>((value >> (8 * i)) & 0xFF));
    }
    return text;
}

std::string keyedRecord(const std::string &key, const std::string &value)
{
    const std::string content = std::string(1, static_cast<char>(key.size())) + key + value;
    return bigEndian(content.size(), 4) + content;
}

/// A store that answers each call with the body.
struct Store
{
    explicit Store(const std::string &body)
        : server(loop, "store", static_cast<std::uint16_t>(18'100 + getpid() % 1'000),
                 [body](ScriptedBackend::Connection &connection, const std::string &) {
                     connection.send("HTTP/1.1 200 OK\r\nContent-Length: "
                                     + std::to_string(body.size()) + "\r\n\r\n" + body);
                 })
        , client(loop, server.address, 500ms)
    {
    }

    StoreOutcome<RecordPage> listing()
    {
        client.readNewest(Topic::Backends, "", callback());
        loop.run();
        return pages.at(0);
    }
    StoreOutcome<RecordPage> records()
    {
        client.read(Topic::Backends, Offset(0), Duration::zero(), callback());
        loop.run();
        return pages.at(0);
    }

    SystemClock clock;
    EventLoop loop{clock};
    ScriptedBackend server;
    platform::LogStoreClient client;
    Pages pages;

private:
    FleetStore::PageCallback callback()
    {
        return [this](const StoreOutcome<RecordPage> &outcome, TimePoint) {
            pages.push_back(outcome);
            loop.stop();
        };
    }
};

} // namespace

// Guards against a listing that is lost as a whole because of one entry.
Test(logStoreClient, an_odd_entry_of_a_listing_does_not_hide_the_others, .timeout = 20)
{
    for (const std::string &odd :
         {R"({"Key":"odd","Value":"eA=="})", R"({"Key":"odd","Value":7,"Offset":3})",
          R"({"Key":"odd","Value":"eA==","Offset":"3"})",
          R"({"Key":"odd","Value":"*not base64*","Offset":3})"}) {
        Store store(R"({"Items":[{"Key":"a","Value":"eA==","Offset":1},)" + odd
                    + R"(,{"Key":"z","Value":"eQ==","Offset":4}],"HasMore":true,"End":9})");
        const auto outcome = store.listing();
        cr_assert(outcome.ok(), "%s: %s", odd.c_str(), outcome.detail.c_str());
        const RecordPage &page = *outcome.value;
        cr_assert_eq(page.records.size(), 3);
        cr_expect_str_eq(page.records[0].value.c_str(), "x");
        cr_expect_str_eq(page.records[2].key.c_str(), "z");
        cr_expect_str_eq(page.lastKey.c_str(), "z");
    }
}

// Guards against an entry that is taken for that of a server because its key begins like it.
Test(logStoreClient, a_key_with_a_zero_byte_names_nothing, .timeout = 20)
{
    const std::string key("i-1\0x", 5);
    {
        Store listing(
            R"({"Items":[{"Key":"i-1\u0000x","Value":"","Offset":1}],"HasMore":false,"End":9})");
        const auto listed = listing.listing();
        cr_assert(listed.ok());
        cr_expect(listed.value->records.at(0).key.empty());
    }
    Store log(bigEndian(1, 8) + bigEndian(0, 8) + keyedRecord(key, "") + keyedRecord("i-2", "v"));
    const auto read = log.records();
    cr_assert(read.ok());
    cr_expect(read.value->records.at(0).key.empty());
    cr_expect_str_eq(read.value->records.at(1).key.c_str(), "i-2");
    cr_expect_eq(read.value->records.at(1).offset.value(), 1);
}

// Guards against a feed that cuts a key, so that followers take the entry for another server's.
Test(logStoreClient, the_feed_keeps_keys_with_zero_bytes_apart)
{
    FeedPage page;
    page.topic = Topic::Backends;
    page.page.records = {{Offset(1), std::string("i-1\0x", 5), "v"}};
    std::vector<FeedMessage> messages;
    cr_assert(FeedFrameReader().feed(encodeFeedFrame(page), messages));
    cr_expect(std::get<FeedPage>(messages.at(0)).page.records.at(0).key
              == page.page.records[0].key);
}
