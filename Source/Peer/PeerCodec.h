#pragma once

#include "Peer/PeerMessages.h"
#include "Peer/peer.capnp.h"

namespace lycheearch {

/// Conversions between the messages of the product and their form on the wire.
namespace PeerCodec {

void write(wire::Exchange::Builder builder, const ExchangeMessage &message);
ExchangeMessage read(wire::Exchange::Reader reader);

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

/// Text of any kind as a std::string.
std::string text(capnp::Text::Reader reader);

/// Writes a list with the functions above.
template <typename Builder, typename Item>
void writeList(Builder builder, const std::vector<Item> &items)
{
    for (unsigned i = 0; i < items.size(); ++i) {
        write(builder[i], items[i]);
    }
}

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
