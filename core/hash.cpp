#include "core/hash.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>

namespace sassafras {

namespace {

std::string toHex(const unsigned char *Bytes, size_t Size) {
  static constexpr char Digits[] = "0123456789abcdef";
  std::string out;
  out.reserve(2 * Size);
  for (size_t i = 0; i < Size; ++i) {
    out += Digits[Bytes[i] >> 4];
    out += Digits[Bytes[i] & 15];
  }
  return out;
}

void fillRandom(unsigned char *Bytes, int Size) {
  if (RAND_bytes(Bytes, Size) == 1)
    return;
  // Identities and keys would not be unique or secret without random bytes.
  std::fputs("event=random_source_failed\n", stderr);
  std::abort();
}

} // namespace

std::string hashKey(std::string_view Salt, std::string_view Key) {
  unsigned char buf[EVP_MAX_MD_SIZE];
  unsigned n = 0;
  HMAC(EVP_sha256(), Salt.data(), static_cast<int>(Salt.size()),
       reinterpret_cast<const unsigned char *>(Key.data()), Key.size(), buf,
       &n);
  return toHex(buf, n);
}

std::string digestOf(std::initializer_list<std::string_view> Parts) {
  std::string joined;
  for (std::string_view it : Parts) {
    joined += std::to_string(it.size());
    joined += ':';
    joined += it;
  }
  unsigned char buf[EVP_MAX_MD_SIZE];
  unsigned n = 0;
  EVP_Digest(joined.data(), joined.size(), buf, &n, EVP_sha256(), nullptr);
  return toHex(buf, n);
}

uint64_t checksumOf(std::string_view Bytes) {
  return XXH64(Bytes.data(), Bytes.size(), 0);
}

uint64_t generateIdentity() {
  uint64_t n = 0;
  while (n == 0)
    fillRandom(reinterpret_cast<unsigned char *>(&n), sizeof n);
  return n;
}

uint64_t makeIncarnation() {
  auto n = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(n).count());
}

std::string generateKey() {
  unsigned char buf[16];
  fillRandom(buf, sizeof buf);
  return "sk-" + toHex(buf, sizeof buf);
}

} // namespace sassafras
