// The session API's bodies, and the HTTP/2 connection against a scripted server: each hard case of RFC 9113
// that decides whether something ran.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <functional>
#include <map>

#include "http2/body.hpp"
#include "http2/connection.hpp"
#include "lab/http2_server.hpp"

using namespace amberknot;
using namespace amberknot::http2;
using lab::Http2Server;
using std::chrono::milliseconds;

namespace {

std::span<char> of(std::string& text) {
  return {text.data(), text.size()};
}

struct Recorder : Connection::Handler {
  struct Ended {
    std::optional<Response> response;
    std::optional<Failure> failure;
    int times = 0;
  };
  void on_up(Connection& /*c*/) override { ++ups; }
  void on_response(Connection& /*c*/, Connection::Key key, Response& response) override {
    ended[key].response = std::move(response);
    ++ended[key].times;
    if (then) then(key);
  }
  void on_failure(Connection& /*c*/, Connection::Key key, Failure failure) override {
    CHECK_FALSE(down);
    ended[key].failure = failure;
    ++ended[key].times;
    if (then) then(key);
  }
  bool on_chunk(Connection& /*c*/, Connection::Key key, int status, std::string_view chunk) override {
    chunks[key] += chunk;
    statuses[key] = status;
    return go_on;
  }
  void on_room(Connection& /*c*/) override { ++rooms; }
  void on_health(Connection& /*c*/, bool healthy) override { health.push_back(healthy); }
  void on_going_away(Connection& /*c*/) override { ++goings; }
  void on_down(Connection& /*c*/, net::CloseReason why) override { down = why; }

  std::map<Connection::Key, Ended> ended;
  std::map<Connection::Key, std::string> chunks;
  std::map<Connection::Key, int> statuses;
  std::function<void(Connection::Key)> then;
  std::vector<bool> health;
  std::optional<net::CloseReason> down;
  int ups = 0, rooms = 0, goings = 0;
  bool go_on = true;
};

struct Http2Bench {
  explicit Http2Bench(Http2Server::Options options = {}, Connection::Limits limits = {})
      : server(loop, options), connection(std::make_shared<Connection>(loop, recorder, limits)) {
    connection->connect(server.endpoint());
    until([&] { return connection->is_up(); });
  }
  ~Http2Bench() { connection->close(); }
  void until(const std::function<bool()>& holds) {
    const Instant limit = net::Loop::now() + std::chrono::seconds{5};
    bool held = holds();
    while (!held && net::Loop::now() < limit) {
      loop.io.run_one_for(milliseconds{10});
      held = holds();
    }
    REQUIRE(held);
  }
  bool post(Connection::Key key, const std::string& body = "{}") {
    return connection->request(key, {"POST", "/sessions", {{"content-type", "application/json"}}, body});
  }
  Http2Server::Peer& peer() { return *server.peers.front(); }
  /// The stream on which the request with this body came, once it is whole.
  std::int32_t came(const std::string& body) {
    std::int32_t id = 0;
    until([&] {
      for (const auto& [stream, request] : peer().requests) {
        if (request.whole && request.body == body) id = stream;
      }
      return id != 0;
    });
    return id;
  }
  void ends(Connection::Key key) {
    until([&] { return recorder.ended.contains(key); });
  }

  net::Loop loop;
  Http2Server server;
  Recorder recorder;
  std::shared_ptr<Connection> connection;
};

}  // namespace

// ---- bodies ---------------------------------------------------------------------------------------------

TEST_CASE("a set-up is written as the schema wants it, and read back the same") {
  BodyReader reader;
  const auto& fields = translate::find_dialect("session-2")->of(translate::Kind::kSetUp);
  translate::Record record, back;
  record.set(translate::index_of(fields, "id"), std::string_view("00112233445566aa"));
  record.set(translate::index_of(fields, "class"), std::string_view("card-activate"));
  record.set(translate::index_of(fields, "number"), std::string_view("77aa"));
  const std::string description = "v=0\r\n\"quoted\\\" \xc3\xa9";
  record.set(translate::index_of(fields, "description"), std::string_view(description));
  record.set(translate::index_of(fields, "waitMs"), std::int64_t{1500});
  record.set(translate::index_of(fields, "retailer"), std::string_view("toko"));
  record.set(translate::index_of(fields, "region"), std::string_view("jakarta"));
  record.set(translate::index_of(fields, "amountMinor"), std::int64_t{999'999'999'999});
  auto body = write_body(fields, record);
  std::string fault;
  REQUIRE_MESSAGE(reader.read_set_up(2, of(body), back, fault), fault);
  for (std::size_t i = 0; i < fields.size(); ++i) {
    REQUIRE(back.has(i) == record.has(i));
    if (!record.has(i)) continue;
    if (translate::is_textual(fields[i].type)) {
      CHECK(back.text(i) == record.text(i));
    } else {
      CHECK(back.number(i) == record.number(i));
    }
  }
  auto other = body;
  CHECK_FALSE(reader.read_set_up(1, of(other), back, fault));  // members that version 1 does not have
}

TEST_CASE("an answer is read, or refused with the path of the field") {
  struct Case {
    std::string body;
    std::uint32_t version;
    const char* fault;  ///< null: it is read
  };
  const std::vector<Case> cases = {
      {R"({"id":"00112233445566aa","description":"d"})", 1, nullptr},
      {R"({"id":"00112233445566aa","description":"d","later":[1,{}]})", 1,
       nullptr},  // members of a later day
      {R"({"id":"00112233445566aa","description":"d"})", 2, "region"},
      {R"({"id":"00112233445566aa","description":"d","region":"r"})", 2, nullptr},
      {R"({"id":"00112233445566AA","description":"d"})", 1, "id"},
      {R"({"id":"00112233445566aa","description":""})", 1, "description"},
      {R"({"id":"00112233445566aa","description":7})", 1, "description"},
      {R"({"id":"00112233445566aa"})", 1, "description"},
      {R"([])", 1, ""},
      {R"({"id":)", 1, "is not JSON"},
      {std::string("{}\0", 3), 1, "zero byte"},
      {"{\"id\":\"00112233445566aa\",\"description\":\"\xff\"}", 1, "is not JSON"},
      {"{\"id\":\"00112233445566aa\",\"description\":\"" + std::string(8193, 'x') + "\"}", 1, "description"},
      // 8192 characters, and more bytes than that.
      {"{\"id\":\"00112233445566aa\",\"description\":\"" + std::string(8190, 'x') + "\xc3\xa9\xc3\xa9\"}", 1,
       "description"},
      {std::string(5000, '['), 1, "is not JSON"},
      {"{\"id\xf0:", 1, "is not JSON"},
      {R"({"id":"00112233445566aa","description":"\ude0b"})", 1, "description"},  // half a pair
      {"", 1, "is not JSON"},
  };
  BodyReader reader;
  translate::Record record;
  for (auto one : cases) {
    CAPTURE(one.body.substr(0, 80));
    std::string fault;
    CHECK(reader.read_answer(one.version, of(one.body), record, fault) == (one.fault == nullptr));
    if (one.fault != nullptr) CHECK_MESSAGE(fault.find(one.fault) != std::string::npos, fault);
  }
}

TEST_CASE("problems, versions and events are read") {
  BodyReader reader;
  std::string fault;
  const std::vector<std::pair<std::string, std::string>> types = {
      {R"({"type":"https://kartu.example/problems/no-line","status":503})", "no-line"},
      {R"({"type":"no-line/"})", "no-line"},
      {R"({"type":"urn:problem:over-share"})", "over-share"},
      {R"({"type":"about:blank"})", "blank"},
      {R"({})", ""},
  };
  for (auto [body, type] : types) {
    const auto problem = reader.read_problem(of(body), fault);
    REQUIRE(problem);
    CHECK(problem->type == type);
  }
  std::string bad = R"({"type":5})";
  CHECK_FALSE(reader.read_problem(of(bad), fault));
  std::string versions = R"({"versions":[1,2,9],"process":"p1"})";
  const auto read = reader.read_versions(of(versions), fault);
  REQUIRE(read);
  CHECK(read->versions == std::vector<std::uint32_t>{1, 2, 9});
  CHECK(read->process == "p1");
  versions = R"({"versions":[]})";
  CHECK_FALSE(reader.read_versions(of(versions), fault));

  using Kind = SessionEvent::Kind;
  const auto event = [&](const char* name, std::string data) {
    return reader.read_event(name, of(data), fault);
  };
  const auto released = event("released", R"({"id":"00112233445566aa","cause":16})");
  REQUIRE(released);
  CHECK(released->kind == Kind::kReleased);
  CHECK(released->cause == 16);
  CHECK_FALSE(event("released", R"({"id":"00112233445566aa"})"));
  CHECK(event("cut", R"({"id":"00112233445566aa"})")->kind == Kind::kAborted);
  CHECK(event("lost", R"({"before":17})")->before == 17);
  CHECK_FALSE(event("lost", R"({"before":-1})"));
  const auto load = event("load", R"({"x0":12,"x1":40.5})");
  REQUIRE(load);
  CHECK(load->load.size() == 2);
  CHECK_FALSE(event("load", R"({"x0":"many"})"));
  CHECK(event("draining", "{}")->kind == Kind::kDraining);
  CHECK(event("of-a-later-day", "whatever")->kind == Kind::kUnknown);
}

// ---- connection -----------------------------------------------------------------------------------------

TEST_CASE("requests are answered, each once, whatever the order") {
  Http2Bench bench;
  REQUIRE(bench.post(1, "one"));
  REQUIRE(bench.post(2, "two"));
  const auto first = bench.came("one");
  const auto second = bench.came("two");
  CHECK(bench.peer().requests[first].path == "/sessions");
  CHECK(bench.peer().requests[first].method == "POST");
  bench.peer().respond(second, 503, {{"retry-after", "7"}, {"content-type", "application/problem+json"}},
                       "{}");
  bench.ends(2);
  CHECK_FALSE(bench.recorder.ended.contains(1));
  bench.peer().respond(first, 201, {}, "answer");
  bench.ends(1);
  CHECK(bench.recorder.ended[1].response->status == 201);
  CHECK(bench.recorder.ended[1].response->body == "answer");
  CHECK(bench.recorder.ended[2].response->retry_after == "7");
  CHECK(bench.recorder.ended[2].response->content_type == "application/problem+json");
  CHECK(bench.connection->out() == 0);
}

TEST_CASE("the server's bound on streams binds, also when it is lowered and raised on the way") {
  Http2Server::Options options;
  options.streams = 2;
  Http2Bench bench(options);
  CHECK(bench.post(1, "a"));
  CHECK(bench.post(2, "b"));
  CHECK_FALSE(bench.post(3, "c"));
  const auto a = bench.came("a");
  const auto b = bench.came("b");
  bench.peer().allow(1);
  bench.peer().respond(a, 201, {}, "x");  // behind the new bound on the wire
  bench.ends(1);
  CHECK_FALSE(bench.connection->has_room());  // one is out, and one is allowed
  bench.peer().respond(b, 201, {}, "x");
  bench.ends(2);
  CHECK(bench.post(3, "c"));
  CHECK_FALSE(bench.post(4, "d"));
  const auto rooms = bench.recorder.rooms;
  bench.peer().allow(3);
  bench.until([&] { return bench.recorder.rooms > rooms; });
  CHECK(bench.post(4, "d"));
}

TEST_CASE("GOAWAY: above the last stream nothing ran, below it may finish") {
  Http2Bench bench;
  bench.post(1, "a");
  bench.post(2, "b");
  const auto a = bench.came("a");
  bench.came("b");
  bench.peer().go_away(a);
  bench.ends(2);
  CHECK(bench.recorder.ended[2].failure == Failure::kNeverRan);
  CHECK(bench.recorder.goings == 1);
  CHECK_FALSE(bench.connection->has_room());
  CHECK_FALSE(bench.recorder.ended.contains(1));
  bench.peer().respond(a, 201, {}, "late");
  bench.ends(1);
  CHECK(bench.recorder.ended[1].response->status == 201);
}

TEST_CASE("a reset proves that nothing ran only where it says so") {
  const std::vector<std::pair<std::uint32_t, Failure>> cases = {{NGHTTP2_REFUSED_STREAM, Failure::kNeverRan},
                                                                {NGHTTP2_ENHANCE_YOUR_CALM, Failure::kCalm},
                                                                {NGHTTP2_CANCEL, Failure::kReset},
                                                                {NGHTTP2_INTERNAL_ERROR, Failure::kReset},
                                                                {NGHTTP2_NO_ERROR, Failure::kReset}};
  Http2Bench bench;
  Connection::Key key = 0;
  for (const auto& [code, failure] : cases) {
    CAPTURE(code);
    ++key;
    REQUIRE(bench.post(key, std::to_string(key)));
    bench.peer().reset(bench.came(std::to_string(key)), code);
    bench.ends(key);
    CHECK(bench.recorder.ended[key].failure == failure);
  }
  CHECK(bench.connection->is_up());
  // A whole answer that is followed by a reset is an answer.
  REQUIRE(bench.post(++key, "early"));
  const auto id = bench.came("early");
  bench.peer().respond(id, 429, {}, "x");
  bench.ends(key);
  CHECK(bench.recorder.ended[key].response->status == 429);
}

TEST_CASE("heads and bodies that are too large, cut short or endless end their stream only") {
  Http2Bench bench;
  SUBCASE("a large head") {
    bench.post(1, "a");
    bench.peer().respond(bench.came("a"), 201, {{"x-long", std::string(9000, 'x')}}, "b");
    bench.ends(1);
    CHECK(bench.recorder.ended[1].failure == Failure::kTooLarge);
  }
  SUBCASE("an endless body") {
    bench.post(1, "a");
    const auto id = bench.came("a");
    bench.peer().respond(id, 201, {}, std::string(10'000, 'x'), false);
    bench.peer().data(id, std::string(10'000, 'x'));
    bench.ends(1);
    CHECK(bench.recorder.ended[1].failure == Failure::kTooLarge);
    bench.until([&] { return bench.peer().requests[id].reset; });
    CHECK(bench.peer().requests[id].code == NGHTTP2_CANCEL);
  }
  SUBCASE("a body shorter than announced") {
    bench.post(1, "a");
    bench.peer().respond(bench.came("a"), 201, {{"content-length", "10"}}, "12345");
    bench.ends(1);
    CHECK(bench.recorder.ended[1].failure == Failure::kReset);
  }
  CHECK(bench.recorder.ended[1].times == 1);
  REQUIRE(bench.post(2, "next"));
  bench.peer().respond(bench.came("next"), 201, {}, "fine");
  bench.ends(2);
  CHECK(bench.recorder.ended[2].response->body == "fine");
}

TEST_CASE("a window that never opens holds its own request only, which can be cancelled") {
  Http2Server::Options options;
  options.window = 0;
  Http2Bench bench(options);
  REQUIRE(bench.post(1, "never read"));
  bench.until([&] { return !bench.peer().requests.empty(); });
  REQUIRE(bench.connection->request(2, {"GET", "/versions"}));
  bench.until([&] { return bench.peer().requests.size() == 2; });
  const auto get = bench.peer().requests.rbegin()->first;
  bench.peer().respond(get, 200, {}, "{}");
  bench.ends(2);
  CHECK(bench.connection->has_left(1));
  bench.connection->cancel(1);
  const auto post = bench.peer().requests.begin()->first;
  bench.until([&] { return bench.peer().requests[post].reset; });
  CHECK_FALSE(bench.recorder.ended.contains(1));
  CHECK(bench.connection->out() == 0);
}

TEST_CASE("an answer that crosses our cancel is dropped, and the next request is not harmed") {
  Http2Bench bench;
  bench.post(1, "a");
  const auto id = bench.came("a");
  bench.connection->cancel(1);
  bench.peer().respond(id, 201, {}, "crossing");  // the server has not read the cancel
  bench.until([&] { return bench.peer().requests[id].reset; });
  bench.post(2, "b");
  bench.peer().respond(bench.came("b"), 201, {}, "x");
  bench.ends(2);
  CHECK_FALSE(bench.recorder.ended.contains(1));
}

TEST_CASE("a PING unanswered while data still comes puts the connection in doubt, then ends it") {
  Http2Server::Options options;
  options.answer_pings = false;
  Connection::Limits limits;
  limits.ping_every = milliseconds{50};
  limits.ping_patience = milliseconds{200};
  Http2Bench bench(options, limits);
  bench.connection->request(1, {"GET", "/events", {}, "", true});
  bench.until([&] { return !bench.peer().requests.empty(); });
  const auto id = bench.peer().requests.begin()->first;
  bench.peer().respond(id, 200, {}, "x", false);
  bench.until([&] {
    if (!bench.peer().closed) bench.peer().data(id, "x");
    return !bench.recorder.health.empty();
  });
  CHECK_FALSE(bench.recorder.health.front());
  CHECK_FALSE(bench.connection->has_room());
  bench.until([&] {
    if (!bench.peer().closed) bench.peer().data(id, "x");
    return bench.recorder.down.has_value();
  });
  CHECK(bench.recorder.ended[1].failure == Failure::kReset);
  CHECK(bench.recorder.chunks[1].size() > 2);
}

TEST_CASE("a connection that is lost tells each request once, and then that it is down") {
  Http2Bench bench;
  bench.post(1, "a");
  bench.post(2, "b");
  bench.came("b");
  SUBCASE("reset") {
    bench.peer().die();
  }
  SUBCASE("a frame that cannot be") {
    bench.peer().raw(std::string("\x00\x00\x01\x06\x00\x00\x00\x00\x00z", 10));
  }
  SUBCASE("from inside an answer") {
    bench.recorder.then = [&](Connection::Key key) {
      if (key == 1) bench.connection->fail(net::CloseReason::kReset);
    };
    bench.peer().respond(bench.came("a"), 201, {}, "x");
  }
  bench.until([&] { return bench.recorder.down.has_value(); });
  CHECK(bench.recorder.ended[1].times == 1);
  CHECK(bench.recorder.ended[2].times == 1);
  CHECK(bench.recorder.ended[2].failure == Failure::kReset);
  CHECK(bench.connection->out() == 0);
  CHECK_FALSE(bench.post(3));
}

TEST_CASE("what cannot be written is not taken, and what never left is told as such") {
  Connection::Limits limits;
  limits.streams = 10'000;
  Http2Server::Options options;
  options.streams = 10'000;
  options.window = 1 << 20;
  Http2Bench bench(options, limits);
  // The server's loop is ours, and stands still: the socket fills up.
  const std::string body(8000, 'x');
  Connection::Key key = 0;
  while (key < 5000 && bench.post(key + 1, body)) ++key;
  // By the window of the connection only so much data goes; heads go on until the socket is full or this
  // ends.
  CHECK(key > 2);
  bench.connection->fail(net::CloseReason::kReset);
  CHECK(bench.recorder.ended.size() == key);
  std::size_t never = 0;
  for (const auto& [one, ended] : bench.recorder.ended) {
    CHECK(ended.times == 1);
    never += ended.failure == Failure::kNeverRan ? 1 : 0;
  }
  CHECK(never <= 1);  // the last one at most: nothing is serialized behind what waits
}

TEST_CASE("who does not speak HTTP/2 is given up") {
  net::Loop loop;
  asio::ip::tcp::acceptor mute(loop.io, {asio::ip::make_address("127.0.0.1"), 0});
  Recorder recorder;
  Connection::Limits limits;
  limits.connect = milliseconds{100};
  const auto connection = std::make_shared<Connection>(loop, recorder, limits);
  connection->connect(mute.local_endpoint());
  const Instant limit = net::Loop::now() + std::chrono::seconds{5};
  while (!recorder.down && net::Loop::now() < limit) loop.io.run_one_for(milliseconds{10});
  CHECK(recorder.down == net::CloseReason::kNeverUp);
  CHECK(recorder.ups == 0);
}
