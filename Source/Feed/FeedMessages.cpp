#include "Feed/FeedMessages.h"

#include <algorithm>
#include <cmath>
#include <sstream>

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>
#include <capnp/message.h>
#include <capnp/serialize.h>

#include "Feed/FeedTiming.h"
#include "Feed/feed.capnp.h"

namespace lycheearch {

namespace {

constexpr std::size_t LengthBytes = 4;
constexpr std::size_t HeaderBytes = LengthBytes + 1;
/// Longest lists in messages of other daemons. The second is for lists that are merged with one
/// another.
constexpr unsigned MaxListEntries = 16'384;
constexpr unsigned MaxMergedListEntries = 2048;
/// Minimum size of a message that is compressed.
constexpr std::size_t CompressionThresholdBytes = 2048;
/// The same for changes of the loads, which are compressed once and sent to all followers.
constexpr std::size_t ChangesCompressionThresholdBytes = 512;
constexpr char Uncompressed = 0;
constexpr char Compressed = 1;

/// Throws kj::Exception if a list is longer than allowed.
template <typename List>
List shortEnough(List list, unsigned most = MaxListEntries)
{
    KJ_REQUIRE(list.size() <= most, "list too long");
    return list;
}

void writeBuckets(capnp::List<std::int64_t>::Builder list, const DelayHistogram::Counts &counts)
{
    for (unsigned i = 0; i < list.size(); ++i) {
        list.set(i, counts.at(i));
    }
}

DelayHistogram::Counts readBuckets(capnp::List<std::int64_t>::Reader list)
{
    DelayHistogram::Counts counts{};
    for (unsigned i = 0; i < list.size() && i < counts.size(); ++i) {
        counts.at(i) = list[i];
    }
    return counts;
}

void writeCounts(wire::FeedCounts::Builder builder, const VersionCounts &counts)
{
    builder.setGood(counts.good);
    builder.setBad(counts.bad);
    builder.setInFlight(counts.inFlight);
    builder.setLatencySamples(counts.latencySamples);
    builder.setLogLatencySum(counts.logLatencySum);
    builder.setLogLatencySquares(counts.logLatencySquares);
    builder.setSent(counts.sent);
    writeBuckets(builder.initObservedDelays(DelayHistogram::Buckets), counts.answerDelays.observed);
    writeBuckets(builder.initWaitingDelays(DelayHistogram::Buckets), counts.answerDelays.waiting);
}

VersionCounts readCounts(wire::FeedCounts::Reader reader)
{
    return {reader.getGood(),
            reader.getBad(),
            reader.getLatencySamples(),
            reader.getLogLatencySum(),
            reader.getLogLatencySquares(),
            reader.getInFlight(),
            reader.getSent(),
            {readBuckets(reader.getObservedDelays()), readBuckets(reader.getWaitingDelays())}};
}

void writePage(wire::FeedPage::Builder builder, const FeedPage &page)
{
    builder.setTopic(static_cast<int>(page.topic));
    builder.setListing(page.listing);
    builder.setEnd(page.page.end.value());
    builder.setEraPlusOne(page.page.era.value() + 1);
    auto records = builder.initRecords(static_cast<unsigned>(page.page.records.size()));
    for (unsigned i = 0; i < records.size(); ++i) {
        const RawRecord &record = page.page.records[i];
        records[i].setOffset(record.offset.value());
        records[i].setKey(kj::StringPtr(record.key.c_str(), record.key.size()));
        records[i].setValue(kj::arrayPtr(reinterpret_cast<const kj::byte *>(record.value.data()),
                                         record.value.size()));
    }
}

std::optional<FeedMessage> readPage(wire::FeedPage::Reader reader)
{
    if (reader.getTopic() < 0 || reader.getTopic() >= TopicCount) {
        return std::nullopt;
    }
    FeedPage page;
    page.topic = static_cast<Topic>(reader.getTopic());
    page.listing = reader.getListing();
    page.page.end = Offset(reader.getEnd());
    page.page.era = StoreEra(reader.getEraPlusOne() - 1);
    for (const auto record : reader.getRecords()) {
        const auto value = record.getValue().asChars();
        const auto key = record.getKey();
        page.page.records.push_back({Offset(record.getOffset()),
                                     std::string(key.begin(), key.size()),
                                     std::string(value.begin(), value.size())});
    }
    return page;
}

void writeEvidence(wire::FeedMessage::Builder builder, const FeedEvidence &message)
{
    auto list = builder.initEvidence(static_cast<unsigned>(message.evidence.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
        const RolloutEvidence &evidence = message.evidence[i];
        list[i].setDaemon(evidence.daemon.value());
        list[i].setService(evidence.service.value());
        list[i].setTarget(evidence.target.value());
        list[i].setStage(evidence.stage);
        writeCounts(list[i].initTargetCounts(), evidence.targetCounts);
        writeCounts(list[i].initOtherCounts(), evidence.otherCounts);
        list[i].setCountedAfterPlusOne(
            evidence.countedAfter ? toMilliseconds(*evidence.countedAfter) + 1 : 0);
    }
}

FeedMessage readEvidence(capnp::List<wire::FeedEvidence>::Reader list)
{
    FeedEvidence message;
    for (const auto entry : list) {
        RolloutEvidence evidence;
        evidence.daemon = InstanceId(entry.getDaemon().cStr());
        evidence.service = ServiceId(entry.getService().cStr());
        evidence.target = VersionId(entry.getTarget().cStr());
        evidence.stage = entry.getStage();
        evidence.targetCounts = readCounts(entry.getTargetCounts());
        evidence.otherCounts = readCounts(entry.getOtherCounts());
        if (entry.getCountedAfterPlusOne() > 0) {
            evidence.countedAfter = std::chrono::milliseconds(entry.getCountedAfterPlusOne() - 1);
        }
        message.evidence.push_back(std::move(evidence));
    }
    return message;
}

void writePart(wire::FeedPromptPart::Builder builder, const SuspectKey &key, Duration age)
{
    builder.setAccount(key.account);
    builder.setPart(key.hash);
    builder.setAge(age.count());
}

void writeCrashEvidence(wire::FeedPromptEvidence::Builder builder, const CrashEvidence &evidence)
{
    auto crashes = builder.initCrashes(static_cast<unsigned>(evidence.crashes.size()));
    for (unsigned i = 0; i < crashes.size(); ++i) {
        const RequestCrash &crash = evidence.crashes[i];
        crashes[i].setRequest(crash.request);
        crashes[i].setServer(crash.server);
        crashes[i].setAccount(crash.account);
        crashes[i].setAge(crash.age.count());
        crashes[i].setContent(crash.identity.content);
        auto parts = crashes[i].initParts(static_cast<unsigned>(crash.parts.size()));
        for (unsigned j = 0; j < parts.size(); ++j) {
            parts.set(j, crash.parts[j]);
        }
        const std::vector<std::uint64_t> &families = crash.identity.families;
        auto familyList = crashes[i].initFamilies(static_cast<unsigned>(families.size()));
        for (unsigned j = 0; j < familyList.size(); ++j) {
            familyList.set(j, families[j]);
        }
    }
    auto successes = builder.initSuccesses(static_cast<unsigned>(evidence.successes.size()));
    for (unsigned i = 0; i < successes.size(); ++i) {
        writePart(successes[i], evidence.successes[i].key, evidence.successes[i].age);
    }
    auto condemned = builder.initCondemned(static_cast<unsigned>(evidence.condemned.size()));
    for (unsigned i = 0; i < condemned.size(); ++i) {
        writePart(condemned[i], evidence.condemned[i].key, evidence.condemned[i].age);
    }
}

CrashEvidence readCrashEvidence(wire::FeedPromptEvidence::Reader reader)
{
    CrashEvidence evidence;
    for (const auto entry : shortEnough(reader.getCrashes(), MaxMergedListEntries)) {
        RequestCrash crash{entry.getRequest(),       entry.getServer(),
                           entry.getAccount(),       {},
                           Duration(entry.getAge()), {entry.getContent(), {}}};
        for (const std::uint64_t family : entry.getFamilies()) {
            crash.identity.families.push_back(family);
        }
        for (const std::uint64_t part : entry.getParts()) {
            crash.parts.push_back(part);
        }
        evidence.crashes.push_back(std::move(crash));
    }
    for (const auto entry : shortEnough(reader.getSuccesses())) {
        evidence.successes.push_back(
            {{entry.getAccount(), entry.getPart()}, Duration(entry.getAge())});
    }
    for (const auto entry : shortEnough(reader.getCondemned(), MaxMergedListEntries)) {
        evidence.condemned.push_back(
            {{entry.getAccount(), entry.getPart()}, Duration(entry.getAge())});
    }
    return evidence;
}

void writeRateLimit(wire::FeedRateLimit::Builder builder, const LimitsNotice &notice)
{
    builder.setBackend(notice.server.id.value());
    builder.setStartedAt(notice.server.startedAt);
    builder.setLimited(notice.perSecond.has_value());
    builder.setPerSecond(notice.perSecond.value_or(0));
    builder.setAge(notice.age.count());
    builder.setBrittle(notice.maxRejections.has_value());
    builder.setMaxRejections(notice.maxRejections.value_or(0));
    builder.setRejected(notice.rejectionAge.has_value());
    builder.setRejectionAge(notice.rejectionAge.value_or(Duration::zero()).count());
}

LimitsNotice readRateLimit(wire::FeedRateLimit::Reader reader)
{
    return {{InstanceId(reader.getBackend().cStr()), reader.getStartedAt()},
            reader.getLimited() ? std::optional(reader.getPerSecond()) : std::nullopt,
            Duration(reader.getAge()),
            reader.getBrittle() ? std::optional(reader.getMaxRejections()) : std::nullopt,
            reader.getRejected() ? std::optional(Duration(reader.getRejectionAge()))
                                 : std::nullopt};
}

void writeCutOff(wire::FeedCutOff::Builder builder, const CutOffDaemon &entry)
{
    builder.setDaemon(entry.daemon.value());
    auto services = builder.initServices(static_cast<unsigned>(entry.services.size()));
    for (unsigned i = 0; i < services.size(); ++i) {
        services.set(i, entry.services[i].value());
    }
}

CutOffDaemon readCutOff(wire::FeedCutOff::Reader reader)
{
    CutOffDaemon entry;
    entry.daemon = InstanceId(reader.getDaemon().cStr());
    for (const auto service : reader.getServices()) {
        entry.services.emplace_back(service.cStr());
    }
    return entry;
}

void writeSpeed(wire::FeedServerSpeed::Builder builder, const SpeedReport &report)
{
    builder.setBackend(report.server.id.value());
    builder.setStartedAt(report.server.startedAt);
    builder.setObservedSeconds(report.observedSeconds);
    builder.setExpectedSeconds(report.expectedSeconds);
    builder.setHostSlowness(report.hostSlowness.value_or(0));
    builder.setAge(report.hostAge.count());
}

SpeedReport readSpeed(wire::FeedServerSpeed::Reader reader)
{
    const double hostSlowness = reader.getHostSlowness();
    return {{InstanceId(reader.getBackend().cStr()), reader.getStartedAt()},
            reader.getObservedSeconds(),
            reader.getExpectedSeconds(),
            hostSlowness == 0 ? std::nullopt : std::optional(hostSlowness),
            Duration(reader.getAge())};
}

void writeUses(wire::FeedLoad::Builder builder, const ServiceUses &uses)
{
    auto list = builder.initUses(static_cast<unsigned>(uses.size()));
    unsigned i = 0;
    for (const auto &[key, use] : uses) {
        list[i].setService(key.first.value());
        list[i].setAccount(key.second);
        list[i].setInFlight(use.admitted);
        list[i].setRefused(use.refused);
        ++i;
    }
}

/// Whether the value can be the work of an account. A wrong one would reduce the shares of other
/// accounts.
bool isWork(double value)
{
    constexpr double mostWork = 1e12;
    return std::isfinite(value) && value >= 0 && value <= mostWork;
}

ServiceUses readUses(capnp::List<wire::FeedServiceUse>::Reader list)
{
    ServiceUses uses;
    for (const auto entry : list) {
        if (isWork(entry.getInFlight()) && isWork(entry.getRefused())) {
            uses[{ServiceId(entry.getService().cStr()), entry.getAccount()}] = {entry.getInFlight(),
                                                                                entry.getRefused()};
        }
    }
    return uses;
}

void writeLoad(wire::FeedLoad::Builder builder, const FeedLoad &message)
{
    builder.setDataCentre(message.dataCentre.value());
    builder.setChangesOnly(message.changesOnly);
    builder.setPeriod(message.period.count());
    auto entries = builder.initEntries(static_cast<unsigned>(message.loads.size()));
    unsigned i = 0;
    for (const auto &[backend, load] : message.loads) {
        entries[i].setBackend(backend.value());
        auto tokens = entries[i].initTokens(UrgencyClassCount);
        for (unsigned j = 0; j < UrgencyClassCount; ++j) {
            tokens.set(j, load.tokens.at(j));
        }
        entries[i].setRequests(load.requests);
        entries[i].setUnreachable(load.unreachable);
        entries[i].setLeaving(load.leaving);
        ++i;
    }
    auto promptCacheEntries =
        builder.initPlaces(static_cast<unsigned>(message.promptCacheEntries.size()));
    for (unsigned j = 0; j < promptCacheEntries.size(); ++j) {
        promptCacheEntries[j].setAffinity(message.promptCacheEntries[j].affinity);
        promptCacheEntries[j].setBackend(message.promptCacheEntries[j].backend.value());
    }
    if (!message.crashEvidence.empty()) {
        writeCrashEvidence(builder.initPromptEvidence(), message.crashEvidence);
    }
    auto rateLimits = builder.initRateLimits(static_cast<unsigned>(message.rateLimits.size()));
    for (unsigned j = 0; j < rateLimits.size(); ++j) {
        writeRateLimit(rateLimits[j], message.rateLimits[j]);
    }
    auto cutOff = builder.initCutOff(static_cast<unsigned>(message.cutOff.size()));
    for (unsigned j = 0; j < cutOff.size(); ++j) {
        writeCutOff(cutOff[j], message.cutOff[j]);
    }
    auto speeds = builder.initSpeeds(static_cast<unsigned>(message.speeds.size()));
    for (unsigned j = 0; j < speeds.size(); ++j) {
        writeSpeed(speeds[j], message.speeds[j]);
    }
    writeUses(builder, message.uses);
}

FeedMessage readLoad(wire::FeedLoad::Reader reader)
{
    FeedLoad message;
    message.dataCentre = DataCentreId(reader.getDataCentre().cStr());
    message.changesOnly = reader.getChangesOnly();
    message.period = std::clamp(Duration(reader.getPeriod()), Duration::zero(), MaxLoadPeriod);
    for (const auto entry : shortEnough(reader.getEntries())) {
        BackendLoadShare &load = message.loads[InstanceId(entry.getBackend().cStr())];
        load.requests = entry.getRequests();
        load.unreachable = entry.getUnreachable();
        load.leaving = entry.getLeaving();
        const auto tokens = entry.getTokens();
        for (unsigned j = 0; j < tokens.size() && j < UrgencyClassCount; ++j) {
            load.tokens.at(j) = tokens[j];
        }
    }
    for (const auto place : shortEnough(reader.getPlaces())) {
        message.promptCacheEntries.push_back(
            {place.getAffinity(), InstanceId(place.getBackend().cStr())});
    }
    message.crashEvidence = readCrashEvidence(reader.getPromptEvidence());
    for (const auto entry : shortEnough(reader.getRateLimits(), MaxMergedListEntries)) {
        message.rateLimits.push_back(readRateLimit(entry));
    }
    for (const auto entry : shortEnough(reader.getCutOff(), MaxMergedListEntries)) {
        message.cutOff.push_back(readCutOff(entry));
    }
    for (const auto entry : shortEnough(reader.getSpeeds())) {
        SpeedReport report = readSpeed(entry);
        if (isSound(report)) {
            message.speeds.push_back(std::move(report));
        }
    }
    message.uses = readUses(shortEnough(reader.getUses()));
    return message;
}

std::optional<FeedMessage> decodeMessage(const std::string &bytes)
{
    // The reader needs word-aligned input.
    kj::Array<capnp::word> words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::copy_n(bytes.data(), words.size() * sizeof(capnp::word),
                reinterpret_cast<char *>(words.begin()));
    capnp::FlatArrayMessageReader reader(words);
    const auto root = reader.getRoot<wire::FeedMessage>();
    switch (root.which()) {
    case wire::FeedMessage::SUBSCRIBE:
        return FeedSubscribe{InstanceId(root.getSubscribe().cStr()), root.getAcceptsLoadChanges()};
    case wire::FeedMessage::PAGE:
        return readPage(root.getPage());
    case wire::FeedMessage::HEARTBEAT:
        if (root.getHeartbeat() < 0) {
            return FeedHeartbeat{};
        }
        return FeedHeartbeat{Duration(root.getHeartbeat())};
    case wire::FeedMessage::EVIDENCE:
        return readEvidence(root.getEvidence());
    case wire::FeedMessage::LOAD:
        return readLoad(root.getLoad());
    }
    return std::nullopt;
}

std::string compress(const std::string &bytes)
{
    std::ostringstream output;
    Poco::DeflatingOutputStream deflater(output, Poco::DeflatingStreamBuf::STREAM_ZLIB, 1);
    deflater << bytes;
    deflater.close();
    return output.str();
}

/// Returns std::nullopt if the input is corrupt or the output exceeds \p mostBytes.
std::optional<std::string> decompress(const std::string &bytes, std::size_t mostBytes)
{
    std::istringstream input(bytes);
    Poco::InflatingInputStream inflater(input, Poco::InflatingStreamBuf::STREAM_ZLIB);
    std::string output;
    constexpr std::size_t chunkBytes = 16UL * 1024;
    std::string chunk(chunkBytes, '\0');
    while (inflater.read(chunk.data(), chunkBytes) || inflater.gcount() > 0) {
        output.append(chunk.data(), static_cast<std::size_t>(inflater.gcount()));
        if (output.size() > mostBytes) {
            return std::nullopt;
        }
    }
    return inflater.bad() ? std::nullopt : std::optional<std::string>(std::move(output));
}

std::string frameHeader(std::size_t length, char compression)
{
    constexpr int bitsPerByte = 8;
    std::string header;
    for (std::size_t i = 0; i < LengthBytes; ++i) {
        header.push_back(static_cast<char>((length >> (bitsPerByte * i)) & 0xFF));
    }
    header.push_back(compression);
    return header;
}

std::size_t frameLength(std::string_view header)
{
    constexpr int bitsPerByte = 8;
    std::size_t length = 0;
    for (std::size_t i = 0; i < LengthBytes; ++i) {
        length |= static_cast<std::size_t>(static_cast<unsigned char>(header[i]))
            << (bitsPerByte * i);
    }
    return length;
}

std::optional<FeedMessage> decodeFrame(char compression, std::string body,
                                       const FeedFrameLimits &limits)
{
    try {
        if (compression == Compressed) {
            auto plain = decompress(body, limits.messageBytes);
            if (!plain) {
                return std::nullopt;
            }
            body = std::move(*plain);
        } else if (compression != Uncompressed) {
            return std::nullopt;
        }
        return decodeMessage(body);
    } catch (const kj::Exception &) {
        return std::nullopt; // The connection is closed by the caller of FeedFrameReader::feed().
    } catch (const Poco::Exception &) {
        return std::nullopt;
    }
}

std::size_t compressionThreshold(const FeedMessage &message)
{
    const auto *load = std::get_if<FeedLoad>(&message);
    return load != nullptr && load->changesOnly ? ChangesCompressionThresholdBytes
                                                : CompressionThresholdBytes;
}

} // namespace

std::string encodeFeedFrame(const FeedMessage &message)
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<wire::FeedMessage>();
    if (const auto *subscribe = std::get_if<FeedSubscribe>(&message)) {
        root.setSubscribe(subscribe->instance.value());
        root.setAcceptsLoadChanges(subscribe->acceptsLoadChanges);
    } else if (const auto *page = std::get_if<FeedPage>(&message)) {
        writePage(root.initPage(), *page);
    } else if (const auto *heartbeat = std::get_if<FeedHeartbeat>(&message)) {
        root.setHeartbeat(heartbeat->storeStaleness ? heartbeat->storeStaleness->count() : -1);
    } else if (const auto *load = std::get_if<FeedLoad>(&message)) {
        writeLoad(root.initLoad(), *load);
    } else {
        writeEvidence(root, std::get<FeedEvidence>(message));
    }
    const kj::Array<capnp::word> words = capnp::messageToFlatArray(builder);
    const auto bytes = words.asChars();
    std::string body(bytes.begin(), bytes.size());
    char compression = Uncompressed;
    if (body.size() >= compressionThreshold(message)) {
        body = compress(body);
        compression = Compressed;
    }
    return frameHeader(body.size(), compression) + body;
}

bool FeedFrameReader::feed(std::string_view bytes, std::vector<FeedMessage> &messages)
{
    m_pending.append(bytes);
    std::size_t consumed = 0;
    while (m_pending.size() - consumed >= HeaderBytes) {
        const std::string_view header = std::string_view(m_pending).substr(consumed, HeaderBytes);
        const std::size_t length = frameLength(header);
        if (length > m_limits.frameBytes) {
            return false;
        }
        if (m_pending.size() - consumed < HeaderBytes + length) {
            break;
        }
        auto message =
            decodeFrame(header.back(), m_pending.substr(consumed + HeaderBytes, length), m_limits);
        if (!message) {
            return false;
        }
        messages.push_back(std::move(*message));
        consumed += HeaderBytes + length;
    }
    m_pending.erase(0, consumed);
    if (m_pending.size() < m_pending.capacity() / 2) {
        m_pending.shrink_to_fit();
    }
    return true;
}

} // namespace lycheearch
