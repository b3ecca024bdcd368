#include "Log/LogReader.h"

namespace lycheearch {

namespace {

/// Removes a value from the front of \p text and returns it; std::nullopt if its closing quote is
/// missing.
std::optional<std::string> takeValue(std::string_view &text)
{
    std::string value;
    if (text.empty() || text.front() != '"') {
        const std::size_t end = std::min(text.find(' '), text.size());
        value = text.substr(0, end);
        text.remove_prefix(end);
        return value;
    }
    for (std::size_t i = 1; i < text.size(); ++i) {
        if (text[i] == '"') {
            text.remove_prefix(i + 1);
            return value;
        }
        if (text[i] == '\\' && i + 1 < text.size()) {
            ++i;
        }
        value.push_back(text[i]);
    }
    return std::nullopt;
}

std::string takeField(std::map<std::string, std::string> &fields, const char *key)
{
    const auto node = fields.extract(key);
    return node.empty() ? std::string() : node.mapped();
}

} // namespace

std::string ParsedLogLine::field(const std::string &key) const
{
    const auto found = fields.find(key);
    return found == fields.end() ? std::string() : found->second;
}

std::optional<ParsedLogLine> parseLogLine(std::string_view line)
{
    const std::size_t start = line.find("time=");
    if (start == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view rest = line.substr(start);
    ParsedLogLine parsed;
    if (!rest.empty() && rest.back() == '\n') {
        rest.remove_suffix(1);
    }
    parsed.text = rest;
    while (!rest.empty()) {
        const std::size_t equals = rest.find('=');
        if (equals == std::string_view::npos) {
            return std::nullopt;
        }
        const std::string key(rest.substr(0, equals));
        rest.remove_prefix(equals + 1);
        const auto value = takeValue(rest);
        if (!value) {
            return std::nullopt;
        }
        parsed.fields[key] = *value;
        rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
    }
    parsed.time = takeField(parsed.fields, "time");
    parsed.instance = takeField(parsed.fields, "instance");
    parsed.event = takeField(parsed.fields, "event");
    if (parsed.instance.empty() || parsed.event.empty()) {
        return std::nullopt;
    }
    return parsed;
}

} // namespace lycheearch
