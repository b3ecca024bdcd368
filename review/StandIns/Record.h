#pragma once

#include <fstream>
#include <string>

#include "Base/Time.h"

namespace lycheearch::review {

/// Writes what was sent, answered and run to a file, one line an event.
class Record
{
public:
    explicit Record(const std::string &path);

    void write(const std::string &line);

private:
    std::ofstream m_file;
    TimePoint m_startTime;
};

} // namespace lycheearch::review
