#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "Http.h"

namespace review {

/// Stand-in for the platform's store: keyed topics of one partition with append, read and newest.
class Store
{
public:
    /// Called with each record that a daemon has appended, while the store is locked.
    using AppendCallback = std::function<void(const std::string &daemon, const std::string &topic,
                                              const std::string &key, const std::string &value)>;

    explicit Store(AppendCallback onAppend = {});

    /// Opens an address for one daemon, so that the store knows who calls.
    Address addressFor(const std::string &daemon);
    /// Appends a record, as a runner or the operator does.
    void put(const std::string &topic, const std::string &key, const std::string &value);

private:
    struct Record
    {
        std::string key;
        std::string value;
    };

    struct Topic
    {
        std::vector<Record> records;
        std::map<std::string, std::size_t> newest; ///< Offset of the newest record of each key.
    };

    void serve(const std::string &daemon, Connection &connection);
    std::string answer(const std::string &daemon, const HttpMessage &request);
    std::string append(const std::string &daemon, const HttpMessage &request);
    std::string readFrom(const HttpMessage &request);
    std::string newest(const HttpMessage &request);
    void add(Topic &topic, Record record);

    AppendCallback m_onAppend;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Topic> m_topics;
    std::vector<std::unique_ptr<Server>> m_servers;
};

} // namespace review
