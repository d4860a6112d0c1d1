#include "core/placement.hpp"

#include <algorithm>

namespace amberknot::core {

Verdict Placement::ended(VersionNo version, const ErrorMeaning& meaning, std::optional<Duration> stay_away) {
  const auto verdict = verdict_of(meaning);
  switch (meaning.about) {
    case About::kServer:
      about_server_ = meaning.reason;
      if (stay_away) stay_away_ = stay_away_ ? std::min(*stay_away_, *stay_away) : *stay_away;
      break;
    case About::kVersion:
      about_version_ = meaning.reason;
      out_ |= set_of(version);
      break;
    case About::kCall:
      about_call_ = meaning.reason;
      if (stay_away) stay_away_ = *stay_away;
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
