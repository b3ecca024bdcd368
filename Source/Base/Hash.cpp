#include "Base/Hash.h"

#include <algorithm>
#include <sstream>

#include <Poco/Crypto/DigestEngine.h>
#include <Poco/HMACEngine.h>
#include <Poco/SHA2Engine.h>
#include <Poco/UUIDGenerator.h>
#include <xxhash.h>

namespace lycheearch {

namespace {

/// Poco's HMAC template needs a digest with a fixed block size and a default constructor.
class Sha256 : public Poco::SHA2Engine
{
public:
    enum { BLOCK_SIZE = 64, DIGEST_SIZE = 32 }; // NOLINT(readability-identifier-naming)
    Sha256()
        : Poco::SHA2Engine(Poco::SHA2Engine::SHA_256)
    {
    }
};

struct WeightedMember
{
    std::uint64_t weight;
    InstanceId member;
};

} // namespace

std::uint64_t mixBits(std::uint64_t value)
{
    constexpr unsigned shift = 33;
    value ^= value >> shift;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> shift;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> shift);
}

std::uint64_t stableHash(const std::string &text)
{
    return XXH64(text.data(), text.size(), 0);
}

std::string hashText(std::uint64_t hash)
{
    std::ostringstream text;
    text << std::hex << hash;
    return text.str();
}

std::string sha256Hex(const std::string &text)
{
    Sha256 engine;
    engine.update(text);
    return Poco::DigestEngine::digestToHex(engine.digest());
}

std::string hmacHex(const std::string &key, const std::string &text)
{
    Poco::HMACEngine<Sha256> engine(key);
    engine.update(text);
    return Poco::DigestEngine::digestToHex(engine.digest());
}

bool equalInConstantTime(const std::string &left, const std::string &right)
{
    if (left.size() != right.size()) {
        return false;
    }
    unsigned char difference = 0;
    for (std::size_t i = 0; i < left.size(); ++i) {
        difference |= static_cast<unsigned char>(left[i] ^ right[i]);
    }
    return difference == 0;
}

std::string randomHex()
{
    std::string text = Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
    text.erase(std::remove(text.begin(), text.end(), '-'), text.end());
    return text;
}

std::vector<InstanceId> rendezvous(const std::string &key, const std::vector<InstanceId> &members,
                                   std::size_t count)
{
    std::vector<WeightedMember> weighted;
    weighted.reserve(members.size());
    for (const InstanceId &member : members) {
        weighted.push_back({stableHash(key + '\n' + member.value()), member});
    }
    const std::size_t resultCount = std::min(count, weighted.size());
    const auto hasHigherWeight = [](const WeightedMember &left, const WeightedMember &right) {
        return left.weight != right.weight ? left.weight > right.weight
                                           : left.member < right.member;
    };
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(resultCount),
                      weighted.end(), hasHigherWeight);
    std::vector<InstanceId> chosen;
    for (std::size_t i = 0; i < resultCount; ++i) {
        chosen.push_back(weighted[i].member);
    }
    return chosen;
}

} // namespace lycheearch
