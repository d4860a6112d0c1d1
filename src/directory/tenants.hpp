// Maps Diameter clients to tenants by means of an LDAP directory. The directory is read at the start and
// refreshed off the call path; the last copy is kept when a refresh fails.
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

/// Tenant names by the name of the client.
using TenantMap = std::map<std::string, std::string, std::less<>>;

/// The directory and the search in it.
struct LdapSource {
  std::string url;      ///< ldap:// or ldaps://
  std::string base_dn;  ///< distinguished name of the subtree to search
  std::string filter = "(objectClass=*)";
  std::string bind_dn;        ///< empty for an anonymous bind
  std::string password_file;  ///< its first line is read at each refresh, so that the password can be changed
  std::string key_attribute;  ///< holds the names of a client; each of its values is a key
  std::string tenant_attribute;                        ///< holds the tenant; the first value counts
  std::chrono::milliseconds query_timeout{2000};       ///< for each operation
  std::chrono::milliseconds refresh_interval{60'000};  ///< time between two reads
};

/// Reads the whole directory; blocks. Returns nullopt and sets `error` if the read failed or its result is
/// incomplete.
std::optional<TenantMap> read_tenants(const LdapSource& source, std::string& error);

/// Reads the directory at intervals on its own thread, on which the callback is called, too. The destructor
/// waits for a read that is in progress.
class TenantRefresher {
 public:
  using OnRead = std::function<void(std::optional<TenantMap> tenants, const std::string& error)>;
  TenantRefresher(LdapSource source, OnRead on_read);
  ~TenantRefresher();
  TenantRefresher(const TenantRefresher&) = delete;
  TenantRefresher& operator=(const TenantRefresher&) = delete;

 private:
  void run();
  LdapSource source_;
  OnRead on_read_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool is_stopping_ = false;
  std::thread thread_;
};

}  // namespace amberknot::directory
