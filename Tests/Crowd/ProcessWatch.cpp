#include "ProcessWatch.h"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace lycheearch::crowd {

namespace {

constexpr std::chrono::milliseconds SamplePeriod{20};

/// A field of /proc/PID/status in bytes; 0 if the process has ended.
std::int64_t statusBytes(pid_t process, const std::string &name)
{
    constexpr std::int64_t bytesPerKilobyte = 1024;
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with(name + ":")) {
            return std::stoll(line.substr(name.size() + 1)) * bytesPerKilobyte;
        }
    }
    return 0;
}

} // namespace

ProcessWatch::ProcessWatch(pid_t process, std::set<std::uint16_t> ports)
    : m_process(process)
    , m_ports(std::move(ports))
    , m_thread([this] {
        while (!m_stopped) {
            sample();
            std::this_thread::sleep_for(SamplePeriod);
        }
    })
{
}

ProcessWatch::~ProcessWatch()
{
    m_stopped = true;
    m_thread.join();
}

std::int64_t ProcessWatch::mostMemory()
{
    return std::max(m_mostMemory.load(), statusBytes(m_process, "VmHWM"));
}

std::size_t ProcessWatch::mostDescriptors()
{
    return m_mostDescriptors;
}

void ProcessWatch::sample()
{
    m_mostMemory = std::max(m_mostMemory.load(), statusBytes(m_process, "VmRSS") + unreadBytes());
    std::error_code error;
    const std::filesystem::directory_iterator all("/proc/" + std::to_string(m_process) + "/fd",
                                                  error);
    if (!error) {
        const auto open = static_cast<std::size_t>(
            std::distance(std::filesystem::begin(all), std::filesystem::end(all)));
        m_mostDescriptors = std::max(m_mostDescriptors.load(), open);
    }
}

std::int64_t ProcessWatch::unreadBytes() const
{
    constexpr int hexadecimal = 16;
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line);
    std::int64_t sum = 0;
    while (std::getline(table, line)) {
        std::istringstream fields(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        fields >> number >> local >> remote >> state >> queues;
        const auto port = std::stoul(local.substr(local.find(':') + 1), nullptr, hexadecimal);
        const bool listens = state == "0A";
        if (!listens && m_ports.contains(static_cast<std::uint16_t>(port))) {
            sum += std::stoll(queues.substr(queues.find(':') + 1), nullptr, hexadecimal);
        }
    }
    return sum;
}

} // namespace lycheearch::crowd
