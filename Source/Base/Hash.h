#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Base/Ids.h"

namespace lycheearch {

/// A 64-bit hash that is the same in every process and build.
std::uint64_t stableHash(const std::string &text);

/// Spreads each bit of \p value over all bits of the result.
std::uint64_t mixBits(std::uint64_t value);

/// SHA-256 of \p text in lower-case hexadecimal.
std::string sha256Hex(const std::string &text);

/// HMAC-SHA-256 of \p text under \p key in lower-case hexadecimal.
std::string hmacHex(const std::string &key, const std::string &text);

/// Compares in a time that does not depend on where the texts differ.
bool equalInConstantTime(const std::string &left, const std::string &right);

/// A random identifier of 32 hexadecimal digits from the operating system's source.
std::string randomHex();

/// The \p count members with the highest rendezvous weight for \p key, best first.
std::vector<InstanceId> rendezvous(const std::string &key, const std::vector<InstanceId> &members,
                                   std::size_t count);

} // namespace lycheearch
