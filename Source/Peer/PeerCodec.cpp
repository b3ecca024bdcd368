#include "Peer/PeerCodec.h"

namespace lycheearch::PeerCodec {

namespace {

void write(wire::BackendLoad::Builder builder, const BackendLoadReport &load)
{
    builder.setBackend(load.backend.value());
    builder.setStartId(load.startId.value());
    builder.setCold(load.cold);
    builder.setInFlight(load.inFlight);
    builder.setAgeMs(static_cast<std::int32_t>(toMilliseconds(load.age)));
}

BackendLoadReport read(wire::BackendLoad::Reader reader)
{
    return {InstanceId(text(reader.getBackend())), StartId(text(reader.getStartId())),
            reader.getCold(), reader.getInFlight(), std::chrono::milliseconds(reader.getAgeMs())};
}

void write(wire::VersionCount::Builder builder, const VersionCount &count)
{
    builder.setTaskClass(count.taskClass.value());
    builder.setVersion(count.version.value());
    builder.setRequests(count.requests);
    builder.setErrors(count.errors);
    builder.setRated(count.rated);
    builder.setGood(count.good);
    builder.setTokens(count.tokens);
    builder.setLatencySeconds(count.latencySeconds);
}

VersionCount read(wire::VersionCount::Reader reader)
{
    return {TaskClass(text(reader.getTaskClass())),
            VersionId(text(reader.getVersion())),
            reader.getRequests(),
            reader.getErrors(),
            reader.getRated(),
            reader.getGood(),
            reader.getTokens(),
            reader.getLatencySeconds()};
}

} // namespace

std::string text(capnp::Text::Reader reader)
{
    return {reader.begin(), reader.size()};
}

void write(wire::Exchange::Builder builder, const HeartbeatMessage &message)
{
    builder.setSender(message.sender.value());
    builder.setStartId(message.startId.value());
    builder.setDataCentre(message.dataCentre.value());
    builder.setTime(message.time);
    builder.setRevision(message.revision.value());
    builder.setStopping(message.stopping);
    auto loads = builder.initLoads(static_cast<unsigned>(message.loads.size()));
    for (unsigned i = 0; i < message.loads.size(); ++i) {
        write(loads[i], message.loads[i]);
    }
    auto counts = builder.initCounts(static_cast<unsigned>(message.counts.size()));
    for (unsigned i = 0; i < message.counts.size(); ++i) {
        write(counts[i], message.counts[i]);
    }
    auto provisional = builder.initProvisional(static_cast<unsigned>(message.provisional.size()));
    for (unsigned i = 0; i < message.provisional.size(); ++i) {
        provisional.set(i, message.provisional[i]);
    }
}

HeartbeatMessage read(wire::Exchange::Reader reader)
{
    HeartbeatMessage message;
    message.sender = InstanceId(text(reader.getSender()));
    message.startId = StartId(text(reader.getStartId()));
    message.dataCentre = DataCentreId(text(reader.getDataCentre()));
    message.time = reader.getTime();
    message.revision = Revision(reader.getRevision());
    message.stopping = reader.getStopping();
    for (auto load : reader.getLoads()) {
        message.loads.push_back(read(load));
    }
    for (auto count : reader.getCounts()) {
        message.counts.push_back(read(count));
    }
    for (auto record : reader.getProvisional()) {
        message.provisional.push_back(text(record));
    }
    return message;
}

void write(wire::ClaimAsk::Builder builder, const ClaimAsk &ask)
{
    builder.setKey(ask.key.value());
    builder.setClaim(ask.claim.value());
    builder.setOwner(ask.owner.value());
    auto roster = builder.initRoster(static_cast<unsigned>(ask.roster.size()));
    for (unsigned i = 0; i < ask.roster.size(); ++i) {
        roster.set(i, ask.roster[i].value());
    }
}

ClaimAsk read(wire::ClaimAsk::Reader reader)
{
    ClaimAsk ask{RequestKey(text(reader.getKey())),
                 ClaimId(text(reader.getClaim())),
                 InstanceId(text(reader.getOwner())),
                 {}};
    for (auto member : reader.getRoster()) {
        ask.roster.emplace_back(text(member));
    }
    return ask;
}

void write(wire::ClaimAnswer::Builder builder, const ClaimAnswer &answer)
{
    builder.setConsent(answer.consent);
    builder.setHolder(answer.holder.value());
    builder.setClaim(answer.claim.value());
    builder.setPhase(static_cast<wire::ClaimPhase>(answer.phase));
    builder.setReason(answer.reason);
}

ClaimAnswer read(wire::ClaimAnswer::Reader reader)
{
    return {reader.getConsent(), InstanceId(text(reader.getHolder())),
            ClaimId(text(reader.getClaim())), static_cast<ClaimPhase>(reader.getPhase()),
            text(reader.getReason())};
}

void write(wire::ClaimEntry::Builder builder, const ClaimEntry &entry)
{
    builder.setKey(entry.key.value());
    builder.setClaim(entry.claim.value());
    builder.setOwner(entry.owner.value());
    builder.setPhase(static_cast<wire::ClaimPhase>(entry.phase));
}

ClaimEntry read(wire::ClaimEntry::Reader reader)
{
    return {RequestKey(text(reader.getKey())), ClaimId(text(reader.getClaim())),
            InstanceId(text(reader.getOwner())), static_cast<ClaimPhase>(reader.getPhase())};
}

void write(wire::KeptRecord::Builder builder, const KeptRecord &record)
{
    builder.setKind(toWire(record.kind));
    builder.setKey(record.key);
    builder.setOwner(record.owner.value());
    builder.setData(record.data);
    builder.setOwnerStart(record.ownerStart.value());
}

KeptRecord read(wire::KeptRecord::Reader reader)
{
    return {fromWire(reader.getKind()), text(reader.getKey()), InstanceId(text(reader.getOwner())),
            text(reader.getData()), StartId(text(reader.getOwnerStart()))};
}

wire::KeptKind toWire(KeptKind kind)
{
    return static_cast<wire::KeptKind>(kind);
}

KeptKind fromWire(wire::KeptKind kind)
{
    return static_cast<KeptKind>(kind);
}

} // namespace lycheearch::PeerCodec
