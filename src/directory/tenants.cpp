#include "directory/tenants.hpp"

#include <ldap.h>

#include <fstream>
#include <memory>
#include <utility>

namespace amberknot::directory {
namespace {

constexpr std::size_t kMaxTenants = 100'000;  // keys in the map

struct Unbind {
  void operator()(LDAP* ldap) const { ldap_unbind_ext_s(ldap, nullptr, nullptr); }
};
using Session = std::unique_ptr<LDAP, Unbind>;

struct FreeMessage {
  void operator()(LDAPMessage* message) const { ldap_msgfree(message); }
};

timeval to_timeval(std::chrono::milliseconds time) {
  return {static_cast<time_t>(time.count() / 1000), static_cast<suseconds_t>(time.count() % 1000 * 1000)};
}

std::vector<std::string> attribute_values(LDAP* ldap, LDAPMessage* entry, const std::string& attribute) {
  std::vector<std::string> result;
  berval** found = ldap_get_values_len(ldap, entry, attribute.c_str());
  for (berval** at = found; at != nullptr && *at != nullptr; ++at) {
    result.emplace_back((*at)->bv_val, (*at)->bv_len);
  }
  ldap_value_free_len(found);
  return result;
}

std::string first_line(const std::string& path) {
  std::ifstream file(path);
  std::string line;
  std::getline(file, line);
  return line;
}

}  // namespace

std::optional<TenantMap> read_tenants(const LdapSource& source, std::string& error) {
  const auto fail = [&](const char* operation, int code) {
    error = std::string(operation) + ": " + ldap_err2string(code);
    return std::nullopt;
  };
  LDAP* handle = nullptr;
  if (const int code = ldap_initialize(&handle, source.url.c_str()); code != LDAP_SUCCESS)
    return fail("url", code);
  const Session ldap(handle);
  const int version = LDAP_VERSION3;
  auto timeout = to_timeval(source.query_timeout);
  ldap_set_option(ldap.get(), LDAP_OPT_PROTOCOL_VERSION, &version);
  ldap_set_option(ldap.get(), LDAP_OPT_NETWORK_TIMEOUT, &timeout);
  ldap_set_option(ldap.get(), LDAP_OPT_TIMEOUT, &timeout);
  ldap_set_option(ldap.get(), LDAP_OPT_REFERRALS, LDAP_OPT_OFF);

  std::string password = source.password_file.empty() ? std::string() : first_line(source.password_file);
  berval credentials{password.size(), password.data()};
  const int bind_code =
      ldap_sasl_bind_s(ldap.get(), source.bind_dn.empty() ? nullptr : source.bind_dn.c_str(),
                       LDAP_SASL_SIMPLE, &credentials, nullptr, nullptr, nullptr);
  if (bind_code != LDAP_SUCCESS) return fail("bind", bind_code);

  std::string key = source.key_attribute;
  std::string tenant = source.tenant_attribute;
  char* attributes[] = {key.data(), tenant.data(), nullptr};
  LDAPMessage* found = nullptr;
  const int search_code =
      ldap_search_ext_s(ldap.get(), source.base_dn.c_str(), LDAP_SCOPE_SUBTREE, source.filter.c_str(),
                        attributes, 0, nullptr, nullptr, &timeout, LDAP_NO_LIMIT, &found);
  const std::unique_ptr<LDAPMessage, FreeMessage> found_owner(found);
  // A partial result is rejected: clients that it misses would be taken for unknown.
  if (search_code != LDAP_SUCCESS) return fail("search", search_code);

  TenantMap tenants;
  for (auto* entry = ldap_first_entry(ldap.get(), found); entry != nullptr;
       entry = ldap_next_entry(ldap.get(), entry)) {
    const auto names = attribute_values(ldap.get(), entry, tenant);
    if (names.empty()) continue;
    for (auto& key_value : attribute_values(ldap.get(), entry, key)) {
      if (tenants.size() >= kMaxTenants) return fail("search", LDAP_SIZELIMIT_EXCEEDED);
      tenants[std::move(key_value)] = names.front();
    }
  }
  return tenants;
}

TenantRefresher::TenantRefresher(LdapSource source, OnRead on_read)
    : source_(std::move(source)), on_read_(std::move(on_read)), thread_([this] { run(); }) {}

TenantRefresher::~TenantRefresher() {
  {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
  }
  wake_.notify_all();
  thread_.join();
}

void TenantRefresher::run() {
  std::unique_lock lock(mutex_);
  while (!wake_.wait_for(lock, source_.refresh_interval, [this] { return is_stopping_; })) {
    lock.unlock();
    std::string error;
    auto tenants = read_tenants(source_, error);
    on_read_(std::move(tenants), error);
    lock.lock();
  }
}

}  // namespace amberknot::directory
