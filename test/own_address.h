// Loopback addresses that test programs at work at the same time do not share.

#pragma once

#include <unistd.h>

#include <string>

namespace ridgehold::test {

/// An address of this process that ends in `last`, from 1 to 254.
inline std::string OwnAddress(int last) {
  const int pid = ::getpid();
  return "127." + std::to_string(64 + pid / 256 % 128) + "." + std::to_string(pid % 256) + "." +
         std::to_string(last);
}

}  // namespace ridgehold::test
