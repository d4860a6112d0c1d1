#include "lab/fleet/faults.hpp"

#include <algorithm>

namespace amberknot::lab::fleet {

LinkFaults::LinkFaults(const Schedule& schedule, const std::string& from, const std::string& to)
    : random_(schedule.seed, from + ">" + to) {
  for (const auto& fault : schedule.links) {
    const bool forth = covers(fault.from, from) && covers(fault.to, to);
    const bool back = fault.both_ways && covers(fault.from, to) && covers(fault.to, from);
    if (forth || back) faults_.push_back(fault);
  }
}

const LinkFault* LinkFaults::on(LinkFaultKind kind, Duration at) const {
  for (const auto& fault : faults_) {
    if (fault.kind == kind && fault.at <= at && at < fault.until) return &fault;
  }
  return nullptr;
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

StreamVerdict LinkFaults::stream(Duration at) {
  using K = LinkFaultKind;
  using V = StreamVerdict::Kind;
  if (on(K::kReset, at) != nullptr) return {V::kReset, {}, {}};
  if (on(K::kFinish, at) != nullptr) return {V::kFinish, {}, {}};
  if (on(K::kHalfOpen, at) != nullptr) return {V::kVanish, {}, {}};
  if (const auto* stall = on(K::kStall, at)) return {V::kStop, {}, stall->until};
  if (const auto* apart = on(K::kPartition, at)) return {V::kHold, {}, apart->until};
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

bool LinkFaults::any_between(Duration from, Duration until) const {
  return std::any_of(faults_.begin(), faults_.end(),
                     [&](const LinkFault& fault) { return fault.at < until && from < fault.until; });
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
