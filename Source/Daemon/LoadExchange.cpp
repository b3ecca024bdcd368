#include "Daemon/LoadExchange.h"

#include <algorithm>
#include <set>
#include <utility>

#include "Feed/FeedTiming.h"

namespace lycheearch {

namespace {

/// The load report of another data centre expires after this time.
constexpr Duration RemoteLoadLifetime = 1500ms;
/// Limit of the prompt cache entries that are queued for the followers. The entries of a report
/// that would exceed it are not forwarded; entries that stay in use are published again before they
/// expire.
constexpr std::size_t MaxQueuedEntriesToForward = 16384;
/// Data centres whose reports are kept at a time.
constexpr std::size_t MaxDataCentres = 64;

} // namespace

LoadExchange::LoadExchange(EventLoop &loop, InstanceId self, DataCentreId ownDataCentre,
                           const FleetView &view, const FleetFollower &follower, FeedClient &client,
                           BackendPicker &picker, PeerSelector &peers, CrashTable &crashes,
                           PendingCrashes &pendingCrashes, const Clock &clock)
    : m_loop(loop)
    , m_self(std::move(self))
    , m_ownDataCentre(std::move(ownDataCentre))
    , m_view(view)
    , m_follower(follower)
    , m_client(client)
    , m_picker(picker)
    , m_peers(peers)
    , m_crashes(crashes)
    , m_pendingCrashes(pendingCrashes)
    , m_clock(clock)
{
}

LoadExchange::~LoadExchange()
{
    m_loop.cancel(m_timer);
}

void LoadExchange::start(FeedServer &server)
{
    m_server = &server;
    m_client.onLoad([this](const FeedLoad &total, TimePoint now) { onTotalLoad(total, now); });
    step(m_loop.now());
}

void LoadExchange::onRemoteLoad(const FeedLoad &load, TimePoint now)
{
    if (!m_remoteLoads.contains(load.dataCentre)) {
        std::erase_if(m_remoteLoads, [now](const auto &entry) {
            return now - entry.second.at >= RemoteLoadLifetime;
        });
        if (m_remoteLoads.size() >= MaxDataCentres) {
            return;
        }
    }
    m_remoteLoads[load.dataCentre] = {load.loads, load.cutOff, load.uses, now};
    m_picker.promptCacheIndex().applyPublished(load.promptCacheEntries, now);
    m_crashes.apply(load.crashEvidence, now);
    applyRateLimits(load.rateLimits, now);
    m_picker.applySpeeds(load.speeds, now);
    if (!m_follower.followingFeed()) {
        m_speedsToForward.add(load.speeds, now);
        m_evidenceToForward.add(load.crashEvidence);
        addNewest(m_rateLimitsToForward, load.rateLimits);
    }
    const std::size_t size = m_entriesToForward.size() + load.promptCacheEntries.size();
    if (!m_follower.followingFeed() && size <= MaxQueuedEntriesToForward) {
        m_entriesToForward.insert(m_entriesToForward.end(), load.promptCacheEntries.begin(),
                                  load.promptCacheEntries.end());
    }
}

std::vector<CutOffDaemon> LoadExchange::ownCutOff() const
{
    const std::vector<ServiceId> services = m_picker.reach().cutOffServices();
    return services.empty() ? std::vector<CutOffDaemon>()
                            : std::vector<CutOffDaemon>{{m_self, services}};
}

ServiceUses LoadExchange::ownUses(TimePoint now) const
{
    return m_shares == nullptr ? ServiceUses() : m_shares->ownUses(now);
}

void LoadExchange::setOtherDaemonsUses(ServiceUses uses, TimePoint now)
{
    if (m_shares != nullptr) {
        m_shares->setOtherDaemonsUses(std::move(uses), now);
    }
}

void LoadExchange::applyRateLimits(const std::vector<LimitsNotice> &notices, TimePoint now)
{
    for (const LimitsNotice &notice : notices) {
        m_picker.rateLimiter().notices().apply(notice, now);
    }
}

void LoadExchange::step(TimePoint now)
{
    m_timer = m_loop.at(
        now + LoadPeriod, [this](TimePoint currentTime) { step(currentTime); }, "load_exchange");
    if (!m_follower.synced()) {
        return;
    }
    m_pendingCrashes.settle(now);
    if (m_follower.followingFeed()) {
        reportToSource(now);
    } else {
        aggregateLoads(now);
    }
}

void LoadExchange::forgetReportsToOthers()
{
    if (m_reportedConnection != m_client.connections()) {
        m_reportedConnection = m_client.connections();
        m_lastSentLoads.clear();
        m_lastSentCutOff.clear();
        m_lastSentUses.clear();
        m_sourceAcceptsChanges = false;
    }
}

void LoadExchange::reportToSource(TimePoint now)
{
    forgetReportsToOthers();
    m_entriesToForward.clear();
    m_evidenceToForward = CrashEvidence();
    m_rateLimitsToForward.clear();
    m_speedsToForward.clear();
    FeedLoad ownLoad{DataCentreId(),
                     m_picker.ownLoads(now),
                     m_picker.promptCacheIndex().takeUnpublished(),
                     m_crashes.takeUnpublished(now),
                     m_picker.rateLimiter().notices().takeUnpublished(now),
                     ownCutOff(),
                     m_picker.takeUnpublishedSpeeds(now),
                     ownUses(now)};
    const bool news = ownLoad.loads != m_lastSentLoads || !ownLoad.promptCacheEntries.empty()
        || !ownLoad.crashEvidence.empty() || !ownLoad.rateLimits.empty() || !ownLoad.speeds.empty()
        || ownLoad.cutOff != m_lastSentCutOff || ownLoad.uses != m_lastSentUses;
    if (!news) {
        return;
    }
    BackendLoads loads = ownLoad.loads;
    // A source that sends a period accepts changes; a connection begins without load of this
    // daemon.
    if (m_sourceAcceptsChanges) {
        ownLoad.loads = changedLoads(m_lastSentLoads, loads);
        ownLoad.changesOnly = true;
    }
    if (m_client.sendLoad(ownLoad)) {
        m_lastSentLoads = std::move(loads);
        m_lastSentCutOff = std::move(ownLoad.cutOff);
        m_lastSentUses = std::move(ownLoad.uses);
    }
}

void LoadExchange::aggregateLoads(TimePoint now)
{
    const BackendLoads ownLoad = m_picker.ownLoads(now);
    BackendLoads otherLoads = m_server->followerLoads();
    FeedLoad ownDataCentre{m_ownDataCentre,
                           otherLoads,
                           m_server->takePromptCacheEntries(),
                           m_server->takeCrashEvidence(),
                           m_server->takeRateLimits(),
                           m_server->followersCutOff(),
                           m_server->takeSpeeds(now),
                           m_server->followerUses()};
    const ServiceUses ownUse = ownUses(now);
    ServiceUses otherUses = ownDataCentre.uses;
    addUses(ownDataCentre.uses, ownUse);
    const std::vector<CutOffDaemon> cutOff = ownCutOff();
    ownDataCentre.cutOff.insert(ownDataCentre.cutOff.end(), cutOff.begin(), cutOff.end());
    addLoads(ownDataCentre.loads, ownLoad);
    m_picker.promptCacheIndex().applyPublished(ownDataCentre.promptCacheEntries, now);
    const std::vector<PromptCacheEntry> newEntries = m_picker.promptCacheIndex().takeUnpublished();
    ownDataCentre.promptCacheEntries.insert(ownDataCentre.promptCacheEntries.end(),
                                            newEntries.begin(), newEntries.end());
    m_crashes.apply(ownDataCentre.crashEvidence, now);
    ownDataCentre.crashEvidence.add(m_crashes.takeUnpublished(now));
    applyRateLimits(ownDataCentre.rateLimits, now);
    addNewest(ownDataCentre.rateLimits, m_picker.rateLimiter().notices().takeUnpublished(now));
    addOwnSpeeds(ownDataCentre.speeds, now);
    sendToDataCentres(ownDataCentre, now);
    std::vector<CutOffDaemon> allCutOff = std::move(ownDataCentre.cutOff);
    for (const auto &[dataCentre, remote] : m_remoteLoads) {
        if (now - remote.at < RemoteLoadLifetime) {
            addLoads(otherLoads, remote.loads);
            addUses(otherUses, remote.uses);
            allCutOff.insert(allCutOff.end(), remote.cutOff.begin(), remote.cutOff.end());
        }
    }
    m_peers.setCutOff(allCutOff, now);
    FeedLoad total{DataCentreId(),
                   otherLoads,
                   std::move(ownDataCentre.promptCacheEntries),
                   std::move(ownDataCentre.crashEvidence),
                   std::move(ownDataCentre.rateLimits),
                   std::move(allCutOff),
                   m_speedsToForward.take(now),
                   otherUses,
                   false,
                   LoadPeriod};
    addLoads(total.loads, ownLoad);
    addUses(total.uses, ownUse);
    total.promptCacheEntries.insert(total.promptCacheEntries.end(), m_entriesToForward.begin(),
                                    m_entriesToForward.end());
    m_entriesToForward.clear();
    total.crashEvidence.add(std::exchange(m_evidenceToForward, {}));
    addNewest(total.rateLimits, std::exchange(m_rateLimitsToForward, {}));
    m_server->broadcastLoad(std::move(total));
    m_picker.setOtherDaemonsLoads(std::move(otherLoads), now);
    m_pickerFollows = false;
    setOtherDaemonsUses(std::move(otherUses), now);
}

void LoadExchange::addOwnSpeeds(std::vector<SpeedReport> &followerSpeeds, TimePoint now)
{
    m_picker.applySpeeds(followerSpeeds, now);
    const std::vector<SpeedReport> own = m_picker.takeUnpublishedSpeeds(now);
    followerSpeeds.insert(followerSpeeds.end(), own.begin(), own.end());
    m_speedsToForward.add(followerSpeeds, now);
}

void LoadExchange::sendToDataCentres(const FeedLoad &load, TimePoint now)
{
    const std::int64_t wallMs = wallMilliseconds(m_clock);
    std::set<DataCentreId> dataCentres;
    for (const auto &[id, member] : m_view.members()) {
        dataCentres.insert(member.dataCentre);
    }
    dataCentres.erase(m_ownDataCentre);
    const std::string frame = dataCentres.empty() ? std::string() : encodeFeedFrame(load);
    for (const DataCentreId &destination : dataCentres) {
        std::unique_ptr<LoadSender> &sender = m_senders[destination];
        if (!sender) {
            sender = std::make_unique<LoadSender>(m_loop);
        }
        sender->send(frame, feedOrder(m_view.members(), destination, wallMs), now);
    }
}

void LoadExchange::onTotalLoad(const FeedLoad &total, TimePoint now)
{
    forgetReportsToOthers();
    m_sourceAcceptsChanges = total.period > Duration::zero();
    m_followedLoads.apply(total, m_lastSentLoads);
    if (m_pickerFollows && total.changesOnly) {
        m_picker.changeOtherDaemonsLoads(m_followedLoads.changedOthers(), now);
    } else {
        m_picker.setOtherDaemonsLoads(m_followedLoads.others(), now);
        m_pickerFollows = true;
    }
    m_picker.promptCacheIndex().applyPublished(total.promptCacheEntries, now);
    m_crashes.apply(total.crashEvidence, now);
    applyRateLimits(total.rateLimits, now);
    m_picker.applySpeeds(total.speeds, now);
    m_peers.setCutOff(total.cutOff, now);
    ServiceUses otherUses = total.uses;
    subtractUses(otherUses, m_lastSentUses);
    setOtherDaemonsUses(std::move(otherUses), now);
}

} // namespace lycheearch
