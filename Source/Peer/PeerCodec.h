#pragma once

#include "Peer/PeerMessages.h"
#include "Peer/peer.capnp.h"

namespace lycheearch {

/// Converts between the message structs of PeerMessages.h and the Cap'n Proto schema peer.capnp.
namespace PeerCodec {

void write(wire::Exchange::Builder builder, const HeartbeatMessage &message);
HeartbeatMessage read(wire::Exchange::Reader reader);

void write(wire::ClaimAsk::Builder builder, const ClaimAsk &ask);
ClaimAsk read(wire::ClaimAsk::Reader reader);

void write(wire::ClaimAnswer::Builder builder, const ClaimAnswer &answer);
ClaimAnswer read(wire::ClaimAnswer::Reader reader);

void write(wire::ClaimEntry::Builder builder, const ClaimEntry &entry);
ClaimEntry read(wire::ClaimEntry::Reader reader);

void write(wire::KeptRecord::Builder builder, const KeptRecord &record);
KeptRecord read(wire::KeptRecord::Reader reader);

wire::KeptKind toWire(KeptKind kind);
KeptKind fromWire(wire::KeptKind kind);

/// Copies a Cap'n Proto text.
std::string text(capnp::Text::Reader reader);

/// Writes each item with its write() above. The list must have the size of \p items.
template <typename Builder, typename Item>
void writeList(Builder builder, const std::vector<Item> &items)
{
    for (unsigned i = 0; i < items.size(); ++i) {
        write(builder[i], items[i]);
    }
}

/// Reads each item with its read() above.
template <typename Item, typename Reader>
std::vector<Item> readList(Reader reader)
{
    std::vector<Item> items;
    items.reserve(reader.size());
    for (auto item : reader) {
        items.push_back(read(item));
    }
    return items;
}

} // namespace PeerCodec

} // namespace lycheearch
