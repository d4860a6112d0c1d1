// Old clients, new servers on real sockets: JSON lines in, the session API out, one test for each rule.
#include <doctest/doctest.h>

#include <algorithm>

#include "http2/body.hpp"
#include "lab/http2_server.hpp"
#include "net_bench.hpp"

using namespace amberknot;
using namespace amberknot::tests;
using lab::Http2Server;
using std::chrono::seconds;

namespace {

const std::string kA = "00000000000000aa";
const std::string kB = "00000000000000bb";

app::OperatorFile setup(const std::string& speaks = "learn") {
  app::OperatorFile file;
  file.session_api.emplace();
  file.session_api->servers["*"] = speaks;
  const auto faults = translate::read_table(
      R"({"rows":[{"to":"session-2","field":"region","by":"@tenant","table":{"acme":"jakarta"},"otherwise":"not-eligible"}]})",
      file.translate);
  REQUIRE(faults.empty());
  return file;
}

app::Config config_with_tenants() {
  auto config = bench_config();
  config.names.tenants = {"acme", "toko"};
  config.settings.tenants.resize(2);
  return config;
}

/// A session server: answers what every one does, and keeps the set-ups for the test.
struct SessionServer {
  struct SetUp {
    Http2Server::Peer* peer;
    std::int32_t stream;
    std::string body;
    std::string version;
    bool reset = false;
  };

  explicit SessionServer(net::Loop& loop, std::string versions = R"({"versions":[1,2],"process":"p1"})")
      : versions(std::move(versions)), http2(loop) {
    http2.on_request = [this](Http2Server::Peer& peer, std::int32_t id, Http2Server::Peer::Request& request) {
      if (request.path == "/versions") {
        ++asked;
        if (this->versions.empty()) {
          peer.respond(id, 404, {}, "");
        } else {
          peer.respond(id, 200, {{"content-type", "application/json"}}, this->versions);
        }
      } else if (request.path == "/events") {
        events = {&peer, id};
        ++followed;
        resumed_from = request.headers.contains("last-event-id") ? request.headers["last-event-id"] : "";
        peer.respond(id, 200, {{"content-type", "text/event-stream"}}, ":\n\n", false);
      } else if (request.method == "POST") {
        set_ups.push_back({&peer, id, request.body, request.headers["api-version"]});
        if (on_set_up) on_set_up(set_ups.back());
      } else if (request.method == "DELETE") {
        deleted.push_back(request.path);
        if (mute_deletes) return;
        peer.respond(id, deletes_fail-- > 0 ? 500 : 204, {}, "");
      } else {
        checked.push_back(request.path);
        peer.respond(id, 404, {}, "");
      }
    };
    http2.on_reset = [this](Http2Server::Peer& peer, std::int32_t id,
                            Http2Server::Peer::Request& /*request*/) {
      for (auto& one : set_ups) {
        if (one.peer == &peer && one.stream == id) one.reset = true;
      }
    };
  }
  static void answer(SetUp& set_up, const std::string& sid,
                     const std::string& description = "desc of the server") {
    const std::string region = set_up.version == "2" ? R"(,"region":"jakarta")" : "";
    set_up.peer->respond(set_up.stream, 201, {{"content-type", "application/json"}},
                         R"({"id":")" + sid + R"(","description":")" + description + "\"" + region + "}");
  }
  static void refuse(SetUp& set_up, int status, const std::string& type,
                     const std::string& retry_after = "") {
    Http2Server::Headers headers = {{"content-type", "application/problem+json"}};
    if (!retry_after.empty()) headers.emplace_back("retry-after", retry_after);
    set_up.peer->respond(set_up.stream, status, headers, R"({"type":"https://kartu.example/)" + type + "\"}");
  }
  void event(std::uint64_t number, const std::string& name, const std::string& data) {
    events.first->data(events.second,
                       "id: " + std::to_string(number) + "\nevent: " + name + "\ndata: " + data + "\n\n");
  }

  std::string versions;
  Http2Server http2;
  std::vector<SetUp> set_ups;
  std::function<void(SetUp&)> on_set_up;
  std::vector<std::string> deleted, checked;
  std::pair<Http2Server::Peer*, std::int32_t> events{};
  std::string resumed_from;
  int asked = 0, followed = 0, deletes_fail = 0;
  bool mute_deletes = false;
};

struct SessionBench : Bench {
  explicit SessionBench(const app::OperatorFile& file = setup()) : Bench(file, config_with_tenants()) {}
  void list_session(SessionServer& server, const std::string& name,
                    EndpointState state = EndpointState::kReady, std::int64_t started = 0) {
    discovery::EndpointUpdate news;
    news.has_servers = true;
    news.changes.push_back({name, server.http2.address(), 0, state, started});
    router->apply(news);
  }
  /// Listed, asked, and followed.
  void ready(SessionServer& server, const std::string& name) {
    const int before = server.followed;
    list_session(server, name);
    until([&] { return server.followed > before && speaks(name) != core::kNotKnown; });
  }
  ProtocolVersion speaks(const std::string& name) {
    return router->servers().find(std::string_view(name))->version;
  }
  SessionServer::SetUp& came(SessionServer& server, std::size_t count = 1) {
    until([&] { return server.set_ups.size() >= count; });
    return server.set_ups[count - 1];
  }
  void open_as(const std::string& sid, const std::string& tenant, int left = 2000) {
    say("{\"msg\":\"open\",\"sid\":\"" + sid + "\",\"attrs\":{\"class\":\"voice\",\"left\":\"" +
        std::to_string(left) + "\",\"tenant\":\"" + tenant +
        "\",\"key\":\"77aa\",\"extras\":\"dest:0;width:1;via:-1\"},\"text\":\"sdp\"}\n");
  }
  bool heard(const std::string& sid, const std::string& type) {
    return caller->has("\"msg\":\"" + type + "\",\"sid\":\"" + sid);
  }
  void stands(SessionServer& server, const std::string& sid) {
    const auto before = server.set_ups.size();
    open_as(sid, "acme");
    SessionServer::answer(came(server, before + 1), sid);
    until([&] { return heard(sid, "ready"); });
  }
};

}  // namespace

TEST_CASE("a JSON caller reaches a server of version 2, and both may release") {
  SessionBench bench;
  SessionServer server(bench.loop);
  bench.ready(server, "h1");
  bench.open_as(kA, "acme");
  auto& set_up = bench.came(server);
  CHECK(set_up.version == "2");
  http2::BodyReader reader;
  translate::Record record;
  std::string fault;
  REQUIRE_MESSAGE(reader.read_set_up(2, {set_up.body.data(), set_up.body.size()}, record, fault), fault);
  const auto& fields = translate::find_dialect("session-2")->of(translate::Kind::kSetUp);
  CHECK(record.text(translate::index_of(fields, "id")) == kA);
  CHECK(record.text(translate::index_of(fields, "retailer")) == "acme");
  CHECK(record.text(translate::index_of(fields, "region")) == "jakarta");
  CHECK(record.text(translate::index_of(fields, "number")) == "77aa");
  CHECK(record.text(translate::index_of(fields, "description")) == "sdp");
  const auto wait = record.number(translate::index_of(fields, "waitMs"));
  CHECK(wait > 1000);
  CHECK(wait <= 2000);
  SessionServer::answer(set_up, kA);
  bench.until([&] { return bench.heard(kA, "ready"); });
  CHECK(bench.caller->has("desc of the server"));
  // By the caller.
  bench.say("{\"msg\":\"close\",\"sid\":\"" + kA + "\",\"attrs\":{},\"code\":16}\n");
  bench.until([&] { return !server.deleted.empty(); });
  CHECK(server.deleted.front() == "/sessions/" + kA + "?cause=16");
  // By the server.
  bench.stands(server, kB);
  server.event(1, "released", R"({"id":")" + kB + R"(","cause":16})");
  bench.until([&] { return bench.heard(kB, "close"); });
  bench.settle();
  CHECK(server.deleted.size() == 1);
  CHECK(bench.router->table().established() == 0);
}

TEST_CASE("a server that knows no versions is spoken to in version 1, without what that does not take") {
  SessionBench bench;
  SessionServer server(bench.loop, "");
  bench.ready(server, "h1");
  bench.open_as(kA, "toko");  // no region is known for it, and none is asked
  auto& set_up = bench.came(server);
  CHECK(set_up.version == "1");
  CHECK(set_up.body.find("retailer") == std::string::npos);
  SessionServer::answer(set_up, kA);
  bench.until([&] { return bench.heard(kA, "ready"); });
}

TEST_CASE(
    "a call goes only to versions that can be told what it needs, and with none left it is failed at once") {
  SessionBench bench;
  SessionServer two(bench.loop);
  bench.ready(two, "h2");
  const Instant asked = Loop::now();
  bench.open_as(kA, "toko");
  bench.until([&] { return bench.heard(kA, "close"); });
  CHECK(Loop::now() - asked < milliseconds{500});
  CHECK(bench.caller->has("\"code\":100"));
  SessionServer one(bench.loop, R"({"versions":[1],"process":"q"})");
  bench.ready(one, "h1");
  bench.open_as(kB, "toko");
  SessionServer::answer(bench.came(one), kB);
  bench.until([&] { return bench.heard(kB, "ready"); });
  CHECK(two.set_ups.empty());
}

TEST_CASE("a refused field rules out its version, and the call stands at the other") {
  SessionBench bench;
  SessionServer two(bench.loop), also_two(bench.loop);
  two.on_set_up =
      also_two.on_set_up = [](SessionServer::SetUp& one) { SessionServer::refuse(one, 422, "value"); };
  bench.ready(two, "h2");
  bench.ready(also_two, "h3");
  SessionServer one(bench.loop, R"({"versions":[1],"process":"q"})");
  one.on_set_up = [](SessionServer::SetUp& set_up) {
    SessionServer::answer(set_up, set_up.body.substr(7, 16));
  };
  bench.ready(one, "h1");
  // Each call tries a version once at most, whichever comes first, and no server is shut for it.
  for (int i = 0; i < 30; ++i) {
    const std::string sid = std::to_string(1'000'000'000'000'000 + i);
    bench.open_as(sid, "acme");
    bench.until([&] { return bench.heard(sid, "ready"); });
  }
  CHECK(one.set_ups.size() == 30);
  CHECK(two.set_ups.size() + also_two.set_ups.size() <= 30);
  CHECK(two.set_ups.size() + also_two.set_ups.size() > 1);
}

TEST_CASE("each error ends as one clear refusal or failure") {
  struct Case {
    int status;
    std::string type, retry_after;
    std::string code, wait;
  };
  const std::vector<Case> cases = {
      {403, "tenant-suspended", "", "\"code\":21", ""},
      {404, "", "", "\"code\":1", ""},
      {409, "number-busy", "", "\"code\":17", ""},
      {429, "over-share", "1", "\"code\":42", "\"wait\":\"1000\""},
      {429, "over-share", "3600", "\"code\":42", "\"wait\":\"2000\""},  // capped by the settings
  };
  for (const auto& one : cases) {
    CAPTURE(one.type);
    SessionBench bench;
    SessionServer server(bench.loop);
    server.on_set_up = [&](SessionServer::SetUp& set_up) {
      SessionServer::refuse(set_up, one.status, one.type, one.retry_after);
    };
    bench.ready(server, "h1");
    bench.open_as(kA, "acme");
    bench.until([&] { return bench.heard(kA, "close"); });
    CHECK_MESSAGE((bench.caller->has(one.code + "}") || bench.caller->has(one.code + ",")), bench.caller->in);
    if (!one.wait.empty()) CHECK_MESSAGE(bench.caller->has(one.wait), bench.caller->in);
    CHECK(server.set_ups.size() == 1);
    bench.settle();
    CHECK(bench.caller->count(kA) == 1);
  }
}

TEST_CASE("what never ran goes elsewhere at once, and what may have run waits") {
  SessionBench bench;
  SessionServer server(bench.loop);
  bench.ready(server, "h1");
  bench.open_as(kA, "acme");
  auto& first = bench.came(server);
  const Instant reset = Loop::now();
  first.peer->reset(first.stream, NGHTTP2_REFUSED_STREAM);
  bench.came(server, 2);
  CHECK(Loop::now() - reset < milliseconds{400});
  auto& second = server.set_ups[1];
  const Instant again = Loop::now();
  second.peer->reset(second.stream, NGHTTP2_INTERNAL_ERROR);
  bench.came(server, 3);
  CHECK(Loop::now() - again >= milliseconds{500});
  SessionServer::answer(server.set_ups[2], kA);
  bench.until([&] { return bench.heard(kA, "ready"); });
}

TEST_CASE("a caller that gives up: the stream is reset, and what may stand all the same is deleted") {
  SessionBench bench;
  SessionServer server(bench.loop);
  bench.ready(server, "h1");
  bench.open_as(kA, "acme");
  auto& set_up = bench.came(server);
  bench.say("{\"msg\":\"close\",\"sid\":\"" + kA + "\",\"attrs\":{},\"code\":16}\n");
  SessionServer::answer(set_up, kA);  // crosses
  bench.until([&] { return !server.deleted.empty(); });
  CHECK(server.deleted.front().find(kA) != std::string::npos);
  bench.settle();
  CHECK_FALSE(bench.heard(kA, "ready"));
}

TEST_CASE("a release is told until it is confirmed") {
  SessionBench bench;
  SessionServer server(bench.loop);
  bench.ready(server, "h1");
  bench.stands(server, kA);
  server.deletes_fail = 2;
  bench.say("{\"msg\":\"close\",\"sid\":\"" + kA + "\",\"attrs\":{},\"code\":16}\n");
  bench.until([&] { return server.deleted.size() == 3; });
  bench.settle();
  CHECK(server.deleted.size() == 3);
}

TEST_CASE(
    "what was out at the old address of a server that moves is ended, and its releases told at the new one") {
  SessionBench bench;
  SessionServer old(bench.loop), moved(bench.loop);
  bench.ready(old, "h1");
  bench.stands(old, kA);
  old.mute_deletes = true;
  bench.say("{\"msg\":\"close\",\"sid\":\"" + kA + "\",\"attrs\":{},\"code\":16}\n");
  bench.until([&] { return old.deleted.size() == 1; });
  bench.open_as(kB, "acme");
  bench.came(old, 2);
  const Instant at = Loop::now();
  bench.ready(moved, "h1");
  bench.until([&] { return moved.deleted.size() == 1; });
  SessionServer::answer(bench.came(moved), kB);  // a reset: not before the release wait
  CHECK(Loop::now() - at >= milliseconds{500});
  bench.until([&] { return bench.heard(kB, "ready"); });
}

TEST_CASE("nothing new goes to a server that drains, by the list or by its own word") {
  SessionBench bench;
  SessionServer server(bench.loop);
  bench.ready(server, "h1");
  bench.stands(server, kA);
  SUBCASE("by the list") {
    bench.list_session(server, "h1", EndpointState::kDraining);
  }
  SUBCASE("by its own word") {
    server.event(1, "draining", "{}");
    server.event(2, "load", R"({"x0":3})");
    const auto before = bench.router->counters().load_reports;
    bench.until([&] { return bench.router->counters().load_reports > before; });
  }
  bench.open_as(kB, "acme", 300);
  bench.until([&] { return bench.heard(kB, "close"); });
  CHECK(server.set_ups.size() == 1);
  CHECK(bench.router->table().established() == 1);  // what stands goes on
  server.event(3, "released", R"({"id":")" + kA + R"(","cause":16})");
  bench.until([&] { return bench.heard(kA, "close"); });
}

TEST_CASE("the stream of events is resumed after a break, and nothing is told twice") {
  SessionBench bench;
  SessionServer server(bench.loop);
  bench.ready(server, "h1");
  bench.stands(server, kA);
  bench.stands(server, kB);
  server.event(7, "load", R"({"x0":3})");
  bench.until([&] { return bench.router->counters().load_reports > 0; });
  const int before = server.followed;
  server.events.first->reset(server.events.second, NGHTTP2_INTERNAL_ERROR);
  bench.until([&] { return server.followed > before; });
  CHECK(server.resumed_from == "7");
  server.event(7, "released", R"({"id":")" + kB + R"(","cause":16})");  // an old number: known
  server.event(8, "released", R"({"id":")" + kA + R"(","cause":16})");
  bench.until([&] { return bench.heard(kA, "close"); });
  CHECK_FALSE(bench.heard(kB, "close"));
  // What the server does not keep any more has to be asked: it answers 404 for all.
  server.event(9, "lost", R"({"before":9})");
  bench.until([&] { return bench.heard(kB, "close"); });
  CHECK(server.checked == std::vector<std::string>{"/sessions/" + kB});
}

TEST_CASE("an end that overtakes its answer ends the call once it stands") {
  SessionBench bench;
  SessionServer server(bench.loop);
  bench.ready(server, "h1");
  bench.open_as(kA, "acme");
  auto& set_up = bench.came(server);
  server.event(1, "released", R"({"id":")" + kA + R"(","cause":16})");
  server.event(2, "load", R"({"x0":3})");
  bench.until([&] { return bench.router->counters().load_reports > 0; });
  SessionServer::answer(set_up, kA);
  bench.until([&] { return bench.heard(kA, "close"); });
  CHECK(bench.heard(kA, "ready"));
  CHECK(bench.caller->count(kA) == 2);
}

TEST_CASE("a process replaced at the same address is asked anew, and what stood before is cut") {
  SessionBench bench;
  SessionServer server(bench.loop);
  bench.ready(server, "h1");
  bench.stands(server, kA);
  const auto two = bench.speaks("h1");
  server.http2.die();
  server.versions = R"({"versions":[1],"process":"p2"})";
  server.http2.rise();
  bench.until([&] { return bench.heard(kA, "close"); });
  bench.until([&] { return bench.speaks("h1") != two; });
  const auto before = server.set_ups.size();
  bench.open_as(kB, "acme");
  auto& set_up = bench.came(server, before + 1);
  CHECK(set_up.version == "1");
  SessionServer::answer(set_up, kB);
  bench.until([&] { return bench.heard(kB, "ready"); });
}

TEST_CASE("a server upgraded in place denies the old version, and is asked again") {
  SessionBench bench;
  SessionServer server(bench.loop, R"({"versions":[1],"process":"p1"})");
  bench.ready(server, "h1");
  server.versions = R"({"versions":[2],"process":"p1"})";
  server.on_set_up = [](SessionServer::SetUp& one) {
    if (one.version == "1") {
      SessionServer::refuse(one, 505, "version-not-taken");
    } else {
      SessionServer::answer(one, kA);
    }
  };
  bench.open_as(kA, "acme");
  bench.until([&] { return bench.heard(kA, "ready"); });
  CHECK(server.set_ups.size() == 2);
}

TEST_CASE("an answer that cannot be taken is released there and ends once") {
  for (const std::string& body :
       {std::string("nonsense"), std::string(R"({"id":"00000000000000cc","description":"d","region":"r"})"),
        std::string(R"({"id":"00000000000000aa","description":"d"})")}) {
    SessionBench bench;
    SessionServer server(bench.loop);
    bench.ready(server, "h1");
    bench.open_as(kA, "acme", 300);
    auto& set_up = bench.came(server);
    set_up.peer->respond(set_up.stream, 201, {}, body);
    bench.until([&] { return bench.heard(kA, "close"); });
    bench.until([&] { return !server.deleted.empty(); });
    CHECK_FALSE(bench.heard(kA, "ready"));
  }
}

TEST_CASE("without a row for the region a router with servers of version 2 does not start, and says why") {
  auto file = setup();
  file.translate = {};
  std::string why;
  try {
    SessionBench bench(file);
  } catch (const app::ConfigError& error) {
    why = error.what();
  }
  CHECK(why.find("region: is required and nothing says where it comes from") != std::string::npos);
  SessionBench fine(setup("session-1"));
}
