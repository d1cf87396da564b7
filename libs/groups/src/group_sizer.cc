#include "groups/group_sizer.h"

#include <algorithm>

namespace ridgehold {

std::size_t GroupSizer::Update(std::optional<std::size_t> required, std::size_t max_size,
                               TimePoint now) {
  const std::size_t next = required ? std::min(NextSize(*required, now), max_size) : 0;
  if (next != size_) changed_at_ = now;
  size_ = next;
  return size_;
}

std::size_t GroupSizer::NextSize(std::size_t required, TimePoint now) const {
  if (required >= size_) return required;
  // A difference of one is within the sampling error, except that nothing needs no engine.
  const bool keeps = required > 0 && required + 1 >= size_;
  return keeps || now - changed_at_ < kShrinkInterval ? size_ : size_ - 1;
}

}  // namespace ridgehold
