#include "settings/settings.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <initializer_list>
#include <map>
#include <optional>

namespace amberknot::settings {
namespace {

constexpr std::uint32_t kMaxItems = 10'000;  // limit for the lists of classes, tenants and peers

std::vector<std::string> split(std::string_view text, char separator) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    const auto end = text.find(separator);
    parts.emplace_back(text.substr(0, end));
    if (end == std::string_view::npos) break;
    text.remove_prefix(end + 1);
  }
  return parts;
}

std::optional<double> parse_number(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

/// The key=value pairs. The require accessors throw SettingsError, which names the key, if a value is missing
/// or invalid. find_number() throws it only if the value is invalid, and find() never.
class KeyValuePairs {
 public:
  explicit KeyValuePairs(std::string_view text) {
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
    const auto number = parse_number(*value);
    if (!number) throw SettingsError("setting is not a number: " + key);
    return number;
  }
  [[nodiscard]] std::string require(const std::string& key) const {
    const auto value = find(key);
    if (!value) throw SettingsError("setting is missing: " + key);
    return *value;
  }
  [[nodiscard]] double require_number(const std::string& key) const {
    const auto value = parse_number(require(key));
    if (!value) throw SettingsError("setting is not a number: " + key);
    return *value;
  }
  [[nodiscard]] double require_non_negative(const std::string& key) const {
    const double value = require_number(key);
    if (value < 0) throw SettingsError("setting must not be negative: " + key);
    return value;
  }
  [[nodiscard]] std::uint32_t require_count(const std::string& key, std::uint32_t max_count) const {
    const double value = require_non_negative(key);
    if (value > max_count || value != std::floor(value))
      throw SettingsError("setting is not a whole number within its range: " + key);
    return static_cast<std::uint32_t>(value);
  }
  [[nodiscard]] Duration require_duration(const std::string& key) const {
    constexpr double kMaxMicros = 1e15;
    const double value = require_non_negative(key);
    if (value > kMaxMicros)
      throw SettingsError("setting is too large for a duration in microseconds: " + key);
    return Duration{static_cast<std::int64_t>(value)};
  }
  [[nodiscard]] double require_positive(const std::string& key) const {
    const double value = require_number(key);
    if (value <= 0) throw SettingsError("setting must be greater than zero: " + key);
    return value;
  }
  /// One of `words`. A misspelt word is an error, so that it is not taken for another.
  [[nodiscard]] std::string require_word(const std::string& key,
                                         std::initializer_list<std::string_view> words) const {
    const auto value = require(key);
    if (std::find(words.begin(), words.end(), value) == words.end())
      throw SettingsError("setting is not one of its permitted values: " + key);
    return value;
  }
  [[nodiscard]] bool require_flag(const std::string& key) const {
    const auto value = require(key);
    if (value == "true") return true;
    if (value == "false") return false;
    throw SettingsError("setting must be true or false: " + key);
  }

 private:
  std::map<std::string, std::string> values_;
};

std::vector<CallClass> read_classes(const KeyValuePairs& pairs) {
  std::vector<std::string> holding_times;
  if (const auto text = pairs.find("family_info.class_hold_us")) holding_times = split(*text, ',');
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
    if (i < holding_times.size()) {
      if (const auto holding_time = parse_number(holding_times[i]))
        call_class.mean_holding_time = Duration{static_cast<std::int64_t>(*holding_time)};
    }
    const auto pools_key = "family_info.skilled_pools." + std::to_string(i);
    for (const auto& pool : split(pairs.find(pools_key).value_or(""), ',')) {
      const auto pool_number = parse_number(pool);
      if (!pool_number || *pool_number < 0)
        throw SettingsError("setting is not a list of pool numbers: " + pools_key);
      call_class.pools.push_back(PoolId{static_cast<std::uint32_t>(*pool_number)});
    }
  }
  return classes;
}

std::vector<Tenant> read_tenants(const KeyValuePairs& pairs) {
  if (!pairs.find("tenants.count")) return {};
  std::vector<Tenant> tenants(pairs.require_count("tenants.count", kMaxItems));
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
