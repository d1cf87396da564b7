#include "base/base64.h"

#include <openssl/evp.h>

namespace ridgehold {
namespace {

constexpr std::size_t kBytesPerGroup = 3;
constexpr std::size_t kCharsPerGroup = 4;

}  // namespace

std::string Base64Encode(std::string_view bytes) {
  const std::size_t groups = (bytes.size() + kBytesPerGroup - 1) / kBytesPerGroup;
  // OpenSSL also writes a terminating zero byte, for which std::string has room.
  std::string text(groups * kCharsPerGroup, '\0');
  EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                  reinterpret_cast<const unsigned char*>(bytes.data()),
                  static_cast<int>(bytes.size()));
  return text;
}

std::optional<std::string> Base64Decode(std::string_view text) {
  if (text.size() % kCharsPerGroup != 0) return std::nullopt;
  std::string bytes(text.size() / kCharsPerGroup * kBytesPerGroup, '\0');
  const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                   reinterpret_cast<const unsigned char*>(text.data()),
                                   static_cast<int>(text.size()));
  if (size < 0) return std::nullopt;
  // OpenSSL counts the zero bytes decoded from the padding as data.
  std::size_t padding = 0;
  while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') ++padding;
  bytes.resize(static_cast<std::size_t>(size) - padding);
  return bytes;
}

}  // namespace ridgehold
