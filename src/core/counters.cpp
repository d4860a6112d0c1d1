#include "core/counters.hpp"

namespace amberknot::core {

void Counters::print(std::ostream& out) const {
  out << "counters: taken in: taken=" << taken << " given_up=" << given_up << " left_waiting=" << left_waiting
      << " malformed=" << malformed << " unreadable=" << unreadable << " repeated_ids=" << repeated_ids
      << " turned_away=" << turned_away << " evicted=" << evicted << " silent=" << silent
      << " unknown_ids=" << unknown_ids << " feed_events=" << feed_events
      << " feed_restarts=" << feed_restarts << " load_reports=" << load_reports
      << " directory_failures=" << directory_failures << " reloads=" << reloads
      << " reloads_failed=" << reloads_failed << "; sent: sent=" << sent << " cancels=" << cancels
      << " probes=" << probes << " taken_back=" << taken_back << " moved=" << moved
      << " stuck_links=" << stuck_links << " late_links=" << late_links
      << " spoilt_answers=" << spoilt_answers << " late_answers=" << late_answers
      << " second_answers=" << second_answers << "; answered: stood=" << stood << " refused=" << refused
      << " failed=" << failed << " released=" << released << " unheard=" << unheard << " cut=" << cut
      << "; attempts ended:";
  static constexpr const char* kNames[] = {"ok",    "error",     "full", "timeout", "connect_failed",
                                           "reset", "cancelled", "moot"};
  for (std::size_t i = 0; i < 8; ++i) out << ' ' << kNames[i] << '=' << ended[i];
}

}  // namespace amberknot::core
