#include "gateway/RequestStage.h"

namespace lychee::gateway {

std::string_view nameOf(RequestStage Stage) noexcept {
  switch (Stage) {
  case RequestStage::Reading:
    return "reading";
  case RequestStage::Waiting:
    return "waiting";
  case RequestStage::AtTarget:
    return "at-target";
  case RequestStage::Answering:
    return "answering";
  }
  return "";
}

} // namespace lychee::gateway
