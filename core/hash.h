/// \file
/// Hashes and random identifiers. API keys are stored only as keyed hashes;
/// request digests identify repeated requests and requests that crash
/// endpoints.
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

/// Random non-zero 64-bit number from OpenSSL's generator. Aborts the process
/// when no random bytes are available. Thread safe.
uint64_t generateIdentity();

/// Incarnation number of a process: microseconds of the wall clock, so that
/// later starts on one host get higher numbers. Thread safe.
uint64_t makeIncarnation();

/// Random API key: the prefix "sk-" and 32 hex digits. Aborts the process when
/// no random bytes are available. Thread safe.
std::string generateKey();

} // namespace sassafras

#endif
