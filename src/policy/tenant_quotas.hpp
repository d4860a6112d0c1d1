#pragma once

#include "policy/context.hpp"

namespace amberknot::policy {

/// Departure: a call past its tenant's quota has a low weight. A sender knows its own part of the tenant's
/// traffic only; past a multiple of an equal part of the quota, so many calls count as past it as are.
class TenantQuotas {
 public:
  explicit TenantQuotas(Context& context) : context_(context), rates_(context.settings.tenants.size()) {}

  bool is_over_quota(std::size_t tenant) {
    const auto& tenants = context_.settings.tenants;
    const auto peer_count = context_.settings.peer_count;
    if (tenant >= tenants.size() || !tenants[tenant].quota_per_s || peer_count == 0) return false;
    auto& rate = rates_[tenant];
    rate.count(context_.now);
    const double part = kMaxQuotaShare * *tenants[tenant].quota_per_s / peer_count;
    return context_.random_up_to(1.0) * rate.per_second(context_.now, context_.started) > part;
  }

 private:
  static constexpr double kMaxQuotaShare = 1.5;  // a tenant's calls are not spread evenly over the senders
  Context& context_;
  std::vector<Rate> rates_;
};

}  // namespace amberknot::policy
