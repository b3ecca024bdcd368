#include "Base/Logger.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace lycheearch {

Logger::Logger(std::string component)
    : m_prefix("[" + std::move(component) + "] ")
{
}

void Logger::debug(const std::string &message) const
{
    LOG(DEBUG) << m_prefix << message;
}

void Logger::info(const std::string &message) const
{
    LOG(INFO) << m_prefix << message;
}

void Logger::warning(const std::string &message) const
{
    LOG(WARNING) << m_prefix << message;
}

void Logger::error(const std::string &message) const
{
    LOG(ERROR) << m_prefix << message;
}

void Logger::configure(const std::string &instance, const std::string &level)
{
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.setGlobally(el::ConfigurationType::Format,
                              "%datetime{%Y-%M-%dT%H:%m:%s.%g} " + instance + " %level %msg");
    const bool warning = level == "warning" || level == "error";
    configuration.set(el::Level::Debug, el::ConfigurationType::Enabled,
                      level == "debug" ? "true" : "false");
    configuration.set(el::Level::Info, el::ConfigurationType::Enabled, warning ? "false" : "true");
    configuration.set(el::Level::Warning, el::ConfigurationType::Enabled,
                      level == "error" ? "false" : "true");
    el::Loggers::addFlag(el::LoggingFlag::ImmediateFlush);
    el::Loggers::reconfigureAllLoggers(configuration);
}

} // namespace lycheearch
