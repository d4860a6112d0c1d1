// A queue that executes the module's decisions in the order in which they were made. Does no I/O itself.
#pragma once

#include <deque>
#include <functional>
#include <utility>

#include "core/dispatcher.hpp"

namespace amberknot::core {

/// Executes decisions one after the other. Decisions that result from executing one are appended instead of
/// being executed recursively, so that each decision sees the calls in the state that all earlier decisions
/// left.
class DecisionQueue {
 public:
  using Handler = std::function<void(Decision&)>;

  explicit DecisionQueue(Handler handler) : handler_(std::move(handler)) {}

  /// Appends the decisions and executes all queued ones. If called by the handler, it only appends. Returns
  /// whether this call has emptied the queue.
  bool execute(Decisions decisions);

 private:
  Handler handler_;
  std::deque<Decision> pending_;
  bool is_executing_ = false;
};

}  // namespace amberknot::core
