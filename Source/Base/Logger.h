#pragma once

#include <string>

namespace lycheearch {

/// Writes log messages to standard output, each prefixed with the name of a component.
class Logger
{
public:
    explicit Logger(std::string component);

    void debug(const std::string &message) const;
    void info(const std::string &message) const;
    void warning(const std::string &message) const;
    void error(const std::string &message) const;

    /// Sets the line format with the instance's name, and the lowest level that is written: debug,
    /// info, warning or error.
    static void configure(const std::string &instance, const std::string &level);

private:
    std::string m_prefix;
};

} // namespace lycheearch
