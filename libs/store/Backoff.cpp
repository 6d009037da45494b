#include "store/Backoff.h"

#include <algorithm>

namespace lychee::store {

base::Duration Backoff::next(base::Random &Source) {
  const double Part = 0.5 + 0.5 * base::drawUnit(Source);
  const base::Duration Wait = base::fromSeconds(base::toSeconds(Span_) * Part);
  Span_ = std::min(2 * Span_, Most_);
  return Wait;
}

} // namespace lychee::store
