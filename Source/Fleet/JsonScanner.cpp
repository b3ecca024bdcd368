#include "Fleet/JsonScanner.h"

#include <algorithm>

namespace lycheearch {

namespace {

constexpr std::string_view Spaces = " \t\r\n";
constexpr std::string_view EndOfScalar = ",]} \t\r\n";

} // namespace

void JsonScanner::skipSpace()
{
    m_position = std::min(m_text.find_first_not_of(Spaces, m_position), m_text.size());
}

void JsonScanner::skip(std::size_t bytes)
{
    m_position += bytes;
    skipSpace();
}

bool JsonScanner::accept(char c)
{
    skipSpace();
    if (!rest().starts_with(c)) {
        return false;
    }
    skip(1);
    return true;
}

bool JsonScanner::skipString()
{
    for (std::size_t i = m_position + 1; i < m_text.size(); ++i) {
        if (m_text[i] == '\\') {
            ++i;
        } else if (m_text[i] == '"') {
            m_position = i + 1;
            return true;
        }
    }
    return false;
}

std::optional<std::string_view> JsonScanner::readPlainString()
{
    skipSpace();
    const std::size_t begin = m_position + 1;
    if (!rest().starts_with('"') || !skipString()) {
        return std::nullopt;
    }
    const std::string_view content = m_text.substr(begin, m_position - 1 - begin);
    skipSpace();
    return content.find('\\') == std::string_view::npos ? std::optional(content) : std::nullopt;
}

bool JsonScanner::skipNested(int maxDepth)
{
    int depth = 0;
    while (m_position < m_text.size()) {
        const char c = m_text[m_position];
        if (c == '"') {
            if (!skipString()) {
                return false;
            }
            continue;
        }
        ++m_position;
        if (c == '{' || c == '[') {
            if (++depth > maxDepth) {
                return false;
            }
        } else if (c == '}' || c == ']') {
            if (--depth == 0) {
                return true;
            }
        }
    }
    return false;
}

void JsonScanner::skipScalar()
{
    m_position = std::min(m_text.find_first_of(EndOfScalar, m_position), m_text.size());
}

std::optional<std::string_view> JsonScanner::skipValue(int maxDepth)
{
    skipSpace();
    const std::size_t begin = m_position;
    const char first = begin < m_text.size() ? m_text[begin] : '\0';
    bool complete = true;
    if (first == '"') {
        complete = skipString();
    } else if (first == '{' || first == '[') {
        complete = skipNested(maxDepth);
    } else {
        skipScalar();
    }
    if (!complete || m_position == begin) {
        return std::nullopt;
    }
    const std::string_view value = m_text.substr(begin, m_position - begin);
    skipSpace();
    return value;
}

} // namespace lycheearch
