#include "core/counters.hpp"

namespace amberknot::core {

void Counters::print(std::ostream& out) const {
  out << "counters: taken in: taken=" << received << " given_up=" << abandoned
      << " left_waiting=" << abandoned_while_queued << " malformed=" << malformed_set_ups
      << " unreadable=" << unreadable_messages << " repeated_ids=" << repeated_ids
      << " repeated_requests=" << repeated_requests << " turned_away=" << rejected_for_capacity
      << " rejected_in_standby=" << rejected_in_standby << " evicted=" << evicted_connections
      << " silent=" << idle_connections_closed << " unknown_ids=" << unknown_ids
      << " feed_events=" << endpoint_events << " feed_restarts=" << endpoint_watch_restarts
      << " load_reports=" << load_reports << " directory_failures=" << directory_failures
      << " reloads=" << reloads << " reloads_failed=" << reloads_failed << "; sent: sent=" << attempts
      << " cancels=" << cancels << " probes=" << health_checks << " taken_back=" << withdrawn_set_ups
      << " moved=" << moved_set_ups << " stuck_links=" << stalled_connections
      << " silent_servers=" << silent_servers << " late_links=" << late_connections
      << " spoilt_answers=" << malformed_answers << " late_answers=" << late_answers
      << " second_answers=" << second_answers << "; answered: stood=" << established
      << " refused=" << rejected << " failed=" << failed << " released=" << released
      << " unheard=" << undelivered_answers << " cut=" << aborted << "; attempts ended:";
  static constexpr const char* kOutcomeNames[] = {"ok",    "error",     "full", "timeout", "connect_failed",
                                                  "reset", "cancelled", "moot"};
  for (std::size_t i = 0; i < kOutcomeCount; ++i) out << ' ' << kOutcomeNames[i] << '=' << attempt_ends[i];
}

}  // namespace amberknot::core
