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

/// The nested settings as the path=value lines of the simulator's first message, which one reader serves.
void flatten(const rapidjson::Value& value, const std::string& path, std::string& to) {
  if (value.IsObject()) {
    for (const auto& item : value.GetObject()) {
      flatten(item.value, path.empty() ? item.name.GetString() : path + "." + item.name.GetString(), to);
    }
    return;
  }
  const auto scalar = [](const rapidjson::Value& one) {
    return one.IsTrue() ? std::string("true") : one.IsFalse() ? "false" : std::string(settings::text_of(one));
  };
  if (!value.IsArray()) {
    to += path + "=" + scalar(value) + "\n";
    return;
  }
  const auto items = value.GetArray();
  const bool nested = !items.Empty() && (items[0].IsObject() || items[0].IsArray());
  if (!nested) {
    to += path + "=";
    for (rapidjson::SizeType i = 0; i < items.Size(); ++i) {
      if (i > 0) to += ',';
      to += scalar(items[i]);
    }
    to += "\n";
    return;
  }
  to += path + ".count=" + std::to_string(items.Size()) + "\n";
  for (rapidjson::SizeType i = 0; i < items.Size(); ++i) {
    flatten(items[i], path + "." + std::to_string(i), to);
  }
}

const rapidjson::Value& need(const rapidjson::Value& object, const char* name) {
  const auto* value = settings::member(object, name);
  if (value == nullptr) throw ConfigError(std::string("config: missing ") + name);
  return *value;
}

asio::ip::tcp::endpoint endpoint(std::string_view text, const char* field) {
  const auto read = net::read_endpoint(text);
  if (!read) throw ConfigError(std::string("config: no address in ") + field);
  return *read;
}

asio::ip::udp::endpoint datagram_endpoint(std::string_view text, const char* field) {
  const auto read = endpoint(text, field);
  return {read.address(), read.port()};
}

std::vector<std::string> names_in(const rapidjson::Value& settings, const char* list) {
  std::vector<std::string> names;
  if (const auto* items = settings::member(settings, list); items != nullptr && items->IsArray()) {
    for (const auto& item : items->GetArray()) {
      const auto key =
          std::string("config: settings: ") + list + "." + std::to_string(names.size()) + ".name";
      const auto name = settings::text_in(item, "name");
      // Callers name them; a name that two share would give one of them the other's settings.
      if (name.empty()) throw ConfigError(key + " is missing");
      if (std::find(names.begin(), names.end(), name) != names.end())
        throw ConfigError(key + " is there twice");
      names.emplace_back(name);
    }
  }
  return names;
}

}  // namespace

Config read_config(std::string json, std::string_view name, std::string_view listen,
                   std::string_view control) {
  rapidjson::Document document;
  if (!settings::parse_in_place(json, document) || !document.IsObject())
    throw ConfigError("config: not a JSON object");
  Config config;
  config.name = name.empty() ? settings::text_in(document, "name") : name;
  config.listen = endpoint(listen.empty() ? settings::text_in(document, "listen") : listen, "listen");
  if (!control.empty()) {
    config.control = endpoint(control, "control");
  } else if (const auto* admin_address = settings::member(document, "control")) {
    config.control = endpoint(settings::text_of(*admin_address), "control");
  }
  const auto seed = settings::text_of(need(document, "seed"));
  const auto [end, bad] = std::from_chars(seed.data(), seed.data() + seed.size(), config.seed, 16);
  if (seed.empty() || bad != std::errc{} || end != seed.data() + seed.size()) {
    throw ConfigError("config: seed is not 16 hex digits");
  }
  if (const auto* limits = settings::member(document, "limits")) {
    const auto sockets = settings::number_of(settings::text_in(*limits, "sockets"));
    if (!sockets || *sockets < 32 || *sockets > 1e7) throw ConfigError("config: limits.sockets out of range");
    config.sockets = static_cast<std::size_t>(*sockets);
    const auto memory = settings::number_of(settings::text_in(*limits, "memory_mb"));
    if (!memory || *memory < 16 || *memory > 1e6) throw ConfigError("config: limits.memory_mb out of range");
    config.memory_mb = static_cast<std::size_t>(*memory);
  }
  config.channel = endpoint(settings::text_of(need(document, "channel")), "channel");
  if (const auto* own = settings::member(document, "peer_listen")) {
    config.peer_listen = datagram_endpoint(settings::text_of(*own), "peer_listen");
  }
  if (const auto* all = settings::member(document, "peers_all")) {
    config.peers_all = datagram_endpoint(settings::text_of(*all), "peers_all");
  }
  if (const auto* peers = settings::member(document, "peers"); peers != nullptr && peers->IsArray()) {
    for (const auto& peer : peers->GetArray())
      config.peers.push_back(datagram_endpoint(settings::text_of(peer), "peers"));
  }
  const auto& known = need(document, "known");
  const auto cursor = settings::number_of(settings::text_in(known, "cursor"));
  if (!cursor || *cursor < 0) throw ConfigError("config: no number in known.cursor");
  config.cursor = static_cast<std::uint64_t>(*cursor);
  const auto& events = need(known, "cmds");
  if (!events.IsArray()) throw ConfigError("config: known.cmds is not a list");
  for (const auto& event : events.GetArray()) {
    auto update = discovery::parse_endpoint_update(event);
    if (!update) throw ConfigError("config: an event in known.cmds cannot be read");
    config.known.push_back(std::move(*update));
  }
  const auto& settings = need(document, "settings");
  std::string pairs;
  flatten(settings, "", pairs);
  try {
    config.settings = settings::parse_settings(pairs, config.seed).settings;
  } catch (const settings::SettingsError& error) {
    throw ConfigError(std::string("config: settings: ") + error.what());
  }
  config.settings_text = std::move(pairs);
  config.names = {names_in(settings, "classes"), names_in(settings, "tenants"), {}};
  if (const auto* family = settings::member(settings, "family_info")) {
    if (const auto* widths = settings::member(*family, "channels_needed");
        widths != nullptr && widths->IsArray()) {
      for (const auto& width : widths->GetArray()) {
        config.names.widths.push_back(settings::number_of(settings::text_of(width)).value_or(1.0));
      }
    }
  }
  const auto* limits = settings::member(settings, "limits");
  const auto connect = limits != nullptr
                           ? settings::number_of(settings::text_in(*limits, "connect_timeout_us"))
                           : std::nullopt;
  if (!connect || *connect <= 0) throw ConfigError("config: settings: no time in limits.connect_timeout_us");
  config.connect_limit = Duration{static_cast<std::int64_t>(*connect)};
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
