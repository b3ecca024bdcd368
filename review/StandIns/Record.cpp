#include "Record.h"

#include <iomanip>

namespace lycheearch::review {

Record::Record(const std::string &path)
    : m_file(path)
    , m_startTime(SystemClock().now())
{
}

void Record::write(const std::string &line)
{
    constexpr int timeWidth = 6;
    m_file << std::setw(timeWidth) << toMilliseconds(SystemClock().now() - m_startTime) << " ms  "
           << line << std::endl;
}

} // namespace lycheearch::review
