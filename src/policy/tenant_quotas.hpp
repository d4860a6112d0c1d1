// Quotas of the tenants.
#pragma once

#include "policy/context.hpp"

namespace amberknot::policy {

/// Departure: a call over its tenant's quota is not rejected but gets a lower weight. A sender sees only its
/// own share of the tenant's calls. If the tenant's call rate here exceeds kMaxQuotaMultiple times an equal
/// share of the quota, randomly selected calls count as over the quota, in proportion to the excess.
class TenantQuotas {
 public:
  explicit TenantQuotas(Context& context) : context_(context), rates_(context.settings.tenants.size()) {}

  /// Counts the call for its tenant. Returns true if it is over the quota.
  bool is_over_quota(std::size_t tenant) {
    const auto& tenants = context_.settings.tenants;
    const auto peer_count = context_.settings.peer_count;
    if (tenant >= tenants.size() || !tenants[tenant].quota_per_s || peer_count == 0) return false;
    auto& rate = rates_[tenant];
    rate.count(context_.now);
    const double max_own_rate = kMaxQuotaMultiple * *tenants[tenant].quota_per_s / peer_count;
    return context_.random_up_to(1.0) * rate.per_second(context_.now, context_.started) > max_own_rate;
  }

 private:
  static constexpr double kMaxQuotaMultiple = 1.5;  // tenants' calls are spread unevenly over the senders
  Context& context_;
  std::vector<Rate> rates_;
};

}  // namespace amberknot::policy
