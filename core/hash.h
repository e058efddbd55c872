/// \file
/// Digests. Keys are kept only as keyed hashes; request digests identify
/// resends and crashing requests.
#ifndef SASSAFRAS_CORE_HASH_H
#define SASSAFRAS_CORE_HASH_H

#include <cstdint>
#include <string>
#include <string_view>

namespace sassafras {

/// HMAC-SHA-256 of \p Key under \p Salt in lower-case hex. Thread safe.
std::string hashKey(std::string_view Salt, std::string_view Key);

/// SHA-256 of the length-prefixed parts in lower-case hex. Thread safe.
std::string digestOf(std::initializer_list<std::string_view> Parts);

/// XXH64 of \p Bytes. Thread safe.
uint64_t checksumOf(std::string_view Bytes);

/// Random 64-bit number, never zero, from the system. Thread safe.
uint64_t generateIdentity();

/// Number of this process start: later starts on one host get higher ones.
/// Thread safe.
uint64_t makeIncarnation();

/// Random key of 32 hex digits with a prefix. Thread safe.
std::string generateKey();

} // namespace sassafras

#endif
