#include "app/config.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

#include "net/stream.hpp"
#include "settings/json_text.hpp"
#include "settings/required_keys.hpp"
#include "settings/settings.hpp"

namespace amberknot::app {
namespace {

/// Appends nested settings to `out` as path=value lines. The simulator's first message has the same form,
/// so `settings::parse_settings` reads both.
void flatten(const rapidjson::Value& value, const std::string& path, std::string& out) {
  if (value.IsObject()) {
    for (const auto& item : value.GetObject()) {
      flatten(item.value, path.empty() ? item.name.GetString() : path + "." + item.name.GetString(), out);
    }
    return;
  }
  const auto scalar = [](const rapidjson::Value& item) {
    return item.IsTrue()    ? std::string("true")
           : item.IsFalse() ? "false"
                            : std::string(settings::string_value(item));
  };
  if (!value.IsArray()) {
    out += path + "=" + scalar(value) + "\n";
    return;
  }
  const auto items = value.GetArray();
  const bool is_nested = !items.Empty() && (items[0].IsObject() || items[0].IsArray());
  if (!is_nested) {
    out += path + "=";
    for (rapidjson::SizeType i = 0; i < items.Size(); ++i) {
      if (i > 0) out += ',';
      out += scalar(items[i]);
    }
    out += "\n";
    return;
  }
  out += path + ".count=" + std::to_string(items.Size()) + "\n";
  for (rapidjson::SizeType i = 0; i < items.Size(); ++i) {
    flatten(items[i], path + "." + std::to_string(i), out);
  }
}

[[noreturn]] void throw_missing(const std::string& field) {
  throw ConfigError("config: missing required field " + field);
}

/// Throws ConfigError if the member is missing.
const rapidjson::Value& required_member(const rapidjson::Value& object, const char* name) {
  const auto* value = settings::find_member(object, name);
  if (value == nullptr) throw_missing(name);
  return *value;
}

asio::ip::tcp::endpoint parse_tcp_endpoint(std::string_view text, const char* field) {
  const auto parsed = net::parse_endpoint(text);
  if (!parsed) throw ConfigError(std::string("config: expected an IP address and a port in ") + field);
  return *parsed;
}

asio::ip::udp::endpoint parse_udp_endpoint(std::string_view text, const char* field) {
  const auto tcp = parse_tcp_endpoint(text, field);
  return {tcp.address(), tcp.port()};
}

/// The `name` of each entry of a list in the settings. Throws ConfigError if one is missing or occurs twice.
std::vector<std::string> read_names(const rapidjson::Value& settings, const char* list) {
  std::vector<std::string> names;
  const auto* items = settings::find_member(settings, list);
  if (items == nullptr) return names;
  if (!items->IsArray()) throw ConfigError(std::string("config: settings: ") + list + " is not an array");
  for (const auto& item : items->GetArray()) {
    const auto key = std::string("config: settings: ") + list + "." + std::to_string(names.size()) + ".name";
    const auto name = settings::member_string(item, "name");
    // Callers refer to classes and tenants by name: with a duplicate, one entry would get the settings of
    // the other.
    if (name.empty()) throw ConfigError(key + " is missing");
    if (std::find(names.begin(), names.end(), name) != names.end())
      throw ConfigError(key + " is a duplicate");
    names.emplace_back(name);
  }
  return names;
}

/// The maximum number of lines of a call, by class.
std::vector<double> read_max_widths(const settings::KeyValuePairs& pairs) {
  const std::string key = "family_info.channels_needed";
  std::vector<double> widths;
  for (const auto& text : settings::split(pairs.find(key).value_or(""), ',')) {
    const auto width = settings::parse_number(text);
    if (!width || *width < 0)
      throw ConfigError("config: settings: " + key + " is not a list of non-negative numbers");
    widths.push_back(*width);
  }
  return widths;
}

/// A number of `limits`. Throws ConfigError, with the text `range`, if it is missing or out of that range.
double read_limit(const rapidjson::Value& limits, const char* name, double min, double max,
                  const char* range) {
  const auto value = settings::parse_number(settings::member_string(limits, name));
  if (!value || *value < min || *value > max)
    throw ConfigError(std::string("config: limits.") + name + " is not a number " + range);
  return *value;
}

void read_limits(const rapidjson::Value& document, Config& config) {
  const auto& limits = required_member(document, "limits");
  constexpr double kMaxCores = 1e4;
  read_limit(limits, "cores", 0, kMaxCores, "from 0 to 10,000");  // kept by the platform, not by the router
  config.max_sockets =
      static_cast<std::size_t>(read_limit(limits, "sockets", 32, 1e7, "from 32 to 10,000,000"));
  config.max_memory_mb =
      static_cast<std::size_t>(read_limit(limits, "memory_mb", 16, 1e6, "from 16 to 1,000,000"));
}

constexpr const char* kPeerFields[] = {"peer_listen", "peers", "peers_all"};
constexpr const char* kOptionalFields[] = {"control", "peer_listen", "peers", "peers_all"};

/// The addresses of the peers; all of the fields or none of them are given.
void read_peers(const rapidjson::Value& document, Config& config) {
  const auto is_given = [&](const char* field) { return settings::find_member(document, field) != nullptr; };
  if (std::none_of(std::begin(kPeerFields), std::end(kPeerFields), is_given)) return;
  config.peer_listen =
      parse_udp_endpoint(settings::string_value(required_member(document, "peer_listen")), "peer_listen");
  config.all_peers_address =
      parse_udp_endpoint(settings::string_value(required_member(document, "peers_all")), "peers_all");
  const auto& peers = required_member(document, "peers");
  if (!peers.IsArray()) throw ConfigError("config: peers is not an array");
  for (const auto& peer : peers.GetArray())
    config.peers.push_back(parse_udp_endpoint(settings::string_value(peer), "peers"));
}

void read_known_updates(const rapidjson::Value& document, Config& config) {
  const auto& known = required_member(document, "known");
  const auto cursor = settings::parse_number(settings::member_string(known, "cursor"));
  if (!cursor || *cursor < 0) throw ConfigError("config: known.cursor is not a non-negative number");
  config.last_event_id = static_cast<std::uint64_t>(*cursor);
  const auto* events = settings::find_member(known, "cmds");
  if (events == nullptr) throw_missing("known.cmds");
  if (!events->IsArray()) throw ConfigError("config: known.cmds is not an array");
  for (const auto& event : events->GetArray()) {
    auto update = discovery::parse_endpoint_update(event);
    if (!update)
      throw ConfigError(
          "config: known.cmds: an event has no valid cursor, or no array of endpoints in nodes");
    if (!update->invalid_fields.empty())
      throw ConfigError("config: known.cmds: missing or invalid " + update->invalid_fields.front());
    config.known_updates.push_back(std::move(*update));
  }
}

void read_settings(const rapidjson::Value& document, Config& config) {
  const auto& settings = required_member(document, "settings");
  flatten(settings, "", config.settings_text);
  const settings::KeyValuePairs pairs(config.settings_text);
  try {
    config.settings = settings::parse_settings(config.settings_text, config.seed).settings;
    config.names = {read_names(settings, "classes"), read_names(settings, "tenants"), read_max_widths(pairs)};
    config.connect_timeout = pairs.require_duration("limits.connect_timeout_us");
    if (config.connect_timeout <= Duration::zero())
      throw ConfigError("config: settings: limits.connect_timeout_us is not a positive number");
    settings::check_required_keys(pairs);
  } catch (const settings::SettingsError& error) {
    throw ConfigError(std::string("config: settings: ") + error.what());
  }
}

}  // namespace

Config read_config(std::string json, std::string_view name, std::string_view listen,
                   std::string_view admin_listen) {
  rapidjson::Document document;
  if (!settings::parse_in_place(json, document) || !document.IsObject())
    throw ConfigError("config: not a JSON object");
  Config config;
  config.name = name.empty() ? settings::member_string(document, "name") : name;
  config.listen =
      parse_tcp_endpoint(listen.empty() ? settings::member_string(document, "listen") : listen, "listen");
  if (!admin_listen.empty()) {
    config.admin_listen = parse_tcp_endpoint(admin_listen, "control");
  } else if (const auto* admin_address = settings::find_member(document, "control")) {
    config.admin_listen = parse_tcp_endpoint(settings::string_value(*admin_address), "control");
  }
  const auto seed = settings::string_value(required_member(document, "seed"));
  const auto [end, parse_error] = std::from_chars(seed.data(), seed.data() + seed.size(), config.seed, 16);
  if (seed.empty() || parse_error != std::errc{} || end != seed.data() + seed.size()) {
    throw ConfigError("config: seed is not a 64-bit hexadecimal number");
  }
  config.command_channel =
      parse_tcp_endpoint(settings::string_value(required_member(document, "channel")), "channel");
  read_peers(document, config);
  read_known_updates(document, config);
  read_settings(document, config);
  read_limits(document, config);
  // The environment may override these fields, and the file has them all the same.
  for (const char* field : {"name", "listen"}) required_member(document, field);
  for (const char* field : kOptionalFields) {
    if (settings::find_member(document, field) != nullptr) config.optional_fields.insert(field);
  }
  return config;
}

void check_fields_retained(const Config& current, const Config& updated) {
  for (const auto& field : current.optional_fields) {
    if (!updated.optional_fields.contains(field)) throw_missing(field);
  }
  try {
    settings::check_keys_retained(settings::KeyValuePairs(current.settings_text),
                                  settings::KeyValuePairs(updated.settings_text));
  } catch (const settings::SettingsError& error) {
    throw ConfigError(std::string("config: settings: ") + error.what());
  }
}

std::string read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) throw ConfigError("cannot read " + (path.empty() ? std::string("RELAY_CONFIG") : path));
  return text.str();
}

}  // namespace amberknot::app
