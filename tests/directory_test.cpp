// Tests of the tenant directory against a minimal LDAP server, which supports bind and search only.
#include <lber.h>

#include <array>
#include <atomic>
#include <future>

#include "directory/tenants.hpp"
#include "net_bench.hpp"

using namespace amberknot;
using namespace amberknot::tests;
using directory::LdapSource;

namespace {

/// An LDAP server with one entry. It runs on its own thread because the directory is read with blocking
/// calls.
class LdapTestServer {
 public:
  LdapTestServer() : acceptor_(io_, {asio::ip::make_address("127.0.0.1"), 0}), thread_([this] { serve(); }) {}
  ~LdapTestServer() {
    is_stopping_ = true;
    asio::error_code ignored;
    asio::ip::tcp::socket wake_up_connection(io_);
    wake_up_connection.connect(acceptor_.local_endpoint(), ignored);
    thread_.join();
  }
  [[nodiscard]] LdapSource source() const {
    LdapSource source;
    source.url = "ldap://127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    source.base_dn = "dc=example";
    source.key_attribute = "associatedDomain";
    source.tenant_attribute = "o";
    source.query_timeout = milliseconds{1000};
    return source;
  }
  std::atomic<int> search_result{0};           ///< LDAP result code of a search
  std::atomic<bool> is_tenant_renamed{false};  ///< true after the tenant of the entry has changed

 private:
  void serve() {
    while (true) {
      asio::error_code error;
      asio::ip::tcp::socket socket(io_);
      acceptor_.accept(socket, error);
      if (is_stopping_ || error) return;
      std::array<char, 4096> in{};
      for (std::size_t size = socket.read_some(asio::buffer(in), error); !error;
           size = socket.read_some(asio::buffer(in), error)) {
        const auto reply = answer(in.data(), size);
        if (reply.empty()) break;
        asio::write(socket, asio::buffer(reply), error);
      }
    }
  }
  std::string answer(char* bytes, std::size_t size) {
    berval request{size, bytes};
    BerElement* in = ber_init(&request);
    ber_int_t id = 0;
    ber_tag_t operation = 0;
    ber_len_t length = 0;
    ber_scanf(in, "{i", &id);
    operation = ber_peek_tag(in, &length);
    ber_free(in, 1);
    constexpr ber_tag_t kBind = 0x60, kSearch = 0x63;
    if (operation == kBind) return result_message(id, 0x61, 0);
    if (operation != kSearch) return {};
    std::string reply = entry_message(id, "toko.example", is_tenant_renamed ? "beta" : "acme");
    return reply + result_message(id, 0x65, search_result);
  }
  static std::string take_bytes(BerElement* out) {
    berval* encoded = nullptr;
    ber_flatten(out, &encoded);
    std::string bytes(encoded->bv_val, encoded->bv_len);
    ber_bvfree(encoded);
    ber_free(out, 1);
    return bytes;
  }
  static std::string result_message(ber_int_t id, ber_tag_t tag, ber_int_t result) {
    BerElement* out = ber_alloc_t(LBER_USE_DER);
    ber_printf(out, "{it{ess}}", id, tag, result, "", "");
    return take_bytes(out);
  }
  static std::string entry_message(ber_int_t id, const char* domain, const char* tenant) {
    BerElement* out = ber_alloc_t(LBER_USE_DER);
    ber_printf(out, "{it{s{{s[s]}{s[s]}}}}", id, ber_tag_t{0x64}, "o=x,dc=example", "associatedDomain",
               domain, "o", tenant);
    return take_bytes(out);
  }

  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_;
  std::atomic<bool> is_stopping_{false};
  std::thread thread_;
};

}  // namespace

TEST_CASE("tenants are read from the directory, and an incomplete read is rejected") {
  LdapTestServer server;
  std::string error;
  const auto tenants = directory::read_tenants(server.source(), error);
  CAPTURE(error);
  REQUIRE(tenants);
  CHECK(*tenants == directory::TenantMap{{"toko.example", "acme"}});
  server.search_result = 4;  // sizeLimitExceeded: the result is incomplete
  CHECK_FALSE(directory::read_tenants(server.source(), error));
  CHECK(error.rfind("search", 0) == 0);
  auto unreachable_source = server.source();
  unreachable_source.url = "ldap://127.0.0.1:1";
  CHECK_FALSE(directory::read_tenants(unreachable_source, error));
  CHECK(error.rfind("bind", 0) == 0);
}

TEST_CASE("the directory is refreshed in the background, and the last good copy is kept when that fails") {
  LdapTestServer server;
  app::OperatorFile file;
  file.diameter.emplace();
  file.diameter->origin_host = "n0";
  file.diameter->origin_realm = "kartu.example";
  file.diameter->listen = asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0);
  file.ldap = server.source();
  file.ldap->refresh_interval = milliseconds{30};
  RouterFixture fixture(file);
  CHECK(fixture.router->tenant_of("toko.example") == "acme");
  CHECK(fixture.router->tenant_of("pasar") == "pasar");  // a name that is not listed stands for itself
  server.search_result = 52;                             // LDAP result code: unavailable
  const auto previous_failures = fixture.router->counters().directory_failures;
  fixture.run_until([&] { return fixture.router->counters().directory_failures > previous_failures + 1; });
  CHECK(fixture.router->tenant_of("toko.example") == "acme");
  server.is_tenant_renamed = true;
  server.search_result = 0;
  fixture.run_until([&] { return fixture.router->tenant_of("toko.example") == "beta"; });
}
