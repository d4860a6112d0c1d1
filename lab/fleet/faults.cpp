#include "lab/fleet/faults.hpp"

#include <algorithm>

namespace amberknot::lab::fleet {

LinkFaults::LinkFaults(const Schedule& schedule, const std::string& from, const std::string& to)
    : seed_(schedule.seed), name_(from + ">" + to), random_(seed_, name_) {
  for (const auto& fault : schedule.links) {
    if (covers(fault, from, to)) faults_.push_back(fault);
  }
}

const LinkFault* LinkFaults::on(LinkFaultKind kind, Duration at) const {
  for (const auto& fault : faults_) {
    if (fault.kind == kind && fault.at <= at && at < fault.until) return &fault;
  }
  return nullptr;
}

const LinkFault* LinkFaults::strikes(LinkFaultKind kind, Duration at, std::uint64_t connection) const {
  const auto* fault = on(kind, at);
  if (fault == nullptr || fault->share >= 1) return fault;
  // The same connection draws the same all through one fault.
  Random draw(seed_ ^ (connection * 0x9e3779b97f4a7c15ULL) ^ static_cast<std::uint64_t>(fault->at.count()),
              name_);
  return draw.chance(fault->share) ? fault : nullptr;
}

Deliveries LinkFaults::datagram(Duration at) {
  using K = LinkFaultKind;
  for (const auto kind : {K::kPartition, K::kHalfOpen, K::kStall}) {
    if (on(kind, at) != nullptr) return {};
  }
  const auto* drop = on(K::kDrop, at);
  if (drop != nullptr && random_.chance(drop->share)) return {};
  Deliveries to;
  to.count = 1;
  if (const auto* delay = on(K::kDelay, at)) {
    to.after[0] += delay->fixed;
    if (delay->jitter > Duration{}) {
      to.after[0] += Duration{
          static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(delay->jitter.count())))};
    }
  }
  const auto* reorder = on(K::kReorder, at);
  if (reorder != nullptr && random_.chance(reorder->share)) to.after[0] += reorder->fixed;
  const auto* twice = on(K::kDuplicate, at);
  if (twice != nullptr && random_.chance(twice->share)) {
    to.after[1] = to.after[0] + twice->fixed;
    to.count = 2;
  }
  return to;
}

StreamVerdict LinkFaults::stream(Duration at, std::uint64_t connection) {
  using K = LinkFaultKind;
  using V = StreamVerdict::Kind;
  if (strikes(K::kReset, at, connection) != nullptr) return {V::kReset, {}, {}};
  if (strikes(K::kFinish, at, connection) != nullptr) return {V::kFinish, {}, {}};
  if (strikes(K::kHalfOpen, at, connection) != nullptr) return {V::kVanish, {}, {}};
  if (const auto* stall = strikes(K::kStall, at, connection)) return {V::kStop, {}, stall->until};
  if (const auto* apart = strikes(K::kPartition, at, connection)) return {V::kHold, {}, apart->until};
  StreamVerdict verdict;
  if (const auto* delay = on(K::kDelay, at)) {
    verdict.wait += delay->fixed;
    if (delay->jitter > Duration{}) {
      verdict.wait += Duration{
          static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(delay->jitter.count())))};
    }
  }
  const auto* drop = on(K::kDrop, at);
  if (drop != nullptr && random_.chance(drop->share)) verdict.wait += kRetransmitted;
  return verdict;
}

std::vector<Duration> LinkFaults::cuts() const {
  std::vector<Duration> moments;
  for (const auto& fault : faults_) {
    const bool cuts = fault.kind == LinkFaultKind::kReset || fault.kind == LinkFaultKind::kFinish;
    if (cuts) moments.push_back(fault.at);
  }
  return moments;
}

}  // namespace amberknot::lab::fleet
