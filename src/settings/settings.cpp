#include "settings/settings.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <initializer_list>
#include <map>
#include <optional>

namespace amberknot::settings {
namespace {

constexpr std::uint32_t kMaxItems = 10'000;  // longest list of objects that is believed

std::vector<std::string> split(std::string_view text, char by) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    const auto end = text.find(by);
    parts.emplace_back(text.substr(0, end));
    if (end == std::string_view::npos) break;
    text.remove_prefix(end + 1);
  }
  return parts;
}

std::optional<double> number(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

/// The path=value pairs, with reads that name the key they fail on.
class Pairs {
 public:
  explicit Pairs(std::string_view text) {
    for (const auto& line : split(text, '\n')) {
      const auto equals = line.find('=');
      if (equals != std::string::npos) values_[line.substr(0, equals)] = line.substr(equals + 1);
    }
  }

  [[nodiscard]] std::optional<std::string> find(const std::string& key) const {
    const auto found = values_.find(key);
    if (found == values_.end()) return std::nullopt;
    return found->second;
  }
  [[nodiscard]] std::optional<double> find_number(const std::string& key) const {
    const auto value = find(key);
    if (!value || value->empty()) return std::nullopt;
    const auto read = number(*value);
    if (!read) throw SettingsError("setting cannot be read: " + key);
    return read;
  }
  [[nodiscard]] std::string need(const std::string& key) const {
    const auto value = find(key);
    if (!value) throw SettingsError("setting missing: " + key);
    return *value;
  }
  [[nodiscard]] double need_number(const std::string& key) const {
    const auto value = number(need(key));
    if (!value) throw SettingsError("setting cannot be read: " + key);
    return *value;
  }
  [[nodiscard]] double need_positive(const std::string& key) const {
    const double value = need_number(key);
    if (value < 0) throw SettingsError("setting below zero: " + key);
    return value;
  }
  [[nodiscard]] std::uint32_t need_count(const std::string& key, std::uint32_t most) const {
    const double value = need_positive(key);
    if (value > most || value != std::floor(value)) throw SettingsError("setting out of range: " + key);
    return static_cast<std::uint32_t>(value);
  }
  [[nodiscard]] Duration need_duration(const std::string& key) const {
    constexpr double kMax = 1e15;
    const double value = need_positive(key);
    if (value > kMax) throw SettingsError("setting out of range: " + key);
    return Duration{static_cast<std::int64_t>(value)};
  }
  [[nodiscard]] double need_above_zero(const std::string& key) const {
    const double value = need_number(key);
    if (value <= 0) throw SettingsError("setting not above zero: " + key);
    return value;
  }
  /// One of the words that the interface names; a misspelt one must not pass for another.
  [[nodiscard]] std::string need_word(const std::string& key,
                                      std::initializer_list<std::string_view> words) const {
    const auto value = need(key);
    if (std::find(words.begin(), words.end(), value) == words.end())
      throw SettingsError("setting is none of its words: " + key);
    return value;
  }
  [[nodiscard]] bool need_flag(const std::string& key) const {
    const auto value = need(key);
    if (value == "true") return true;
    if (value == "false") return false;
    throw SettingsError("setting is neither true nor false: " + key);
  }

 private:
  std::map<std::string, std::string> values_;
};

std::vector<CallClass> read_classes(const Pairs& pairs) {
  std::vector<std::string> holds;
  if (const auto text = pairs.find("family_info.class_hold_us")) holds = split(*text, ',');
  std::vector<CallClass> classes(pairs.need_count("classes.count", kMaxItems));
  if (classes.empty()) throw SettingsError("setting out of range: classes.count");
  for (std::size_t i = 0; i < classes.size(); ++i) {
    const auto prefix = "classes." + std::to_string(i) + ".";
    auto& one = classes[i];
    one.latency_objective = pairs.need_duration(prefix + "aim_us");
    one.deadline = pairs.need_duration(prefix + "deadline_us");
    // A call with no time to wait, or a router with no try, cannot be: such a file is defective (DAYS).
    if (one.deadline <= Duration::zero())
      throw SettingsError("setting not above zero: " + prefix + "deadline_us");
    one.priority_weight = pairs.need_positive(prefix + "value");
    one.late_weight_fraction = pairs.find_number(prefix + "late_worth").value_or(0.0);
    if (one.late_weight_fraction < 0) throw SettingsError("setting below zero: " + prefix + "late_worth");
    one.idempotent =
        pairs.need_word(prefix + "repeat", {"idempotent", "deduplicated", "at_most_once"}) == "idempotent";
    if (i < holds.size()) {
      if (const auto hold = number(holds[i]))
        one.mean_holding_time = Duration{static_cast<std::int64_t>(*hold)};
    }
    const auto pools_key = "family_info.skilled_pools." + std::to_string(i);
    for (const auto& pool : split(pairs.find(pools_key).value_or(""), ',')) {
      const auto pool_number = number(pool);
      if (!pool_number || *pool_number < 0) throw SettingsError("setting cannot be read: " + pools_key);
      one.pools.push_back(PoolId{static_cast<std::uint32_t>(*pool_number)});
    }
  }
  return classes;
}

std::vector<Tenant> read_tenants(const Pairs& pairs) {
  if (!pairs.find("tenants.count")) return {};
  std::vector<Tenant> tenants(pairs.need_count("tenants.count", kMaxItems));
  for (std::size_t i = 0; i < tenants.size(); ++i) {
    const auto key = "tenants." + std::to_string(i) + ".quota_per_s";
    tenants[i].quota_per_s = pairs.find_number(key);
    if (tenants[i].quota_per_s.value_or(0) < 0) throw SettingsError("setting below zero: " + key);
  }
  return tenants;
}

Limits read_limits(const Pairs& pairs) {
  constexpr std::uint32_t kMax = 1'000'000;
  Limits limits;
  limits.cancel = pairs.need_flag("limits.cancel");
  limits.probes = pairs.need_flag("limits.probes");
  limits.peers = pairs.need_flag("limits.peers");
  limits.retry_advice = pairs.need_flag("limits.retry_after");
  limits.max_tries = pairs.need_count("limits.most_tries", kMax);
  if (limits.max_tries == 0) throw SettingsError("setting not above zero: limits.most_tries");
  if (limits.retry_advice) limits.max_retry_advice = pairs.need_duration("limits.max_retry_after_us");
  return limits;
}

Invariants read_invariants(const Pairs& pairs) {
  Invariants invariants;
  invariants.answer_slack = pairs.need_duration("invariants.answer_slack_us");
  invariants.drain_grace_period = pairs.need_duration("invariants.drain_grace_us");
  invariants.overload_multiple = pairs.need_above_zero("invariants.fall_multiple");
  invariants.overload_window = pairs.need_duration("invariants.fall_us");
  // A share: more than the whole cannot be what a cold server starts at.
  invariants.slow_start_initial_capacity = pairs.need_above_zero("invariants.cold_from");
  if (invariants.slow_start_initial_capacity > 1)
    throw SettingsError("setting out of range: invariants.cold_from");
  invariants.slow_start_duration = pairs.need_duration("invariants.ramp_time_us");
  invariants.retry_pause = pairs.need_duration("family_info.clear_wait_us");
  return invariants;
}

}  // namespace

ParsedSettings parse_settings(std::string_view text, std::uint64_t seed) {
  const Pairs pairs(text);
  ParsedSettings parsed;
  auto& settings = parsed.settings;
  settings.seed = seed;
  settings.peer_count = pairs.need_count("siblings", kMaxItems);
  if (settings.peer_count == 0) throw SettingsError("setting not above zero: siblings");
  settings.self = PeerId{pairs.need_count("self_index", kMaxItems)};
  if (static_cast<std::uint32_t>(settings.self) >= settings.peer_count)
    throw SettingsError("setting out of range: self_index");
  settings.endpoint_list_is_pushed = pairs.need_word("discovery", {"pushed", "on_request"}) == "pushed";
  settings.batch_interval = pairs.need_duration("round_us");
  settings.classes = read_classes(pairs);
  settings.tenants = read_tenants(pairs);
  settings.limits = read_limits(pairs);
  settings.invariants = read_invariants(pairs);
  settings.over_quota_weight = pairs.find_number("over_share_worth").value_or(1.0);
  if (const auto pool_number = pairs.find_number("family_info.self_no"); pool_number && *pool_number >= 0) {
    settings.own_pool = PoolId{static_cast<std::uint32_t>(*pool_number)};
  }
  if (const auto retransmit_interval = pairs.find_number("family_info.resend_us");
      retransmit_interval && *retransmit_interval > 0) {
    settings.retransmit_interval = Duration{static_cast<std::int64_t>(*retransmit_interval)};
  }
  parsed.names_wait = pairs.find("family_info.retry_hint").value_or("false") == "true";
  parsed.columns = split(pairs.find("report.columns").value_or(""), ',');
  return parsed;
}

}  // namespace amberknot::settings
