// The tenants' directory against a stand-in LDAP server that knows bind, search and nothing else.
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

/// Serves on a thread of its own, as the directory is read in blocking style.
class LdapStandIn {
 public:
  LdapStandIn() : acceptor_(io_, {asio::ip::make_address("127.0.0.1"), 0}), thread_([this] { serve(); }) {}
  ~LdapStandIn() {
    stop_ = true;
    asio::error_code ignored;
    asio::ip::tcp::socket knock(io_);
    knock.connect(acceptor_.local_endpoint(), ignored);
    thread_.join();
  }
  [[nodiscard]] LdapSource source() const {
    LdapSource source;
    source.url = "ldap://127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    source.base = "dc=example";
    source.key_attribute = "associatedDomain";
    source.tenant_attribute = "o";
    source.timeout = milliseconds{1000};
    return source;
  }
  std::atomic<int> result{0};        ///< of the search
  std::atomic<bool> renamed{false};  ///< what it holds has changed

 private:
  void serve() {
    while (true) {
      asio::error_code error;
      asio::ip::tcp::socket socket(io_);
      acceptor_.accept(socket, error);
      if (stop_ || error) return;
      std::array<char, 4096> in{};
      for (std::size_t got = socket.read_some(asio::buffer(in), error); !error;
           got = socket.read_some(asio::buffer(in), error)) {
        const auto reply = answer(in.data(), got);
        if (reply.empty()) break;
        asio::write(socket, asio::buffer(reply), error);
      }
    }
  }
  std::string answer(char* bytes, std::size_t size) {
    berval raw{size, bytes};
    BerElement* in = ber_init(&raw);
    ber_int_t id = 0;
    ber_tag_t operation = 0;
    ber_len_t length = 0;
    ber_scanf(in, "{i", &id);
    operation = ber_peek_tag(in, &length);
    ber_free(in, 1);
    constexpr ber_tag_t kBind = 0x60, kSearch = 0x63;
    if (operation == kBind) return done(id, 0x61, 0);
    if (operation != kSearch) return {};
    std::string reply = entry(id, "toko.example", renamed ? "beta" : "acme");
    return reply + done(id, 0x65, result);
  }
  static std::string taken(BerElement* out) {
    berval* flat = nullptr;
    ber_flatten(out, &flat);
    std::string bytes(flat->bv_val, flat->bv_len);
    ber_bvfree(flat);
    ber_free(out, 1);
    return bytes;
  }
  static std::string done(ber_int_t id, ber_tag_t tag, ber_int_t result) {
    BerElement* out = ber_alloc_t(LBER_USE_DER);
    ber_printf(out, "{it{ess}}", id, tag, result, "", "");
    return taken(out);
  }
  static std::string entry(ber_int_t id, const char* domain, const char* tenant) {
    BerElement* out = ber_alloc_t(LBER_USE_DER);
    ber_printf(out, "{it{s{{s[s]}{s[s]}}}}", id, ber_tag_t{0x64}, "o=x,dc=example", "associatedDomain",
               domain, "o", tenant);
    return taken(out);
  }

  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

}  // namespace

TEST_CASE("tenants are read from the directory, and a failed read is no copy at all") {
  LdapStandIn server;
  std::string error;
  const auto tenants = directory::read_tenants(server.source(), error);
  CAPTURE(error);
  REQUIRE(tenants);
  CHECK(*tenants == directory::TenantMap{{"toko.example", "acme"}});
  server.result = 4;  // size limit exceeded: only a part came
  CHECK_FALSE(directory::read_tenants(server.source(), error));
  CHECK(error.rfind("search", 0) == 0);
  auto nobody = server.source();
  nobody.url = "ldap://127.0.0.1:1";
  CHECK_FALSE(directory::read_tenants(nobody, error));
  CHECK(error.rfind("bind", 0) == 0);
}

TEST_CASE("the directory is read again off the call path, and the last good copy is kept when that fails") {
  LdapStandIn server;
  app::OperatorFile setup;
  setup.diameter.emplace();
  setup.diameter->origin_host = "n0";
  setup.diameter->origin_realm = "kartu.example";
  setup.diameter->listen = asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0);
  setup.ldap = server.source();
  setup.ldap->refresh = milliseconds{30};
  Bench bench(setup);
  CHECK(bench.router->tenant_of("toko.example") == "acme");
  CHECK(bench.router->tenant_of("pasar") == "pasar");  // not listed: its own name
  server.result = 52;                                  // unavailable
  const auto failed = bench.router->counters().directory_failures;
  bench.until([&] { return bench.router->counters().directory_failures > failed + 1; });
  CHECK(bench.router->tenant_of("toko.example") == "acme");
  server.renamed = true;
  server.result = 0;
  bench.until([&] { return bench.router->tenant_of("toko.example") == "beta"; });
}
