#include "Tool/ToolSettings.h"

#include <fstream>
#include <sstream>

#include "Config/YamlReader.h"

namespace lycheearch {

namespace {

std::string readFile(const std::string &path, Findings &findings)
{
    std::ifstream file(path);
    if (!file) {
        findings.add(path, "no readable file", "a readable file");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

Endpoint readEndpoint(YamlReader &reader, const Option &option)
{
    const std::string text = reader.requiredText(option);
    const auto endpoint = Endpoint::parse(text);
    if (!endpoint && !text.empty()) {
        reader.report(option.key, "'" + text + "'", "an IP address and a port");
    }
    return endpoint.value_or(Endpoint{});
}

std::string readOperatorKey(const std::string &path, Findings &findings)
{
    const std::string text = readFile(path, findings);
    YamlReader reader(YamlReader::parse(text, path, findings), path, "", findings);
    return reader.requiredText({"operator_key", "Key for the operator paths."});
}

} // namespace

ToolSettings loadToolSettings(const std::string &path, Findings &findings)
{
    ToolSettings settings;
    const std::string text = readFile(path, findings);
    if (!findings.empty()) {
        return settings;
    }
    YamlReader reader(YamlReader::parse(text, path, findings), path, "", findings);
    settings.log = readEndpoint(reader, {"log", "Append-only log service."});
    const std::string secrets =
        reader.requiredText({"secrets_file", "File with the operator key."});
    reader.each({"daemons", "Daemons that the commands are sent to."}, [&](YamlReader &daemon) {
        DaemonAddress address;
        address.instance = InstanceId(daemon.requiredText({"instance", "Instance id."}));
        address.address = readEndpoint(daemon, {"address", "Address for callers."});
        settings.daemons.push_back(address);
    });
    reader.reportUnknownKeys();
    if (!secrets.empty()) {
        settings.operatorKey = readOperatorKey(secrets, findings);
    }
    return settings;
}

} // namespace lycheearch
