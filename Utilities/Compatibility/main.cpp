#include <fstream>
#include <iostream>

#include "SampleMessages.h"

// Writes the sample messages as this build encodes them: lycheearch-record-messages FOLDER. Run it
// at a landing for Tests/Compatibility/data.

using namespace lycheearch;

namespace {

template <typename Relayed>
void writeRelayFields(const std::string &path, const Relayed &relayed)
{
    HttpFields fields;
    addRelayFields(relayed, fields);
    std::ofstream file(path);
    for (const HttpField &field : fields.all()) {
        file << field.name << "\t" << field.value << "\n";
    }
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "found " << argc - 1 << " arguments, expected a folder\n";
        return 2;
    }
    const std::string folder = argv[1];
    std::ofstream(folder + "/feed.bin", std::ios::binary)
        << encodeFeedFrame(FeedSubscribe{InstanceId("me")})
        << encodeFeedFrame(compatibility::samplePage()) << encodeFeedFrame(FeedHeartbeat{5ms})
        << encodeFeedFrame(compatibility::sampleEvidence())
        << encodeFeedFrame(compatibility::sampleLoad());
    std::ofstream records(folder + "/records.txt");
    for (const FleetRecord &record : compatibility::sampleRecords()) {
        const RawRecord raw = encodeOwnRecord(record);
        records << raw.key << "\t" << raw.value << "\n";
    }
    writeRelayFields(folder + "/relayed-request.txt", compatibility::sampleRelayedRequest());
    writeRelayFields(folder + "/relayed-response.txt", compatibility::sampleRelayedResponse());
    return records.good() ? 0 : 1;
}
