#include "app/operator_file.hpp"

#include <initializer_list>

#include "app/config.hpp"
#include "net/stream.hpp"
#include "settings/json_text.hpp"

namespace amberknot::app {
namespace {

using std::chrono::milliseconds;

[[noreturn]] void wrong(const std::string& field, const char* what) {
  throw ConfigError("operator file: " + field + ": " + what);
}

/// One object of the file, whose members are asked for by name; a name that nobody asks for is a slip.
class Section {
 public:
  Section(const rapidjson::Value& value, std::string path, std::initializer_list<std::string_view> fields)
      : value_(value), path_(std::move(path)) {
    if (!value.IsObject()) wrong(path_, "is not an object");
    for (const auto& item : value.GetObject()) {
      if (std::find(fields.begin(), fields.end(), settings::text_of(item.name)) == fields.end()) {
        wrong(path_ + "." + std::string(settings::text_of(item.name)), "is not known");
      }
    }
  }

  [[nodiscard]] const rapidjson::Value* find(const char* name) const {
    return settings::member(value_, name);
  }
  [[nodiscard]] std::string field(const char* name) const { return path_ + "." + name; }

  [[nodiscard]] std::string text(const char* name,
                                 std::optional<std::string> otherwise = std::nullopt) const {
    const auto* value = find(name);
    if (value == nullptr && otherwise) return *otherwise;
    if (value == nullptr) wrong(field(name), "is missing");
    const auto read = settings::text_of(*value);
    if (read.empty()) wrong(field(name), "is not a text");
    return std::string(read);
  }

  [[nodiscard]] milliseconds time(const char* name, milliseconds otherwise, milliseconds least) const {
    const auto* value = find(name);
    if (value == nullptr) return otherwise;
    const auto read = settings::number_of(settings::text_of(*value));
    constexpr double kMax = 86'400'000;
    if (!read || *read < static_cast<double>(least.count()) || *read > kMax)
      wrong(field(name), "is out of range");
    return milliseconds{static_cast<std::int64_t>(*read)};
  }

  [[nodiscard]] std::set<std::string> texts(const char* name) const {
    std::set<std::string> read;
    const auto* value = find(name);
    if (value == nullptr) return read;
    if (!value->IsArray()) wrong(field(name), "is not a list");
    for (const auto& item : value->GetArray()) {
      if (settings::text_of(item).empty()) wrong(field(name), "holds something that is not a text");
      read.emplace(settings::text_of(item));
    }
    return read;
  }

 private:
  const rapidjson::Value& value_;
  std::string path_;
};

DiameterSetup read_diameter(const rapidjson::Value& value) {
  const Section section(
      value, "diameter",
      {"origin_host", "origin_realm", "listen", "clients", "servers", "watchdog_ms", "tenants"});
  DiameterSetup setup;
  setup.origin_host = section.text("origin_host");
  setup.origin_realm = section.text("origin_realm");
  if (section.find("listen") != nullptr) {
    setup.listen = net::read_endpoint(section.text("listen"));
    if (!setup.listen) wrong(section.field("listen"), "is not an address with a port");
  }
  setup.clients = section.texts("clients");
  setup.servers = section.texts("servers");
  // RFC 3539: no less than six seconds.
  setup.watchdog = section.time("watchdog_ms", setup.watchdog, milliseconds{6000});
  if (const auto* tenants = section.find("tenants")) {
    if (!tenants->IsObject()) wrong(section.field("tenants"), "is not an object");
    for (const auto& item : tenants->GetObject()) {
      const auto name = std::string(settings::text_of(item.name));
      if (settings::text_of(item.value).empty())
        wrong(section.field("tenants") + "." + name, "is not a text");
      setup.tenants.emplace(name, settings::text_of(item.value));
    }
  }
  return setup;
}

directory::LdapSource read_ldap(const rapidjson::Value& value) {
  const Section section(value, "ldap",
                        {"url", "base", "filter", "bind_dn", "password_file", "key_attribute",
                         "tenant_attribute", "timeout_ms", "refresh_ms"});
  directory::LdapSource source;
  source.url = section.text("url");
  if (source.url.rfind("ldap://", 0) != 0 && source.url.rfind("ldaps://", 0) != 0) {
    wrong(section.field("url"), "is not an ldap:// or ldaps:// address");
  }
  source.base = section.text("base");
  source.filter = section.text("filter", source.filter);
  source.bind_dn = section.text("bind_dn", "");
  source.password_file = section.text("password_file", "");
  source.key_attribute = section.text("key_attribute");
  source.tenant_attribute = section.text("tenant_attribute");
  source.timeout = section.time("timeout_ms", source.timeout, milliseconds{100});
  source.refresh = section.time("refresh_ms", source.refresh, milliseconds{1000});
  return source;
}

SessionApiSetup read_session_api(const rapidjson::Value& value) {
  const Section section(value, "session_api", {"servers"});
  SessionApiSetup setup;
  const auto* servers = section.find("servers");
  if (servers == nullptr) wrong(section.field("servers"), "is missing");
  if (!servers->IsObject() || servers->ObjectEmpty()) wrong(section.field("servers"), "names no server");
  for (const auto& item : servers->GetObject()) {
    const auto name = std::string(settings::text_of(item.name));
    const auto speaks = settings::text_of(item.value);
    if (speaks != "learn" && speaks != "session-1" && speaks != "session-2") {
      wrong(section.field("servers") + "." + name, "is none of learn, session-1, session-2");
    }
    setup.servers.emplace(name, speaks);
  }
  return setup;
}

}  // namespace

OperatorFile read_operator_file(std::string json) {
  rapidjson::Document document;
  if (!settings::parse_in_place(json, document)) throw ConfigError("operator file: not JSON");
  const Section file(document, "file", {"diameter", "ldap", "session_api", "translate"});
  OperatorFile read;
  if (const auto* diameter = file.find("diameter")) read.diameter = read_diameter(*diameter);
  if (const auto* session_api = file.find("session_api")) read.session_api = read_session_api(*session_api);
  if (const auto* table = file.find("translate")) {
    const auto faults = translate::read_table(*table, read.translate);
    if (!faults.empty()) throw ConfigError("operator file: " + faults.front());
  }
  if (const auto* ldap = file.find("ldap")) read.ldap = read_ldap(*ldap);
  if (read.ldap && !(read.diameter && read.diameter->listen)) {
    throw ConfigError("operator file: ldap: serves Diameter clients only, and diameter.listen is missing");
  }
  return read;
}

}  // namespace amberknot::app
