#pragma once

#include <map>
#include <mutex>
#include <string>

namespace lycheearch::standin {

/// Named faults that the control endpoint sets while the stand-in runs. A value of zero means off;
/// the other values depend on the fault (flag, milliseconds or number of uses).
class Faults
{
public:
    void set(const std::string &name, std::int64_t value)
    {
        std::lock_guard lock(m_mutex);
        m_values[name] = value;
    }

    std::int64_t value(const std::string &name) const
    {
        std::lock_guard lock(m_mutex);
        const auto found = m_values.find(name);
        return found == m_values.end() ? 0 : found->second;
    }

    /// Takes one use of a fault whose value is a number of uses. Returns false if none is left.
    bool consume(const std::string &name)
    {
        std::lock_guard lock(m_mutex);
        auto &value = m_values[name];
        if (value <= 0) {
            return false;
        }
        --value;
        return true;
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::int64_t> m_values;
};

} // namespace lycheearch::standin
