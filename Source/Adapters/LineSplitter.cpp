#include "Adapters/LineSplitter.h"

#include "Base/StepCounter.h"

namespace lycheearch {

void LineSplitter::append(std::string_view text)
{
    if (m_begin > m_text.size() / 2) {
        StepCounter::add(pendingBytes());
        m_text.erase(0, m_begin);
        m_searched -= m_begin;
        m_begin = 0;
    }
    StepCounter::add(text.size());
    m_text.append(text);
}

std::optional<std::string> LineSplitter::next()
{
    const std::size_t end = m_text.find('\n', m_searched);
    if (end == std::string::npos) {
        StepCounter::add(m_text.size() - m_searched);
        m_searched = m_text.size();
        return std::nullopt;
    }
    StepCounter::add(end + 1 - m_searched);
    std::string line = m_text.substr(m_begin, end - m_begin);
    m_begin = end + 1;
    m_searched = m_begin;
    if (line.ends_with('\r')) {
        line.pop_back();
    }
    return line;
}

} // namespace lycheearch
