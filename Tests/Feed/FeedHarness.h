#pragma once

#include <memory>
#include <vector>

#include "Feed/FeedClient.h"
#include "Feed/FeedServer.h"
#include "Fleet/FakeStore.h"
#include "platform/PlatformRecordCodec.h"

namespace lycheearch {

/// Broadcasts what a follower reads from the store.
struct BroadcastingObserver : FleetObserver
{
    void onRecord(ViewChange, const StoredRecord &, TimePoint) override { }
    void onBackendRemoved(const InstanceId &, const char *, TimePoint) override { }
    void onStoreLost(Topic, StoreFault, const std::string &, TimePoint) override { }
    void onStoreEra(StoreEra, StoreEra, TimePoint) override { }
    void onStoreRegained(Topic, Duration, TimePoint) override { }
    void onPageRead(Topic topic, const RecordPage &page, bool listing, TimePoint) override
    {
        if (server != nullptr) {
            server->broadcast(topic, page, listing);
        }
    }

    FeedServer *server = nullptr;
};

/// A FleetFollower of one daemon, with a store that the test answers.
struct TestDaemon
{
    explicit TestDaemon(EventLoop &loop)
        : follower(loop, store, codec, view, observer, {1500ms, 200ms, 4s, 700ms, 200ms, 1000ms})
    {
    }

    void startAndList(TimePoint now, const std::vector<MemberRegistered> &members)
    {
        follower.start();
        RecordPage config;
        config.records = {{Offset(0), "config", R"({"Version":1,"Routes":[],"Services":[]})"}};
        config.end = Offset(1);
        store.answer(Topic::Operator, config, now);
        store.answer(Topic::Backends, {}, now);
        RecordPage own;
        for (const MemberRegistered &registered : members) {
            own.records.push_back(codec.encode(registered));
            own.records.back().offset = own.end;
            own.end = own.end.next();
        }
        store.answer(Topic::Own, own, now);
    }

    FakeStore store;
    platform::PlatformRecordCodec codec;
    FleetView view;
    BroadcastingObserver observer;
    FleetFollower follower;
};

} // namespace lycheearch
