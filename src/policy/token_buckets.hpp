#pragma once

#include "policy/delay_estimate.hpp"

namespace amberknot::policy {

/// Tokens per server: each set-up in progress holds one, and one is sent only on a free token.
class TokenBuckets {
 public:
  TokenBuckets(Context& context, DelayEstimate& delays) : context_(context), delays_(delays) {}

  void count_arrival() { arrivals_.count(context_.now); }

  // Departure: by Little's law a sender's fair set-ups in progress at a server are its calls a second there
  // times the target delay. The tokens are no more than that, less in proportion as the delay is longer, so
  // those of all senders add up to one queue of the target length, however many senders there are. The share
  // of our calls that the server is meant for grows while the delay is below target, and shrinks above it.
  double update_tokens(Server& server) {
    const double target = seconds(delays_.calm_delay(server) + context_.budget(DelayEstimate::kTargetQueue));
    const double headroom = target / std::max(seconds(delays_.delay(server)), 1e-3);
    const double elapsed = seconds(context_.now - server.traffic_share_updated) /
                           (kShareBudgets * seconds(context_.response_budget));
    server.traffic_share_updated = context_.now;
    server.traffic_share *= std::exp(std::clamp(headroom - 1.0, -1.0, 1.0) * std::min(elapsed, 1.0));
    server.traffic_share = std::clamp(server.traffic_share, kMinTrafficShare, Server::kMaxTrafficShare);
    const double arrivals = arrivals_.per_second(context_.now, context_.started);
    const double calm = arrivals / ready_servers() * seconds(server.calm_delay);
    const double fixed = std::max(kMinTokens, std::round(kTokensPerCalmSetup * calm));
    if (context_.now >= context_.overloaded_until) return fixed;
    return std::min(fixed, server.traffic_share * arrivals * fair_share(server) * target * headroom);
  }

  [[nodiscard]] bool has_token(Server& server) {
    const double tokens = update_tokens(server);
    const double in_flight = static_cast<double>(server.in_flight.size());
    if (in_flight + 1.0 <= tokens) return true;
    // A lone set-up that stays out while reports since show no queue may be lost: another one shows.
    const Duration timeout = context_.silence_timeout();
    const Duration since_send = context_.now - server.last_send;
    if (server.in_flight.size() == 1 && since_send > timeout &&
        server.excess_updated > server.last_send + timeout / 2 &&
        server.calm_delay + delays_.own_excess(server) < context_.budget(DelayEstimate::kCalm)) {
      return true;
    }
    // Part of a token: one set-up more, spaced so that on average that part is in use.
    return in_flight < tokens && seconds(since_send) * (tokens - in_flight) >= seconds(delays_.delay(server));
  }

 private:
  static constexpr double kTokensPerCalmSetup = 4.0;  // design: 3 to 5
  static constexpr double kMinTokens = 4.0;           // design
  static constexpr double kMinTrafficShare = 0.25;    // starved altogether, its recovery would not be seen
  static constexpr double kShareBudgets = 2.0;        // to move it by a factor e, at half or twice the target

  [[nodiscard]] double ready_servers() const {
    return std::max(1.0, context_.count_servers([](const Server& server) { return server.is_ready(); }));
  }

  // Part of our calls that is meant for a server if all have equal load; by size where that of each is known.
  [[nodiscard]] double fair_share(const Server& server) {
    if (std::exchange(total_updated_, context_.now) != context_.now || total_size_ <= 0) {
      total_size_ = 0;
      for (const auto& [id, one] : context_.servers) {
        if (one.is_ready() && total_size_ >= 0) total_size_ += one.capacity.size();
        if (one.is_ready() && one.capacity.size() <= 0) total_size_ = -1;
      }
    }
    return total_size_ > 0 ? server.capacity.size() / total_size_ : 1.0 / ready_servers();
  }

  Context& context_;
  DelayEstimate& delays_;
  Rate arrivals_;          // own calls
  double total_size_ = 0;  // of all servers, zero or less: not known of each
  Instant total_updated_{};
};

}  // namespace amberknot::policy
