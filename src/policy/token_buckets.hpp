// The tokens of each server.
#pragma once

#include "policy/delay_estimate.hpp"

namespace amberknot::policy {

/// Tokens per server: each set-up in progress holds one, and a set-up is sent only with a free token.
class TokenBuckets {
 public:
  TokenBuckets(Context& context, DelayEstimate& delays) : context_(context), delays_(delays) {}

  void count_arrival() { arrival_rate_.count(context_.now); }

  /// Updates the server's traffic share factor and returns its number of tokens, which may be a fraction.
  /// Departure: during an overload the tokens are limited. By Little's law, a sender's fair number of set-ups
  /// in progress at a server is its calls per second there times the target delay. The tokens are that
  /// number times the target delay divided by the current delay, and no more than without an overload. The
  /// tokens of all senders then add up to one queue of the target length, however many senders there are. The
  /// traffic share factor grows while the server's delay is below the target and shrinks while it is above.
  double update_tokens(Server& server) {
    const double target = seconds(delays_.base_delay(server) +
                                  context_.response_budget_share(DelayEstimate::kTargetQueueBudgets));
    const double headroom = target / std::max(seconds(delays_.delay(server)), 1e-3);
    const double elapsed = seconds(context_.now - server.traffic_share_updated) /
                           (kTrafficShareBudgets * seconds(context_.response_budget));
    server.traffic_share_updated = context_.now;
    server.traffic_share_factor *= std::exp(std::clamp(headroom - 1.0, -1.0, 1.0) * std::min(elapsed, 1.0));
    server.traffic_share_factor =
        std::clamp(server.traffic_share_factor, kMinTrafficShareFactor, Server::kMaxTrafficShareFactor);
    const double arrival_rate = arrival_rate_.per_second(context_.now, context_.started);
    const double unloaded_set_ups = arrival_rate / ready_servers() * seconds(server.base_delay);
    const double max_tokens = std::max(kMinTokens, std::round(kTokensPerUnloadedSetUp * unloaded_set_ups));
    if (context_.now >= context_.overloaded_until) return max_tokens;
    return std::min(max_tokens,
                    server.traffic_share_factor * arrival_rate * fair_share(server) * target * headroom);
  }

  [[nodiscard]] bool has_token(Server& server) {
    const double tokens = update_tokens(server);
    const double in_flight = static_cast<double>(server.in_flight.size());
    if (in_flight + 1.0 <= tokens) return true;
    // The only set-up in progress is overdue, but later reports show no queue: it may be lost. One more
    // set-up shows whether the server responds.
    const Duration timeout = context_.silence_timeout();
    const Duration since_send = context_.now - server.last_send;
    if (server.in_flight.size() == 1 && since_send > timeout &&
        server.queue_delay_updated > server.last_send + timeout / 2 &&
        server.base_delay + delays_.own_queue_delay(server) <
            context_.response_budget_share(DelayEstimate::kUnloadedDelayBudgets)) {
      return true;
    }
    // A fraction of a token allows one more set-up, at intervals that use that fraction on average.
    return in_flight < tokens && seconds(since_send) * (tokens - in_flight) >= seconds(delays_.delay(server));
  }

 private:
  static constexpr double kTokensPerUnloadedSetUp = 4.0;  // the design allows 3 to 5
  static constexpr double kMinTokens = 4.0;               // set by the design
  // Greater than zero: without any calls, a recovery would not be noticed
  static constexpr double kMinTrafficShareFactor = 0.25;
  // Time, in response budgets, in which the traffic share factor grows by a factor of e if the delay is at
  // most half of the target
  static constexpr double kTrafficShareBudgets = 2.0;

  [[nodiscard]] double ready_servers() const {
    return std::max(1.0, context_.count_servers([](const Server& server) { return server.is_ready(); }));
  }

  // Share of our calls for a server if all are equally loaded: by size if every size is known, else equal.
  [[nodiscard]] double fair_share(const Server& server) {
    if (std::exchange(total_updated_, context_.now) != context_.now || total_size_ <= 0) {
      total_size_ = 0;
      for (const auto& [id, other] : context_.servers) {
        if (other.is_ready() && total_size_ >= 0) total_size_ += other.capacity.size();
        if (other.is_ready() && other.capacity.size() <= 0) total_size_ = -1;
      }
    }
    return total_size_ > 0 ? server.capacity.size() / total_size_ : 1.0 / ready_servers();
  }

  Context& context_;
  DelayEstimate& delays_;
  Rate arrival_rate_;      // of our calls, per second
  double total_size_ = 0;  // of all ready servers; zero or less if one is not known
  Instant total_updated_{};
};

}  // namespace amberknot::policy
