/** @file digest_func.h SHA-256 digests, constant-time comparison, stable hashes. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace teaselreach::core {

/**
 * @param data The bytes to digest.
 * @return The SHA-256 digest as 64 lower-case hexadecimal characters.
 */
std::string sha256Hex(std::string_view data);

/**
 * Compares without an early exit, so that the duration reveals nothing about the content.
 * @return Whether both are equal in length and content.
 */
bool equalConstantTime(std::string_view a, std::string_view b);

/**
 * A hash that is the same in every process and version (FNV-1a with a final mix).
 * @param data The bytes to hash.
 * @return A 64-bit hash, not for security.
 */
std::uint64_t stableHash(std::string_view data);

/**
 * Rendezvous weight of a candidate for an item: the candidate with the highest weight wins.
 * @return A 64-bit weight that is the same in every process.
 */
std::uint64_t rendezvousWeight(std::string_view item, std::string_view candidate);

/**
 * @param bytes Number of random bytes.
 * @return Random bytes of the operating system's generator, as hexadecimal characters.
 */
std::string randomHex(std::size_t bytes);

} // namespace teaselreach::core
