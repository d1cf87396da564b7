#include "base/random_id.h"

#include <openssl/evp.h>
#include <openssl/rand.h>

#include <array>
#include <cstdlib>
#include <span>

namespace ridgehold {
namespace {

std::string ToHex(std::span<const unsigned char> bytes) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  hex.reserve(bytes.size() * 2);
  for (const unsigned char byte : bytes) {
    hex += kDigits[byte >> 4];
    hex += kDigits[byte & 0xf];
  }
  return hex;
}

}  // namespace

std::string RandomId() {
  constexpr int kBytes = 16;
  std::array<unsigned char, kBytes> bytes{};
  // Ids must be unique, which cannot be guaranteed without a random source.
  if (RAND_bytes(bytes.data(), kBytes) != 1) std::abort();
  return ToHex(bytes);
}

std::string Sha256Hex(const std::string& text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
  return ToHex(std::span(digest).first(size));
}

}  // namespace ridgehold
