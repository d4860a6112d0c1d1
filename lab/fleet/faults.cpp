#include "lab/fleet/faults.hpp"

#include <algorithm>

namespace amberknot::lab::fleet {

LinkFaults::LinkFaults(const Schedule& schedule, const std::string& from, const std::string& to)
    : seed_(schedule.seed), name_(from + ">" + to), random_(seed_, name_) {
  for (const auto& fault : schedule.links) {
    if (covers(fault, from, to)) faults_.push_back(fault);
  }
}

const LinkFault* LinkFaults::active_fault(LinkFaultKind kind, Duration now) const {
  for (const auto& fault : faults_) {
    if (fault.kind == kind && fault.at <= now && now < fault.until) return &fault;
  }
  return nullptr;
}

const LinkFault* LinkFaults::connection_fault(LinkFaultKind kind, Duration now,
                                              std::uint64_t connection) const {
  const auto* fault = active_fault(kind, now);
  if (fault == nullptr || fault->share >= 1) return fault;
  // Gives the same result for the same connection during the whole fault.
  Random random(seed_ ^ (connection * 0x9e3779b97f4a7c15ULL) ^ static_cast<std::uint64_t>(fault->at.count()),
                name_);
  return random.chance(fault->share) ? fault : nullptr;
}

DatagramDelivery LinkFaults::deliver_datagram(Duration now) {
  using K = LinkFaultKind;
  for (const auto kind : {K::kPartition, K::kHalfOpen, K::kStall}) {
    if (active_fault(kind, now) != nullptr) return {};
  }
  const auto* drop = active_fault(K::kDrop, now);
  if (drop != nullptr && random_.chance(drop->share)) return {};
  DatagramDelivery delivery;
  delivery.count = 1;
  if (const auto* delay = active_fault(K::kDelay, now)) {
    delivery.delays[0] += delay->fixed;
    if (delay->jitter > Duration{}) {
      delivery.delays[0] += Duration{
          static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(delay->jitter.count())))};
    }
  }
  const auto* reorder = active_fault(K::kReorder, now);
  if (reorder != nullptr && random_.chance(reorder->share)) delivery.delays[0] += reorder->fixed;
  const auto* duplicate = active_fault(K::kDuplicate, now);
  if (duplicate != nullptr && random_.chance(duplicate->share)) {
    delivery.delays[1] = delivery.delays[0] + duplicate->fixed;
    delivery.count = 2;
  }
  return delivery;
}

StreamAction LinkFaults::stream_action(Duration now, std::uint64_t connection) {
  using K = LinkFaultKind;
  using A = StreamAction::Kind;
  if (connection_fault(K::kReset, now, connection) != nullptr) return {A::kReset, {}, {}};
  if (connection_fault(K::kFinish, now, connection) != nullptr) return {A::kFinish, {}, {}};
  if (connection_fault(K::kHalfOpen, now, connection) != nullptr) return {A::kDiscard, {}, {}};
  if (const auto* stall = connection_fault(K::kStall, now, connection))
    return {A::kPauseReading, {}, stall->until};
  if (const auto* partition = connection_fault(K::kPartition, now, connection))
    return {A::kHold, {}, partition->until};
  StreamAction action;
  if (const auto* delay = active_fault(K::kDelay, now)) {
    action.delay += delay->fixed;
    if (delay->jitter > Duration{}) {
      action.delay += Duration{
          static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(delay->jitter.count())))};
    }
  }
  const auto* drop = active_fault(K::kDrop, now);
  if (drop != nullptr && random_.chance(drop->share)) action.delay += kRetransmissionDelay;
  return action;
}

std::vector<Duration> LinkFaults::connection_close_times() const {
  std::vector<Duration> times;
  for (const auto& fault : faults_) {
    const bool closes_connections =
        fault.kind == LinkFaultKind::kReset || fault.kind == LinkFaultKind::kFinish;
    if (closes_connections) times.push_back(fault.at);
  }
  return times;
}

}  // namespace amberknot::lab::fleet
