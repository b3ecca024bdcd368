#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Base/Ids.h"

namespace lycheearch {

/// 64-bit xxHash (XXH64, seed 0) of \p text; the same in every process and build.
std::uint64_t stableHash(const std::string &text);

/// Finalizer of MurmurHash3: each bit of \p value affects all bits of the result.
std::uint64_t mixBits(std::uint64_t value);

/// \p hash in lower-case hexadecimal, for the log.
std::string hashText(std::uint64_t hash);

/// SHA-256 of \p text in lower-case hexadecimal.
std::string sha256Hex(const std::string &text);

/// HMAC-SHA-256 of \p text under \p key in lower-case hexadecimal.
std::string hmacHex(const std::string &key, const std::string &text);

/// Compares secrets: for texts of equal length, the time doesn't depend on where they differ.
bool equalInConstantTime(const std::string &left, const std::string &right);

/// A random identifier of 32 hexadecimal digits from the operating system's random source.
std::string randomHex();

/// The \p count members with the highest weight for \p key by rendezvous hashing, highest first.
std::vector<InstanceId> rendezvous(const std::string &key, const std::vector<InstanceId> &members,
                                   std::size_t count);

} // namespace lycheearch
