#include "core/executed_calls.hpp"

#include <functional>

namespace amberknot::core {
namespace {

std::uint64_t hash_of(std::string_view key) {
  return std::hash<std::string_view>()(key);
}

}  // namespace

void ExecutedCalls::add(std::string_view key, Instant now) {
  if (max_count_ == 0) return;
  while (!oldest_first_.empty() && now - ended_at_.at(oldest_first_.front()) > retention_) forget_oldest();
  if (!ended_at_.try_emplace(hash_of(key), now).second) return;
  oldest_first_.push_back(hash_of(key));
  if (ended_at_.size() > max_count_) forget_oldest();
}

bool ExecutedCalls::contains(std::string_view key, Instant now) const {
  const auto found = ended_at_.find(hash_of(key));
  return found != ended_at_.end() && now - found->second <= retention_;
}

void ExecutedCalls::forget_oldest() {
  ended_at_.erase(oldest_first_.front());
  oldest_first_.pop_front();
}

}  // namespace amberknot::core
