// The module's decisions, in the order in which they were made. No I/O.
#pragma once

#include <deque>
#include <functional>
#include <utility>

#include "core/dispatcher.hpp"

namespace amberknot::core {

/// Carries decisions out one after the other. Carrying one out may lead to more: those are appended and never
/// nested, so that each decision finds the calls as the ones before it left them.
class DecisionQueue {
 public:
  using Handler = std::function<void(Decision&)>;

  explicit DecisionQueue(Handler handler) : handler_(std::move(handler)) {}

  /// Appends the decisions and carries out all that are queued. From inside the handler it only appends.
  /// True: the queue was emptied by this call.
  bool execute(Decisions decisions);

 private:
  Handler handler_;
  std::deque<Decision> pending_;
  bool is_executing_ = false;
};

}  // namespace amberknot::core
