#pragma once

#include <string>
#include <vector>

namespace lycheearch {

/// One validation error of an input: its location, what was found there, and what was expected.
struct Finding
{
    std::string location; ///< File, line and column, or a path into the document.
    std::string found;
    std::string expected;
};

/// Collects the validation errors of one input, so that all are reported together.
class Findings
{
public:
    void add(std::string location, std::string found, std::string expected);
    bool empty() const { return m_findings.empty(); }
    const std::vector<Finding> &all() const { return m_findings; }
    /// One line per finding.
    std::string text() const;

private:
    std::vector<Finding> m_findings;
};

} // namespace lycheearch
