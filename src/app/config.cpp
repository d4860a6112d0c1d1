#include "app/config.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

#include "net/stream.hpp"
#include "settings/json_text.hpp"
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

/// Throws ConfigError if the member is missing.
const rapidjson::Value& required_member(const rapidjson::Value& object, const char* name) {
  const auto* value = settings::find_member(object, name);
  if (value == nullptr) throw ConfigError(std::string("config: missing required field ") + name);
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
  if (const auto* items = settings::find_member(settings, list); items != nullptr && items->IsArray()) {
    for (const auto& item : items->GetArray()) {
      const auto key =
          std::string("config: settings: ") + list + "." + std::to_string(names.size()) + ".name";
      const auto name = settings::member_string(item, "name");
      // Callers refer to classes and tenants by name: with a duplicate, one entry would get the settings of
      // the other.
      if (name.empty()) throw ConfigError(key + " is missing");
      if (std::find(names.begin(), names.end(), name) != names.end())
        throw ConfigError(key + " is a duplicate");
      names.emplace_back(name);
    }
  }
  return names;
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
  if (const auto* limits = settings::find_member(document, "limits")) {
    const auto sockets = settings::parse_number(settings::member_string(*limits, "sockets"));
    if (!sockets || *sockets < 32 || *sockets > 1e7)
      throw ConfigError("config: limits.sockets is not a number from 32 to 10,000,000");
    config.max_sockets = static_cast<std::size_t>(*sockets);
    const auto memory = settings::parse_number(settings::member_string(*limits, "memory_mb"));
    if (!memory || *memory < 16 || *memory > 1e6)
      throw ConfigError("config: limits.memory_mb is not a number from 16 to 1,000,000");
    config.max_memory_mb = static_cast<std::size_t>(*memory);
  }
  config.command_channel =
      parse_tcp_endpoint(settings::string_value(required_member(document, "channel")), "channel");
  if (const auto* peer_listen = settings::find_member(document, "peer_listen")) {
    config.peer_listen = parse_udp_endpoint(settings::string_value(*peer_listen), "peer_listen");
  }
  if (const auto* broadcast_address = settings::find_member(document, "peers_all")) {
    config.all_peers_address = parse_udp_endpoint(settings::string_value(*broadcast_address), "peers_all");
  }
  if (const auto* peers = settings::find_member(document, "peers"); peers != nullptr && peers->IsArray()) {
    for (const auto& peer : peers->GetArray())
      config.peers.push_back(parse_udp_endpoint(settings::string_value(peer), "peers"));
  }
  const auto& known = required_member(document, "known");
  const auto cursor = settings::parse_number(settings::member_string(known, "cursor"));
  if (!cursor || *cursor < 0) throw ConfigError("config: known.cursor is not a non-negative number");
  config.last_event_id = static_cast<std::uint64_t>(*cursor);
  const auto& events = required_member(known, "cmds");
  if (!events.IsArray()) throw ConfigError("config: known.cmds is not an array");
  for (const auto& event : events.GetArray()) {
    auto update = discovery::parse_endpoint_update(event);
    if (!update) throw ConfigError("config: known.cmds holds an event that is not a valid endpoint update");
    config.known_updates.push_back(std::move(*update));
  }
  const auto& settings = required_member(document, "settings");
  std::string pairs;
  flatten(settings, "", pairs);
  try {
    config.settings = settings::parse_settings(pairs, config.seed).settings;
  } catch (const settings::SettingsError& error) {
    throw ConfigError(std::string("config: settings: ") + error.what());
  }
  config.settings_text = std::move(pairs);
  config.names = {read_names(settings, "classes"), read_names(settings, "tenants"), {}};
  if (const auto* family = settings::find_member(settings, "family_info")) {
    if (const auto* widths = settings::find_member(*family, "channels_needed");
        widths != nullptr && widths->IsArray()) {
      for (const auto& width : widths->GetArray()) {
        config.names.max_widths.push_back(
            settings::parse_number(settings::string_value(width)).value_or(1.0));
      }
    }
  }
  const auto* limits = settings::find_member(settings, "limits");
  const auto connect_timeout_us =
      limits != nullptr ? settings::parse_number(settings::member_string(*limits, "connect_timeout_us"))
                        : std::nullopt;
  if (!connect_timeout_us || *connect_timeout_us <= 0)
    throw ConfigError("config: settings: limits.connect_timeout_us is not a positive number");
  config.connect_timeout = Duration{static_cast<std::int64_t>(*connect_timeout_us)};
  return config;
}

std::string read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) throw ConfigError("cannot read " + (path.empty() ? std::string("RELAY_CONFIG") : path));
  return text.str();
}

}  // namespace amberknot::app
