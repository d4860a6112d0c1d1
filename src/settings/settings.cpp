#include "settings/settings.hpp"

#include <cmath>
#include <limits>
#include <optional>

#include "settings/json_text.hpp"
#include "settings/key_value_pairs.hpp"

namespace amberknot::settings {
namespace {

/// The pool number in `text`, which is part of the value of `key`.
PoolId parse_pool(const std::string& text, const std::string& key) {
  const auto number = parse_number(text);
  if (!number || *number < 0 || *number > std::numeric_limits<std::uint32_t>::max() ||
      *number != std::floor(*number))
    throw SettingsError("setting is not a list of pool numbers: " + key);
  return PoolId{static_cast<std::uint32_t>(*number)};
}

/// The pools that calls of one class may go to; empty if they may go to any. Where the servers are pools of
/// agents, each class has a list of pools, and one without a list is an error: it must not be taken for a
/// class that may go to any pool.
std::vector<PoolId> read_pools(const KeyValuePairs& pairs, std::size_t class_index) {
  const auto key = "family_info.skilled_pools." + std::to_string(class_index);
  const bool is_required = pairs.find("family_info.network_form") == "skills";
  std::vector<PoolId> pools;
  for (const auto& pool : split(is_required ? pairs.require(key) : pairs.find(key).value_or(""), ','))
    pools.push_back(parse_pool(pool, key));
  if (is_required && pools.empty()) throw SettingsError("setting is not a list of pool numbers: " + key);
  return pools;
}

/// The mean holding time of each class; empty if the settings give none.
std::vector<Duration> read_holding_times(const KeyValuePairs& pairs) {
  const std::string key = "family_info.class_hold_us";
  std::vector<Duration> holding_times;
  for (const auto& text : split(pairs.find(key).value_or(""), ',')) {
    const auto micros = parse_number(text);
    if (!micros || *micros < 0 || *micros > kMaxDurationMicros)
      throw SettingsError("setting is not a list of durations in microseconds: " + key);
    holding_times.emplace_back(static_cast<std::int64_t>(*micros));
  }
  return holding_times;
}

std::vector<CallClass> read_classes(const KeyValuePairs& pairs) {
  const auto holding_times = read_holding_times(pairs);
  std::vector<CallClass> classes(pairs.require_count("classes.count", kMaxItems));
  if (classes.empty()) throw SettingsError("setting must be at least 1: classes.count");
  for (std::size_t i = 0; i < classes.size(); ++i) {
    const auto prefix = "classes." + std::to_string(i) + ".";
    auto& call_class = classes[i];
    call_class.latency_objective = pairs.require_duration(prefix + "aim_us");
    call_class.deadline = pairs.require_duration(prefix + "deadline_us");
    // By the operators' page DAYS, a deadline of zero or a limit of no attempts (see read_limits) can only be
    // a mistake.
    if (call_class.deadline <= Duration::zero())
      throw SettingsError("setting must be greater than zero: " + prefix + "deadline_us");
    call_class.priority_weight = pairs.require_non_negative(prefix + "value");
    call_class.late_weight_fraction = pairs.find_number(prefix + "late_worth").value_or(0.0);
    if (call_class.late_weight_fraction < 0)
      throw SettingsError("setting must not be negative: " + prefix + "late_worth");
    call_class.idempotent =
        pairs.require_word(prefix + "repeat", {"idempotent", "deduplicated", "at_most_once"}) == "idempotent";
    if (i < holding_times.size()) call_class.mean_holding_time = holding_times[i];
    call_class.pools = read_pools(pairs, i);
  }
  return classes;
}

std::vector<Tenant> read_tenants(const KeyValuePairs& pairs) {
  std::vector<Tenant> tenants(pairs.list_size("tenants"));
  for (std::size_t i = 0; i < tenants.size(); ++i) {
    const auto key = "tenants." + std::to_string(i) + ".quota_per_s";
    tenants[i].quota_per_s = pairs.find_number(key);
    if (tenants[i].quota_per_s.value_or(0) < 0) throw SettingsError("setting must not be negative: " + key);
  }
  return tenants;
}

Limits read_limits(const KeyValuePairs& pairs) {
  constexpr std::uint32_t kMaxAttempts = 1'000'000;
  Limits limits;
  limits.may_cancel = pairs.require_flag("limits.cancel");
  limits.may_check_health = pairs.require_flag("limits.probes");
  limits.may_message_peers = pairs.require_flag("limits.peers");
  limits.may_advise_retry = pairs.require_flag("limits.retry_after");
  limits.max_attempts = pairs.require_count("limits.most_tries", kMaxAttempts);
  if (limits.max_attempts == 0) throw SettingsError("setting must be greater than zero: limits.most_tries");
  if (limits.may_advise_retry) limits.max_retry_after = pairs.require_duration("limits.max_retry_after_us");
  return limits;
}

Invariants read_invariants(const KeyValuePairs& pairs) {
  Invariants invariants;
  invariants.answer_slack = pairs.require_duration("invariants.answer_slack_us");
  invariants.drain_grace_period = pairs.require_duration("invariants.drain_grace_us");
  invariants.overload_multiple = pairs.require_positive("invariants.fall_multiple");
  invariants.overload_window = pairs.require_duration("invariants.fall_us");
  // The share of its full capacity that a server starts with cannot be more than 1.
  invariants.slow_start_initial_capacity = pairs.require_positive("invariants.cold_from");
  if (invariants.slow_start_initial_capacity > 1)
    throw SettingsError("setting must not be greater than 1: invariants.cold_from");
  invariants.slow_start_duration = pairs.require_duration("invariants.ramp_time_us");
  invariants.retry_pause = pairs.require_duration("family_info.clear_wait_us");
  return invariants;
}

}  // namespace

ParsedSettings parse_settings(std::string_view text, std::uint64_t seed) {
  const KeyValuePairs pairs(text);
  ParsedSettings parsed;
  auto& settings = parsed.settings;
  settings.seed = seed;
  settings.peer_count = pairs.require_count("siblings", kMaxItems);
  if (settings.peer_count == 0) throw SettingsError("setting must be greater than zero: siblings");
  settings.own_id = PeerId{pairs.require_count("self_index", kMaxItems)};
  if (static_cast<std::uint32_t>(settings.own_id) >= settings.peer_count)
    throw SettingsError("setting must be less than siblings: self_index");
  settings.endpoint_list_is_pushed = pairs.require_word("discovery", {"pushed", "on_request"}) == "pushed";
  settings.batch_interval = pairs.require_duration("round_us");
  settings.classes = read_classes(pairs);
  settings.tenants = read_tenants(pairs);
  settings.limits = read_limits(pairs);
  settings.invariants = read_invariants(pairs);
  settings.over_quota_weight_factor = pairs.find_number("over_share_worth").value_or(1.0);
  if (const auto pool_number = pairs.find_number("family_info.self_no"); pool_number && *pool_number >= 0) {
    settings.own_pool = PoolId{static_cast<std::uint32_t>(*pool_number)};
  }
  if (const auto retransmit_interval = pairs.find_number("family_info.resend_us");
      retransmit_interval && *retransmit_interval > 0) {
    settings.retransmit_interval = Duration{static_cast<std::int64_t>(*retransmit_interval)};
  }
  parsed.reports_retry_wait = pairs.find("family_info.retry_hint").value_or("false") == "true";
  parsed.report_columns = split(pairs.find("report.columns").value_or(""), ',');
  return parsed;
}

}  // namespace amberknot::settings
