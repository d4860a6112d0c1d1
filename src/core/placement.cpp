#include "core/placement.hpp"

#include <algorithm>

namespace amberknot::core {

Verdict Placement::on_attempt_ended(ProtocolVersion version, const ErrorMeaning& meaning,
                                    std::optional<Duration> retry_after) {
  const auto verdict = verdict_of(meaning);
  switch (meaning.about) {
    case About::kServer:
      about_server_ = meaning.reason;
      if (retry_after) retry_after_ = retry_after_ ? std::min(*retry_after_, *retry_after) : *retry_after;
      break;
    case About::kVersion:
      about_version_ = meaning.reason;
      excluded_ |= set_of(version);
      break;
    case About::kCall:
      about_call_ = meaning.reason;
      if (retry_after) retry_after_ = *retry_after;
      break;
  }
  return verdict;
}

Reason Placement::reason(Reason otherwise) const {
  if (about_call_) return *about_call_;
  if (about_version_) return *about_version_;
  // The module's own word for a shortage stands, unless the last server said something that is no shortage.
  if (about_server_ && facts_of(*about_server_).final_answer == facts_of(otherwise).final_answer) {
    return *about_server_;
  }
  return otherwise;
}

}  // namespace amberknot::core
