// The cases of the second review.
#pragma once

#include "stand.hpp"

namespace review {

Verdict second_copy();
Verdict spoilt_length();
Verdict stale_delete();
Verdict garbled_byte();
Verdict same_id();
Verdict check_releases(const JsonCallers& callers, const std::vector<DiameterServer*>& servers,
                       unsigned min_stood);
Verdict check_answers(const JsonCallers& callers, unsigned sent);

}  // namespace review
