/** @file digest.cpp SHA-256 digests, constant-time comparison, stable hashes. */
#include "core/digest_func.h"
#include "core/error_type.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include <array>
#include <vector>

namespace teaselreach::core {

namespace {

std::string toHex(const unsigned char *bytes, std::size_t size)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string hex;
    hex.reserve(size * 2);
    for (std::size_t i = 0; i < size; ++i) {
        hex.push_back(digits[bytes[i] >> 4]);
        hex.push_back(digits[bytes[i] & 0xf]);
    }
    return hex;
}

std::uint64_t finalizeHash(std::uint64_t value)
{
    value ^= value >> 33;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33;
    value *= 0xc4ceb9fe1a85ec53ULL;
    value ^= value >> 33;
    return value;
}

std::uint64_t fnv1a(std::string_view data, std::uint64_t seed)
{
    std::uint64_t hash = seed;
    for (const char c : data) {
        hash ^= static_cast<unsigned char>(c);
        hash *= 0x100000001b3ULL;
    }
    return hash;
}

constexpr std::uint64_t fnvOffset = 0xcbf29ce484222325ULL;

} // namespace

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int size = 0;
    if (EVP_Digest(data.data(), data.size(), digest.data(), &size, EVP_sha256(), nullptr) != 1)
        throw Error("digest_failed", "SHA-256 is not available in libcrypto");
    return toHex(digest.data(), size);
}

bool equalConstantTime(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::uint64_t stableHash(std::string_view data)
{
    return finalizeHash(fnv1a(data, fnvOffset));
}

std::uint64_t rendezvousWeight(std::string_view item, std::string_view candidate)
{
    return finalizeHash(fnv1a(candidate, finalizeHash(fnv1a(item, fnvOffset))));
}

std::string randomHex(std::size_t bytes)
{
    std::vector<unsigned char> buffer(bytes);
    if (RAND_bytes(buffer.data(), static_cast<int>(bytes)) != 1)
        throw Error("random_failed", "libcrypto's random generator returned no bytes");
    return toHex(buffer.data(), buffer.size());
}

} // namespace teaselreach::core
