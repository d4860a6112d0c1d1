// Mapping of Result-Codes to the outcomes that the decision module is told.
#pragma once

#include <array>
#include <cstdint>

#include "amberknot/admission.hpp"

namespace amberknot::diameter {

/// A range of Result-Codes and the outcome that they stand for.
struct ResultMeaning {
  std::uint32_t first, last;  ///< both included
  Outcome outcome;
  bool is_user_error;  ///< the subscriber caused the failure, not the server
};

/// The first row whose range holds the code applies. 2xxx means that the session is established.
inline constexpr std::array kResultMeanings = {
    ResultMeaning{2000, 2999, Outcome::kOk, false},
    ResultMeaning{3002, 3002, Outcome::kNotSent, false},  // unable to deliver: the request was not processed
    ResultMeaning{3004, 3004, Outcome::kFull, false},     // too busy
    ResultMeaning{3006, 3006, Outcome::kNotSent, false},  // redirected: the request was not processed here
    ResultMeaning{3010, 3010, Outcome::kNotSent, false},  // unknown peer
    ResultMeaning{4002, 4002, Outcome::kFull, false},     // out of space
    ResultMeaning{4010, 4012, Outcome::kError, true},     // service denied, not applicable, credit limit
    ResultMeaning{5003, 5003, Outcome::kError, true},     // authorization rejected
    ResultMeaning{5030, 5031, Outcome::kError, true},     // user unknown, rating failed
    ResultMeaning{0, 0xffffffff, Outcome::kError, false},
};

/// Returns the row for a Result-Code; a code outside of all other ranges is an error of the server.
constexpr ResultMeaning find_meaning(std::uint32_t result) {
  for (const auto& row : kResultMeanings) {
    if (result >= row.first && result <= row.last) return row;
  }
  return kResultMeanings.back();
}

}  // namespace amberknot::diameter
