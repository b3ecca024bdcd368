#include "Base/Findings.h"

namespace lycheearch {

void Findings::add(std::string location, std::string found, std::string expected)
{
    m_findings.push_back({std::move(location), std::move(found), std::move(expected)});
}

std::string Findings::text() const
{
    std::string text;
    for (const Finding &finding : m_findings) {
        text +=
            finding.location + ": found " + finding.found + ", expected " + finding.expected + "\n";
    }
    return text;
}

} // namespace lycheearch
