#include "Config/ConfigStateMachine.h"

#include <nlohmann/json.hpp>

namespace lycheearch {

namespace {

constexpr std::size_t MaxOutcomes = 1000;

void recordOutcome(ConfigState &state, const OperationOutcome &outcome)
{
    state.outcomes[outcome.operation] = outcome;
    while (state.outcomes.size() > MaxOutcomes) {
        auto oldest = state.outcomes.begin();
        for (auto it = state.outcomes.begin(); it != state.outcomes.end(); ++it) {
            if (it->second.revision < oldest->second.revision) {
                oldest = it;
            }
        }
        state.outcomes.erase(oldest);
    }
}

template <typename Id>
nlohmann::json encodeMarks(const std::map<Id, OutOfServiceMark> &marks)
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[id, mark] : marks) {
        if (!mark.provisional) {
            list.push_back({id.value(), mark.out, mark.revision.value()});
        }
    }
    return list;
}

template <typename Id>
std::map<Id, OutOfServiceMark> decodeMarks(const nlohmann::json &list)
{
    std::map<Id, OutOfServiceMark> marks;
    for (const nlohmann::json &item : list) {
        marks[Id(item.at(0).get<std::string>())] = {
            item.at(1).get<bool>(), Revision(item.at(2).get<std::int64_t>()), false};
    }
    return marks;
}

ConfigState decodeState(const nlohmann::json &json)
{
    ConfigState state;
    state.revision = Revision(json.at("revision").get<std::int64_t>());
    state.manifestRevision = Revision(json.at("manifest_revision").get<std::int64_t>());
    state.manifestText = json.at("manifest").get<std::string>();
    if (state.manifestRevision.value() > 0) {
        Findings findings;
        state.manifest =
            std::make_shared<Manifest>(parseManifest(state.manifestText, "snapshot", findings));
    }
    state.dataCentres = decodeMarks<DataCentreId>(json.at("data_centres"));
    state.instances = decodeMarks<InstanceId>(json.at("instances"));
    for (const nlohmann::json &item : json.at("stopped")) {
        state.stoppedVersions[VersionId(item.at(0).get<std::string>())] =
            item.at(1).get<std::string>();
    }
    for (const nlohmann::json &item : json.at("outcomes")) {
        const OperationId operation(item.at(0).get<std::string>());
        state.outcomes[operation] = {operation, item.at(1).get<bool>(),
                                     item.at(2).get<std::string>(),
                                     Revision(item.at(3).get<std::int64_t>())};
    }
    return state;
}

/// Takes a data centre or an instance out of service, or returns it. A record with a base was
/// accepted by a daemon while the log was unavailable. It is rejected if the log has a record of
/// the same subject that is newer than the base, because that one was not known when it was made.
template <typename Id>
void applyMark(std::map<Id, OutOfServiceMark> &marks, const ConfigRecord &record,
               OperationOutcome &outcome)
{
    const Id id(record.subject);
    const auto found = marks.find(id);
    const bool superseded = record.base.value() > 0 && found != marks.end()
        && !found->second.provisional && found->second.revision > record.base;
    if (superseded) {
        outcome.accepted = false;
        outcome.reason = "a later record on " + record.subject + " is in force";
        return;
    }
    marks[id] = {record.out, outcome.revision, false};
}

} // namespace

ConfigStateMachine::ConfigStateMachine()
    : m_state(std::make_shared<ConfigState>())
{
}

bool ConfigStateMachine::apply(Offset offset, const std::string &data)
{
    if (offset < nextOffset()) {
        return false;
    }
    const std::optional<ConfigRecord> record = decodeConfigRecord(data);
    const bool snapshot = record && record->type == ConfigRecordType::Snapshot;
    if (offset > nextOffset()) {
        return snapshot && restoreSnapshot(record->text);
    }
    auto next = std::make_shared<ConfigState>(*m_state);
    next->revision = Revision(offset.next().value());
    if (record && !snapshot) {
        applyRecord(*next, *record);
    }
    m_state = std::move(next);
    return true;
}

void ConfigStateMachine::applyRecord(ConfigState &state, const ConfigRecord &record)
{
    if (state.outcomes.contains(record.operation)) {
        return;
    }
    OperationOutcome outcome{record.operation, true, "accepted", state.revision};
    if (record.validationVersion > HighestValidationVersion) {
        outcome.accepted = false;
        outcome.reason =
            "the record needs rules of version " + std::to_string(record.validationVersion);
    } else if (record.type == ConfigRecordType::Manifest) {
        applyManifest(state, record, outcome);
    } else if (record.type == ConfigRecordType::DataCentre) {
        applyMark<DataCentreId>(state.dataCentres, record, outcome);
    } else if (record.type == ConfigRecordType::Instance) {
        applyMark<InstanceId>(state.instances, record, outcome);
    } else if (record.type == ConfigRecordType::VersionStop) {
        state.stoppedVersions.emplace(VersionId(record.subject), record.text);
    }
    recordOutcome(state, outcome);
}

void ConfigStateMachine::applyManifest(ConfigState &state, const ConfigRecord &record,
                                       OperationOutcome &outcome)
{
    if (record.base != state.manifestRevision) {
        outcome.accepted = false;
        outcome.reason = "it was made from revision " + std::to_string(record.base.value())
            + ", but revision " + std::to_string(state.manifestRevision.value()) + " is in force";
        return;
    }
    Findings findings;
    Manifest manifest = parseManifest(record.text, "manifest", findings);
    if (!findings.empty()) {
        outcome.accepted = false;
        outcome.reason = findings.text();
        return;
    }
    std::erase_if(state.stoppedVersions, [&](const auto &stopped) {
        return manifest.findVersion(stopped.first) == nullptr;
    });
    state.manifest = std::make_shared<Manifest>(std::move(manifest));
    state.manifestText = record.text;
    state.manifestRevision = state.revision;
}

std::string ConfigStateMachine::encodeSnapshot() const
{
    nlohmann::json json;
    json["revision"] = m_state->revision.value();
    json["manifest_revision"] = m_state->manifestRevision.value();
    json["manifest"] = m_state->manifestText;
    json["data_centres"] = encodeMarks(m_state->dataCentres);
    json["instances"] = encodeMarks(m_state->instances);
    json["stopped"] = nlohmann::json::array();
    for (const auto &[version, reason] : m_state->stoppedVersions) {
        json["stopped"].push_back({version.value(), reason});
    }
    json["outcomes"] = nlohmann::json::array();
    for (const auto &[operation, outcome] : m_state->outcomes) {
        json["outcomes"].push_back(
            {operation.value(), outcome.accepted, outcome.reason, outcome.revision.value()});
    }
    return json.dump();
}

bool ConfigStateMachine::restoreSnapshot(const std::string &text)
{
    const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object()) {
        return false;
    }
    try {
        auto state = std::make_shared<ConfigState>(decodeState(json));
        if (state->revision <= m_state->revision) {
            return false;
        }
        m_state = std::move(state);
        return true;
    } catch (const nlohmann::json::exception &) {
        return false;
    }
}

bool ConfigStateMachine::applyProvisional(const ConfigRecord &record)
{
    if (m_state->outcomes.contains(record.operation)) {
        return false;
    }
    auto next = std::make_shared<ConfigState>(*m_state);
    const OutOfServiceMark mark{record.out, m_state->revision, true};
    if (record.type == ConfigRecordType::DataCentre) {
        next->dataCentres[DataCentreId(record.subject)] = mark;
    } else if (record.type == ConfigRecordType::Instance) {
        next->instances[InstanceId(record.subject)] = mark;
    } else if (record.type == ConfigRecordType::VersionStop) {
        next->stoppedVersions.emplace(VersionId(record.subject), record.text);
    } else {
        return false;
    }
    m_state = std::move(next);
    return true;
}

} // namespace lycheearch
