// Tenants by what a Diameter client is known under, from an LDAP directory: read at the start, refreshed off
// the call path, and kept as they were when the directory fails.
#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace amberknot::directory {

using TenantMap = std::map<std::string, std::string, std::less<>>;

struct LdapSource {
  std::string url;
  std::string base;
  std::string filter = "(objectClass=*)";
  std::string bind_dn;        ///< empty: anonymous
  std::string password_file;  ///< read at each refresh, so that a password can be changed
  std::string key_attribute;
  std::string tenant_attribute;
  std::chrono::milliseconds timeout{2000};
  std::chrono::milliseconds refresh{60'000};
};

/// One whole read of the directory. Empty, with the reason in `error`: it failed, in part or whole.
std::optional<TenantMap> read_tenants(const LdapSource& source, std::string& error);

/// Reads again and again on a thread of its own. The callback is called from that thread.
class Refresher {
 public:
  using OnRead = std::function<void(std::optional<TenantMap> tenants, const std::string& error)>;
  Refresher(LdapSource source, OnRead on_read);
  ~Refresher();
  Refresher(const Refresher&) = delete;
  Refresher& operator=(const Refresher&) = delete;

 private:
  void run();
  LdapSource source_;
  OnRead on_read_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool stop_ = false;
  std::thread thread_;
};

}  // namespace amberknot::directory
