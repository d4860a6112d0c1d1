#include "app/operator_file.hpp"

#include <initializer_list>

#include "app/config.hpp"
#include "net/stream.hpp"
#include "settings/json_text.hpp"

namespace amberknot::app {
namespace {

using std::chrono::milliseconds;

[[noreturn]] void throw_field_error(const std::string& field, const char* what) {
  throw ConfigError("operator file: " + field + ": " + what);
}

/// One object of the file. A member whose name is not in the list of fields is an error, so that a misspelled
/// name is noticed.
class Section {
 public:
  Section(const rapidjson::Value& value, std::string path, std::initializer_list<std::string_view> fields)
      : value_(value), path_(std::move(path)) {
    if (!value.IsObject()) throw_field_error(path_, "is not an object");
    for (const auto& item : value.GetObject()) {
      if (std::find(fields.begin(), fields.end(), settings::string_value(item.name)) == fields.end()) {
        throw_field_error(path_ + "." + std::string(settings::string_value(item.name)),
                          "is not a known field");
      }
    }
  }

  /// The member's value, or null if the member is absent.
  [[nodiscard]] const rapidjson::Value* find(const char* name) const {
    return settings::find_member(value_, name);
  }
  /// The member's full name, for error messages.
  [[nodiscard]] std::string field(const char* name) const { return path_ + "." + name; }

  /// A non-empty string. Required if there is no default value.
  [[nodiscard]] std::string string_value(const char* name,
                                         std::optional<std::string> default_value = std::nullopt) const {
    const auto* value = find(name);
    if (value == nullptr && default_value) return *default_value;
    if (value == nullptr) throw_field_error(field(name), "is missing");
    const auto text = settings::string_value(*value);
    if (text.empty()) throw_field_error(field(name), "is not a non-empty string");
    return std::string(text);
  }

  /// A time in milliseconds, from `min` to one day.
  [[nodiscard]] milliseconds duration(const char* name, milliseconds default_value, milliseconds min) const {
    const auto* value = find(name);
    if (value == nullptr) return default_value;
    const auto ms = settings::parse_number(settings::string_value(*value));
    constexpr double kMaxMs = 86'400'000;
    if (!ms || *ms < static_cast<double>(min.count()) || *ms > kMaxMs)
      throw_field_error(field(name), "is not a time in ms between the minimum of this field and 86400000");
    return milliseconds{static_cast<std::int64_t>(*ms)};
  }

  /// An array of non-empty strings; empty if the member is absent.
  [[nodiscard]] std::set<std::string> string_set(const char* name) const {
    std::set<std::string> strings;
    const auto* value = find(name);
    if (value == nullptr) return strings;
    if (!value->IsArray()) throw_field_error(field(name), "is not an array");
    for (const auto& item : value->GetArray()) {
      if (settings::string_value(item).empty())
        throw_field_error(field(name), "holds an element that is not a non-empty string");
      strings.emplace(settings::string_value(item));
    }
    return strings;
  }

 private:
  const rapidjson::Value& value_;
  std::string path_;
};

DiameterConfig read_diameter(const rapidjson::Value& value) {
  const Section section(
      value, "diameter",
      {"origin_host", "origin_realm", "listen", "clients", "servers", "watchdog_ms", "tenants"});
  DiameterConfig config;
  config.origin_host = section.string_value("origin_host");
  config.origin_realm = section.string_value("origin_realm");
  if (section.find("listen") != nullptr) {
    config.listen = net::parse_endpoint(section.string_value("listen"));
    if (!config.listen) throw_field_error(section.field("listen"), "is not an IP address with a port");
  }
  config.clients = section.string_set("clients");
  // Without the field any client is admitted; an empty list must not be taken for that.
  if (section.find("clients") != nullptr && config.clients.empty())
    throw_field_error(section.field("clients"), "names no client");
  config.servers = section.string_set("servers");
  // RFC 3539, section 3.4.1: the watchdog interval must not be below 6 s.
  config.watchdog_interval = section.duration("watchdog_ms", config.watchdog_interval, milliseconds{6000});
  if (const auto* tenants = section.find("tenants")) {
    if (!tenants->IsObject()) throw_field_error(section.field("tenants"), "is not an object");
    for (const auto& item : tenants->GetObject()) {
      const auto name = std::string(settings::string_value(item.name));
      if (settings::string_value(item.value).empty())
        throw_field_error(section.field("tenants") + "." + name, "is not a non-empty string");
      config.tenants.emplace(name, settings::string_value(item.value));
    }
  }
  return config;
}

directory::LdapSource read_ldap(const rapidjson::Value& value) {
  const Section section(value, "ldap",
                        {"url", "base", "filter", "bind_dn", "password_file", "key_attribute",
                         "tenant_attribute", "timeout_ms", "refresh_ms"});
  directory::LdapSource source;
  source.url = section.string_value("url");
  if (source.url.rfind("ldap://", 0) != 0 && source.url.rfind("ldaps://", 0) != 0) {
    throw_field_error(section.field("url"), "is not an ldap:// or ldaps:// address");
  }
  source.base_dn = section.string_value("base");
  source.filter = section.string_value("filter", source.filter);
  source.bind_dn = section.string_value("bind_dn", "");
  source.password_file = section.string_value("password_file", "");
  // A bind with a name and no password is an unauthenticated bind (RFC 4513, section 5.1.2).
  if (source.bind_dn.empty() != source.password_file.empty())
    throw_field_error(section.field(source.bind_dn.empty() ? "bind_dn" : "password_file"), "is missing");
  source.key_attribute = section.string_value("key_attribute");
  source.tenant_attribute = section.string_value("tenant_attribute");
  source.query_timeout = section.duration("timeout_ms", source.query_timeout, milliseconds{100});
  source.refresh_interval = section.duration("refresh_ms", source.refresh_interval, milliseconds{1000});
  return source;
}

SessionApiConfig read_session_api(const rapidjson::Value& value) {
  const Section section(value, "session_api", {"servers"});
  SessionApiConfig config;
  const auto* servers = section.find("servers");
  if (servers == nullptr) throw_field_error(section.field("servers"), "is missing");
  if (!servers->IsObject() || servers->ObjectEmpty())
    throw_field_error(section.field("servers"), "names no server");
  for (const auto& item : servers->GetObject()) {
    const auto name = std::string(settings::string_value(item.name));
    const auto version = settings::string_value(item.value);
    if (version != "learn" && version != "session-1" && version != "session-2") {
      throw_field_error(section.field("servers") + "." + name, "is none of learn, session-1, session-2");
    }
    config.servers.emplace(name, version);
  }
  return config;
}

}  // namespace

OperatorFile read_operator_file(std::string json) {
  rapidjson::Document document;
  if (!settings::parse_in_place(json, document)) throw ConfigError("operator file: not JSON");
  const Section file(document, "file", {"diameter", "ldap", "session_api", "translate"});
  OperatorFile operator_file;
  if (const auto* diameter = file.find("diameter")) operator_file.diameter = read_diameter(*diameter);
  if (const auto* session_api = file.find("session_api"))
    operator_file.session_api = read_session_api(*session_api);
  if (const auto* table = file.find("translate")) {
    const auto faults = translate::parse_operator_table(*table, operator_file.translate);
    if (!faults.empty()) throw ConfigError("operator file: " + faults.front());
  }
  if (const auto* ldap = file.find("ldap")) operator_file.ldap = read_ldap(*ldap);
  if (operator_file.ldap && !(operator_file.diameter && operator_file.diameter->listen)) {
    throw ConfigError("operator file: ldap: used for Diameter clients only, but diameter.listen is missing");
  }
  return operator_file;
}

}  // namespace amberknot::app
