// The one table between Result-Codes and the module's outcomes.
#pragma once

#include <array>
#include <cstdint>

#include "amberknot/admission.hpp"

namespace amberknot::diameter {

struct ResultMeaning {
  std::uint32_t from, to;  ///< both included
  Outcome outcome;
  bool of_the_user;  ///< the subscriber's fault, not the server's
};

/// The first row that holds the code counts. 2xxx: the session stands.
inline constexpr std::array kResultMeanings = {
    ResultMeaning{2000, 2999, Outcome::kOk, false},
    ResultMeaning{3002, 3002, Outcome::kNotSent, false},  // unable to deliver: it never ran
    ResultMeaning{3004, 3004, Outcome::kFull, false},     // too busy
    ResultMeaning{3006, 3006, Outcome::kNotSent, false},  // redirected: it never ran here
    ResultMeaning{3010, 3010, Outcome::kNotSent, false},  // unknown peer
    ResultMeaning{4002, 4002, Outcome::kFull, false},     // out of space
    ResultMeaning{4010, 4012, Outcome::kError, true},     // service denied, not applicable, credit limit
    ResultMeaning{5003, 5003, Outcome::kError, true},     // authorization rejected
    ResultMeaning{5030, 5031, Outcome::kError, true},     // user unknown, rating failed
    ResultMeaning{0, 0xffffffff, Outcome::kError, false},
};

constexpr ResultMeaning meaning_of(std::uint32_t result) {
  for (const auto& row : kResultMeanings) {
    if (result >= row.from && result <= row.to) return row;
  }
  return kResultMeanings.back();
}

}  // namespace amberknot::diameter
