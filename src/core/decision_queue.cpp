#include "core/decision_queue.hpp"

#include <iterator>

namespace amberknot::core {

bool DecisionQueue::execute(Decisions decisions) {
  pending_.insert(pending_.end(), std::make_move_iterator(decisions.begin()),
                  std::make_move_iterator(decisions.end()));
  if (is_executing_) return false;
  is_executing_ = true;
  while (!pending_.empty()) {
    Decision decision = std::move(pending_.front());
    pending_.pop_front();
    handler_(decision);
  }
  is_executing_ = false;
  return true;
}

}  // namespace amberknot::core
