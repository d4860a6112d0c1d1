// Parsing of the settings text. Guards against a missing, unreadable or nonsensical setting that is accepted,
// or whose error does not name its key.
#include "settings/settings.hpp"

#include <gtest/gtest.h>

#include "settings/required_keys.hpp"
#include "settings_text.hpp"

namespace amberknot::settings {
namespace {

using namespace std::chrono_literals;
using testing::default_setting_values;
using testing::settings_text;

TEST(Settings, ReadsAllSettings) {
  const auto parsed = parse_settings(settings_text(), 9);
  const auto& settings = parsed.settings;
  EXPECT_EQ(settings.seed, 9U);
  EXPECT_EQ(settings.peer_count, 4U);
  ASSERT_EQ(settings.classes.size(), 1U);
  EXPECT_EQ(settings.classes[0].latency_objective, 1500ms);
  EXPECT_TRUE(settings.classes[0].idempotent);
  EXPECT_EQ(settings.classes[0].pools, (std::vector{PoolId{0}, PoolId{1}}));
  EXPECT_EQ(settings.classes[0].mean_holding_time, 9100ms);
  EXPECT_EQ(settings.retransmit_interval, 800ms);
  EXPECT_FALSE(settings.own_pool.has_value());
  EXPECT_EQ(settings.invariants.overload_multiple, 4.0);
  EXPECT_EQ(settings.invariants.retry_pause, 300ms);
  EXPECT_EQ(settings.limits.max_attempts, 4U);
  ASSERT_EQ(settings.tenants.size(), 1U);
  EXPECT_EQ(settings.tenants[0].quota_per_s, 12.5);
  EXPECT_EQ(parsed.report_columns.size(), 4U);
  EXPECT_TRUE(parsed.reports_retry_wait);
}

/// The error of check_required_keys for these keys; empty if there is none.
std::string error_of_required_keys(const std::map<std::string, std::string>& keys) {
  try {
    check_required_keys(KeyValuePairs(settings_text(keys)));
  } catch (const SettingsError& error) {
    return error.what();
  }
  return {};
}

TEST(Settings, KeysThatTheFormHasNoUseForMayBeAbsent) {
  auto keys = default_setting_values();
  for (const auto* key :
       {"tenants.count", "tenants.0.name", "tenants.0.portion", "tenants.0.quota_per_s", "over_share_worth",
        "report.columns", "limits.max_retry_after_us", "family_info.skilled_pools.0"}) {
    keys.erase(key);
  }
  keys["report.source"] = "off";
  keys["limits.retry_after"] = "false";
  keys["family_info.network_form"] = "network";
  keys["family_info.resend_us"] = "0";
  EXPECT_EQ(error_of_required_keys(keys), "");
  const auto parsed = parse_settings(settings_text(keys), 9);
  EXPECT_FALSE(parsed.settings.retransmit_interval.has_value());
  EXPECT_TRUE(parsed.settings.classes[0].pools.empty());
  EXPECT_TRUE(parsed.settings.tenants.empty());
  EXPECT_TRUE(parsed.report_columns.empty());
}

// Guards against a file without the pools of a class, whose calls then went to servers that they may not use.
TEST(Settings, ClassWithoutPoolsIsAnErrorAndNotAClassForAnyPool) {
  auto keys = default_setting_values();
  for (const char* value : {"", "0,1.5", "0,-1", "4294967296", "0;1"}) {
    keys["family_info.skilled_pools.0"] = value;
    EXPECT_THROW(parse_settings(settings_text(keys), 9), SettingsError) << value;
  }
  keys.erase("family_info.skilled_pools.0");
  EXPECT_THROW(parse_settings(settings_text(keys), 9), SettingsError);
}

// Guards against a file that lacks a key and is taken for one that asks for a default.
TEST(Settings, EachMissingKeyIsAnErrorThatNamesIt) {
  auto whole = default_setting_values();
  ASSERT_EQ(error_of_required_keys(whole), "");
  auto without_tenants = whole;
  without_tenants.erase("tenants.count");
  EXPECT_EQ(error_of_required_keys(without_tenants), "") << "a deployment may have none";
  without_tenants["goal.worst_tenant"] = "0.1";
  EXPECT_NE(error_of_required_keys(without_tenants).find("tenants"), std::string::npos);
  for (const auto& [key, value] : whole) {
    // A missing length is that of an empty list; check_keys_retained finds missing lists.
    if (key == "tenants.count" || key == "family_info.skilled_pools.count") continue;
    auto keys = whole;
    keys.erase(key);
    std::string error = error_of_required_keys(keys);
    try {
      if (error.empty()) parse_settings(settings_text(keys), 9);
    } catch (const SettingsError& parse_error) {
      error = parse_error.what();
    }
    EXPECT_NE(error.find(key), std::string::npos) << key << ": " << error;
  }
}

// Guards against a good file that is rejected: the settings of a deployment hold the keys of the simulated
// world as well, with tenants or without. A file that holds some of these keys only is defective.
TEST(Settings, KeysOfTheSimulatedWorldAreAcceptedTogetherAndNotInPart) {
  const std::vector<std::string> simulation_keys = {"charges.connection",
                                                    "charges.cross_zone",
                                                    "charges.discovery",
                                                    "charges.handshake",
                                                    "charges.late_fail",
                                                    "charges.moves",
                                                    "charges.origin",
                                                    "charges.peer",
                                                    "charges.probe",
                                                    "charges.waste",
                                                    "clients.marks_retry",
                                                    "family_info.far_reports",
                                                    "goal.whole",
                                                    "goal.worst_class",
                                                    "goal.worst_window",
                                                    "layer",
                                                    "limits.cpu_us_per_request",
                                                    "limits.cpu_us_per_s",
                                                    "limits.streams_per_conn",
                                                    "models",
                                                    "tiers",
                                                    "value_by",
                                                    "weights"};
  auto with_tenants = default_setting_values();
  for (const auto& key : simulation_keys) with_tenants[key] = "0";
  auto without_tenants = with_tenants;
  for (const auto* key : {"tenants.0.name", "tenants.0.portion", "tenants.0.quota_per_s", "over_share_worth"})
    without_tenants.erase(key);
  without_tenants["tenants.count"] = "0";
  without_tenants["goal.worst_tenant"] = "0.0";
  for (const auto& whole : {with_tenants, without_tenants}) {
    ASSERT_EQ(error_of_required_keys(whole), "");
    for (const auto& key : simulation_keys) {
      auto keys = whole;
      keys.erase(key);
      EXPECT_NE(error_of_required_keys(keys).find(key), std::string::npos) << key;
    }
  }
}

// Guards against a key that only the form of the deployment makes necessary, and that a reload lacks.
TEST(Settings, KeyOfTheSettingsInForceMayNotBeMissingInNewOnes) {
  auto keys = default_setting_values();
  keys["zone"] = "0";
  keys["invariants.ask_within_us"] = "10000000";
  keys["classes.0.window_us"] = "5000000";
  keys["classes.0.aim_stretch"] = "1";
  const KeyValuePairs current(settings_text(keys));
  for (const auto* key : {"zone", "invariants.ask_within_us", "classes.0.window_us", "tenants.count"}) {
    auto updated = keys;
    updated.erase(key);
    EXPECT_THROW(check_keys_retained(current, KeyValuePairs(settings_text(updated))), SettingsError) << key;
  }
  keys.erase("classes.0.aim_stretch");  // the one key that may be absent
  EXPECT_NO_THROW(check_keys_retained(current, KeyValuePairs(settings_text(keys))));
}

TEST(Settings, IgnoresUnknownKeysAndMalformedLines) {
  EXPECT_NO_THROW(parse_settings("novelty=1\nno equals sign\n\n=\n" + settings_text(), 9));
}

class RequiredKey : public ::testing::TestWithParam<const char*> {};

TEST_P(RequiredKey, ErrorNamesMissingOrUnreadableKey) {
  const std::string key = GetParam();
  for (const bool is_missing : {true, false}) {
    auto keys = default_setting_values();
    if (is_missing) {
      keys.erase(key);
    } else {
      keys[key] = "12x";
    }
    try {
      parse_settings(settings_text(keys), 9);
      FAIL() << key;
    } catch (const SettingsError& error) {
      EXPECT_NE(std::string(error.what()).find(key), std::string::npos) << error.what();
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Keys, RequiredKey,
                         ::testing::Values("siblings", "self_index", "round_us", "classes.count",
                                           "classes.0.aim_us", "classes.0.deadline_us", "classes.0.value",
                                           "limits.cancel", "limits.probes", "limits.peers",
                                           "limits.retry_after", "limits.most_tries",
                                           "limits.max_retry_after_us", "family_info.clear_wait_us",
                                           "invariants.answer_slack_us", "invariants.drain_grace_us",
                                           "invariants.fall_multiple", "invariants.fall_us",
                                           "invariants.cold_from", "invariants.ramp_time_us"));

// Checked for two deployments: with tenants, load reports and retry advice, and without them.
TEST(Settings, ErrorNamesKeyWithNonsensicalValue) {
  auto without_optional_settings = default_setting_values();
  for (const auto* key :
       {"report.columns", "tenants.count", "tenants.0.quota_per_s", "family_info.resend_us"}) {
    without_optional_settings.erase(key);
  }
  without_optional_settings["limits.retry_after"] = "false";
  const std::pair<const char*, const char*> invalid_values[] = {{"siblings", "0"},
                                                                {"siblings", "1.5"},
                                                                {"self_index", "4"},
                                                                {"discovery", "pushd"},
                                                                {"classes.count", "0"},
                                                                {"classes.0.deadline_us", "0"},
                                                                {"classes.0.aim_us", "-1"},
                                                                {"classes.0.value", "-2"},
                                                                {"classes.0.late_worth", "-0.1"},
                                                                {"classes.0.repeat", "idempotnt"},
                                                                {"family_info.clear_wait_us", "-200000"},
                                                                {"family_info.skilled_pools.0", "0,x"},
                                                                {"invariants.cold_from", "0"},
                                                                {"invariants.cold_from", "28"},
                                                                {"invariants.fall_multiple", "0"},
                                                                {"invariants.drain_grace_us", "1e300"},
                                                                {"limits.most_tries", "0"},
                                                                {"limits.cancel", "yes"}};
  for (const auto& base : {default_setting_values(), without_optional_settings}) {
    ASSERT_NO_THROW(parse_settings(settings_text(base), 9));
    for (const auto& [key, value] : invalid_values) {
      auto keys = base;
      keys[key] = value;
      try {
        parse_settings(settings_text(keys), 9);
        ADD_FAILURE() << key << "=" << value;
      } catch (const SettingsError& error) {
        EXPECT_NE(std::string(error.what()).find(key), std::string::npos) << error.what();
        EXPECT_EQ(std::string(error.what()).find('\n'), std::string::npos);
      }
    }
  }
  auto keys = default_setting_values();
  keys["tenants.0.quota_per_s"] = "-1";
  EXPECT_THROW(parse_settings(settings_text(keys), 9), SettingsError);
}

TEST(Settings, RejectsHugeAndNegativeCounts) {
  auto keys = default_setting_values();
  keys["classes.count"] = "4000000000";
  EXPECT_THROW(parse_settings(settings_text(keys), 9), SettingsError);
  keys["classes.count"] = "-1";
  EXPECT_THROW(parse_settings(settings_text(keys), 9), SettingsError);
}

}  // namespace
}  // namespace amberknot::settings
