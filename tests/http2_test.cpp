// Bodies of the session API, and the HTTP/2 connection against a scripted server. Guards against a request
// that is reported as not processed although the server may have run it, and against requests that end twice
// or never: GOAWAY, resets, limits, cancels, unanswered PINGs and lost connections (RFC 9113).
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

std::span<char> span_of(std::string& text) {
  return {text.data(), text.size()};
}

struct RecordingHandler : Connection::Handler {
  struct Result {
    std::optional<Response> response;
    std::optional<Failure> failure;
    int times = 0;
  };
  void on_up(Connection& /*c*/) override { ++up_count; }
  void on_response(Connection& /*c*/, Connection::RequestKey key, Response& response) override {
    results[key].response = std::move(response);
    ++results[key].times;
    if (after_end) after_end(key);
  }
  void on_failure(Connection& /*c*/, Connection::RequestKey key, Failure failure) override {
    CHECK_FALSE(down_reason);
    results[key].failure = failure;
    ++results[key].times;
    if (after_end) after_end(key);
  }
  bool on_chunk(Connection& /*c*/, Connection::RequestKey key, int status, std::string_view chunk) override {
    chunks[key] += chunk;
    statuses[key] = status;
    return continue_stream;
  }
  void on_capacity(Connection& /*c*/) override { ++capacity_count; }
  void on_health_changed(Connection& /*c*/, bool healthy) override { health_changes.push_back(healthy); }
  void on_going_away(Connection& /*c*/) override { ++going_away_count; }
  void on_down(Connection& /*c*/, net::CloseReason reason) override { down_reason = reason; }

  std::map<Connection::RequestKey, Result> results;
  std::map<Connection::RequestKey, std::string> chunks;
  std::map<Connection::RequestKey, int> statuses;
  std::function<void(Connection::RequestKey)> after_end;
  std::vector<bool> health_changes;
  std::optional<net::CloseReason> down_reason;
  int up_count = 0, capacity_count = 0, going_away_count = 0;
  bool continue_stream = true;
};

struct Http2Fixture {
  explicit Http2Fixture(Http2Server::Options options = {}, Connection::Limits limits = {})
      : server(loop, options), connection(std::make_shared<Connection>(loop, recorder, limits)) {
    connection->connect(server.endpoint());
    wait_until([&] { return connection->is_up(); });
  }
  ~Http2Fixture() { connection->close(); }
  void wait_until(const std::function<bool()>& condition) {
    const Instant deadline = net::Loop::now() + std::chrono::seconds{5};
    bool is_met = condition();
    while (!is_met && net::Loop::now() < deadline) {
      loop.io.run_one_for(milliseconds{10});
      is_met = condition();
    }
    REQUIRE(is_met);
  }
  bool post(Connection::RequestKey key, const std::string& body = "{}") {
    return connection->request(key, {"POST", "/sessions", {{"content-type", "application/json"}}, body});
  }
  Http2Server::Peer& peer() { return *server.peers.front(); }
  /// Waits until the request with this body has arrived completely; returns its stream.
  std::int32_t wait_for_request(const std::string& body) {
    std::int32_t stream_id = 0;
    wait_until([&] {
      for (const auto& [stream, request] : peer().requests) {
        if (request.complete && request.body == body) stream_id = stream;
      }
      return stream_id != 0;
    });
    return stream_id;
  }
  void wait_for_end(Connection::RequestKey key) {
    wait_until([&] { return recorder.results.contains(key); });
  }

  net::Loop loop;
  Http2Server server;
  RecordingHandler recorder;
  std::shared_ptr<Connection> connection;
};

}  // namespace

// ---- bodies ---------------------------------------------------------------------------------------------

TEST_CASE("a written set-up conforms to its schema and reads back unchanged") {
  BodyReader reader;
  const auto& fields = translate::find_dialect("session-2")->of(translate::MessageKind::kSetUp);
  translate::Record record, read_back;
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
  REQUIRE_MESSAGE(reader.read_set_up(2, span_of(body), read_back, fault), fault);
  for (std::size_t i = 0; i < fields.size(); ++i) {
    REQUIRE(read_back.has(i) == record.has(i));
    if (!record.has(i)) continue;
    if (translate::is_text(fields[i].type)) {
      CHECK(read_back.text(i) == record.text(i));
    } else {
      CHECK(read_back.number(i) == record.number(i));
    }
  }
  auto body_copy = body;
  // The body has members that version 1 does not allow.
  CHECK_FALSE(reader.read_set_up(1, span_of(body_copy), read_back, fault));
}

TEST_CASE("an invalid answer is rejected with the path of the field at fault") {
  struct Case {
    std::string body;
    std::uint32_t version;
    const char* expected_fault;  ///< part of the message; null if the body is valid
  };
  const std::vector<Case> cases = {
      {R"({"id":"00112233445566aa","description":"d"})", 1, nullptr},
      {R"({"id":"00112233445566aa","description":"d","later":[1,{}]})", 1, nullptr},  // unknown members
      {R"({"id":"00112233445566aa","description":"d"})", 2, "region"},
      {R"({"id":"00112233445566aa","description":"d","region":"r"})", 2, nullptr},
      {R"({"id":"00112233445566AA","description":"d"})", 1, "id"},
      {R"({"id":"00112233445566aa","description":""})", 1, "description"},
      {R"({"id":"00112233445566aa","description":7})", 1, "description"},
      {R"({"id":"00112233445566aa"})", 1, "description"},
      {R"([])", 1, ""},
      {R"({"id":)", 1, "the body is not JSON"},
      {std::string("{}\0", 3), 1, "the body holds a zero byte"},
      {"{\"id\":\"00112233445566aa\",\"description\":\"\xff\"}", 1, "the body is not JSON"},
      {"{\"id\":\"00112233445566aa\",\"description\":\"" + std::string(8193, 'x') + "\"}", 1, "description"},
      // 8192 characters, but more bytes than the field allows.
      {"{\"id\":\"00112233445566aa\",\"description\":\"" + std::string(8190, 'x') + "\xc3\xa9\xc3\xa9\"}", 1,
       "description"},
      {std::string(5000, '['), 1, "the body is not JSON"},
      {"{\"id\xf0:", 1, "the body is not JSON"},
      {R"({"id":"00112233445566aa","description":"\ude0b"})", 1, "description"},  // unpaired surrogate
      {"", 1, "the body is not JSON"},
  };
  BodyReader reader;
  translate::Record record;
  for (auto test_case : cases) {
    CAPTURE(test_case.body.substr(0, 80));
    std::string fault;
    CHECK(reader.read_answer(test_case.version, span_of(test_case.body), record, fault) ==
          (test_case.expected_fault == nullptr));
    if (test_case.expected_fault != nullptr)
      CHECK_MESSAGE(fault.find(test_case.expected_fault) != std::string::npos, fault);
  }
}

TEST_CASE("problems, versions and events are read, and invalid ones rejected") {
  BodyReader reader;
  std::string fault;
  const std::vector<std::pair<std::string, std::string>> problems = {
      {R"({"type":"https://kartu.example/problems/no-line","status":503})", "no-line"},
      {R"({"type":"no-line/"})", "no-line"},
      {R"({"type":"urn:problem:over-share"})", "over-share"},
      {R"({"type":"about:blank"})", "blank"},
      {R"({})", ""},
  };
  for (auto [body, type] : problems) {
    const auto problem = reader.read_problem(span_of(body), fault);
    REQUIRE(problem);
    CHECK(problem->type == type);
  }
  std::string invalid_problem = R"({"type":5})";
  CHECK_FALSE(reader.read_problem(span_of(invalid_problem), fault));
  std::string versions = R"({"versions":[1,2,9],"process":"p1"})";
  const auto versions_body = reader.read_versions(span_of(versions), fault);
  REQUIRE(versions_body);
  CHECK(versions_body->versions == std::vector<std::uint32_t>{1, 2, 9});
  CHECK(versions_body->process == "p1");
  versions = R"({"versions":[]})";
  CHECK_FALSE(reader.read_versions(span_of(versions), fault));

  using Kind = SessionEvent::Kind;
  const auto event = [&](const char* name, std::string data) {
    return reader.read_event(name, span_of(data), fault);
  };
  const auto released = event("released", R"({"id":"00112233445566aa","cause":16})");
  REQUIRE(released);
  CHECK(released->kind == Kind::kReleased);
  CHECK(released->cause == 16);
  CHECK_FALSE(event("released", R"({"id":"00112233445566aa"})"));
  CHECK(event("cut", R"({"id":"00112233445566aa"})")->kind == Kind::kAborted);
  CHECK(event("lost", R"({"before":17})")->lost_before == 17);
  CHECK_FALSE(event("lost", R"({"before":-1})"));
  const auto load = event("load", R"({"x0":12,"x1":40.5})");
  REQUIRE(load);
  CHECK(load->load.size() == 2);
  CHECK_FALSE(event("load", R"({"x0":"many"})"));
  CHECK(event("draining", "{}")->kind == Kind::kDraining);
  CHECK(event("of-a-later-day", "whatever")->kind == Kind::kUnknown);
}

// ---- connection -----------------------------------------------------------------------------------------

TEST_CASE("each request gets its own response once, in any order of responses") {
  Http2Fixture fixture;
  REQUIRE(fixture.post(1, "one"));
  REQUIRE(fixture.post(2, "two"));
  const auto first = fixture.wait_for_request("one");
  const auto second = fixture.wait_for_request("two");
  CHECK(fixture.peer().requests[first].path == "/sessions");
  CHECK(fixture.peer().requests[first].method == "POST");
  fixture.peer().respond(second, 503, {{"retry-after", "7"}, {"content-type", "application/problem+json"}},
                         "{}");
  fixture.wait_for_end(2);
  CHECK_FALSE(fixture.recorder.results.contains(1));
  fixture.peer().respond(first, 201, {}, "answer");
  fixture.wait_for_end(1);
  CHECK(fixture.recorder.results[1].response->status == 201);
  CHECK(fixture.recorder.results[1].response->body == "answer");
  CHECK(fixture.recorder.results[2].response->retry_after == "7");
  CHECK(fixture.recorder.results[2].response->content_type == "application/problem+json");
  CHECK(fixture.connection->outstanding_requests() == 0);
}

TEST_CASE("the server's limit on concurrent streams is kept, also after it is lowered or raised") {
  Http2Server::Options options;
  options.max_streams = 2;
  Http2Fixture fixture(options);
  CHECK(fixture.post(1, "a"));
  CHECK(fixture.post(2, "b"));
  CHECK_FALSE(fixture.post(3, "c"));
  const auto a = fixture.wait_for_request("a");
  const auto b = fixture.wait_for_request("b");
  fixture.peer().set_max_streams(1);
  fixture.peer().respond(a, 201, {}, "x");  // arrives after the new limit
  fixture.wait_for_end(1);
  CHECK_FALSE(fixture.connection->has_capacity());  // one request is outstanding and one is allowed
  fixture.peer().respond(b, 201, {}, "x");
  fixture.wait_for_end(2);
  CHECK(fixture.post(3, "c"));
  CHECK_FALSE(fixture.post(4, "d"));
  const auto capacity_count_before = fixture.recorder.capacity_count;
  fixture.peer().set_max_streams(3);
  fixture.wait_until([&] { return fixture.recorder.capacity_count > capacity_count_before; });
  CHECK(fixture.post(4, "d"));
}

TEST_CASE("after GOAWAY, requests above the last stream count as not processed and the others may finish") {
  Http2Fixture fixture;
  fixture.post(1, "a");
  fixture.post(2, "b");
  const auto a = fixture.wait_for_request("a");
  fixture.wait_for_request("b");
  fixture.peer().send_goaway(a);
  fixture.wait_for_end(2);
  CHECK(fixture.recorder.results[2].failure == Failure::kNotProcessed);
  CHECK(fixture.recorder.going_away_count == 1);
  CHECK_FALSE(fixture.connection->has_capacity());
  CHECK_FALSE(fixture.recorder.results.contains(1));
  fixture.peer().respond(a, 201, {}, "late");
  fixture.wait_for_end(1);
  CHECK(fixture.recorder.results[1].response->status == 201);
}

TEST_CASE("a stream reset counts as not processed only with REFUSED_STREAM") {
  const std::vector<std::pair<std::uint32_t, Failure>> cases = {
      {NGHTTP2_REFUSED_STREAM, Failure::kNotProcessed},
      {NGHTTP2_ENHANCE_YOUR_CALM, Failure::kEnhanceYourCalm},
      {NGHTTP2_CANCEL, Failure::kReset},
      {NGHTTP2_INTERNAL_ERROR, Failure::kReset},
      {NGHTTP2_NO_ERROR, Failure::kReset}};
  Http2Fixture fixture;
  Connection::RequestKey key = 0;
  for (const auto& [code, failure] : cases) {
    CAPTURE(code);
    ++key;
    REQUIRE(fixture.post(key, std::to_string(key)));
    fixture.peer().reset_stream(fixture.wait_for_request(std::to_string(key)), code);
    fixture.wait_for_end(key);
    CHECK(fixture.recorder.results[key].failure == failure);
  }
  CHECK(fixture.connection->is_up());
  // A complete response is reported as a response, whatever its status.
  REQUIRE(fixture.post(++key, "early"));
  const auto stream_id = fixture.wait_for_request("early");
  fixture.peer().respond(stream_id, 429, {}, "x");
  fixture.wait_for_end(key);
  CHECK(fixture.recorder.results[key].response->status == 429);
}

TEST_CASE("a head or body that is too large or too short ends its stream and not the connection") {
  Http2Fixture fixture;
  SUBCASE("header fields that exceed the limit") {
    fixture.post(1, "a");
    fixture.peer().respond(fixture.wait_for_request("a"), 201, {{"x-long", std::string(9000, 'x')}}, "b");
    fixture.wait_for_end(1);
    CHECK(fixture.recorder.results[1].failure == Failure::kTooLarge);
  }
  SUBCASE("a body that exceeds the limit") {
    fixture.post(1, "a");
    const auto stream_id = fixture.wait_for_request("a");
    fixture.peer().respond(stream_id, 201, {}, std::string(10'000, 'x'), false);
    fixture.peer().send_data(stream_id, std::string(10'000, 'x'));
    fixture.wait_for_end(1);
    CHECK(fixture.recorder.results[1].failure == Failure::kTooLarge);
    fixture.wait_until([&] { return fixture.peer().requests[stream_id].was_reset; });
    CHECK(fixture.peer().requests[stream_id].reset_code == NGHTTP2_CANCEL);
  }
  SUBCASE("a body shorter than its content-length") {
    fixture.post(1, "a");
    fixture.peer().respond(fixture.wait_for_request("a"), 201, {{"content-length", "10"}}, "12345");
    fixture.wait_for_end(1);
    CHECK(fixture.recorder.results[1].failure == Failure::kReset);
  }
  CHECK(fixture.recorder.results[1].times == 1);
  REQUIRE(fixture.post(2, "next"));
  fixture.peer().respond(fixture.wait_for_request("next"), 201, {}, "fine");
  fixture.wait_for_end(2);
  CHECK(fixture.recorder.results[2].response->body == "fine");
}

TEST_CASE("a closed flow-control window delays only its own request, which can be cancelled") {
  Http2Server::Options options;
  options.initial_window_size = 0;
  Http2Fixture fixture(options);
  REQUIRE(fixture.post(1, "never read"));
  fixture.wait_until([&] { return !fixture.peer().requests.empty(); });
  REQUIRE(fixture.connection->request(2, {"GET", "/versions"}));
  fixture.wait_until([&] { return fixture.peer().requests.size() == 2; });
  const auto get_stream = fixture.peer().requests.rbegin()->first;
  fixture.peer().respond(get_stream, 200, {}, "{}");
  fixture.wait_for_end(2);
  CHECK(fixture.connection->has_started_writing(1));
  fixture.connection->cancel(1);
  const auto post_stream = fixture.peer().requests.begin()->first;
  fixture.wait_until([&] { return fixture.peer().requests[post_stream].was_reset; });
  CHECK_FALSE(fixture.recorder.results.contains(1));
  CHECK(fixture.connection->outstanding_requests() == 0);
}

TEST_CASE("a response that crosses a cancel is dropped, and the next request is answered") {
  Http2Fixture fixture;
  fixture.post(1, "a");
  const auto stream_id = fixture.wait_for_request("a");
  fixture.connection->cancel(1);
  fixture.peer().respond(stream_id, 201, {}, "crossing");  // the server has not read the cancel yet
  fixture.wait_until([&] { return fixture.peer().requests[stream_id].was_reset; });
  fixture.post(2, "b");
  fixture.peer().respond(fixture.wait_for_request("b"), 201, {}, "x");
  fixture.wait_for_end(2);
  CHECK_FALSE(fixture.recorder.results.contains(1));
}

TEST_CASE(
    "an unanswered PING makes the connection unhealthy and then closes it, although data still arrives") {
  Http2Server::Options options;
  options.answer_pings = false;
  Connection::Limits limits;
  limits.ping_interval = milliseconds{50};
  limits.ping_timeout = milliseconds{200};
  Http2Fixture fixture(options, limits);
  fixture.connection->request(1, {"GET", "/events", {}, "", true});
  fixture.wait_until([&] { return !fixture.peer().requests.empty(); });
  const auto stream_id = fixture.peer().requests.begin()->first;
  fixture.peer().respond(stream_id, 200, {}, "x", false);
  fixture.wait_until([&] {
    if (!fixture.peer().closed) fixture.peer().send_data(stream_id, "x");
    return !fixture.recorder.health_changes.empty();
  });
  CHECK_FALSE(fixture.recorder.health_changes.front());
  CHECK_FALSE(fixture.connection->has_capacity());
  fixture.wait_until([&] {
    if (!fixture.peer().closed) fixture.peer().send_data(stream_id, "x");
    return fixture.recorder.down_reason.has_value();
  });
  CHECK(fixture.recorder.results[1].failure == Failure::kReset);
  CHECK(fixture.recorder.chunks[1].size() > 2);
}

TEST_CASE("a lost connection reports each request once and then on_down") {
  Http2Fixture fixture;
  fixture.post(1, "a");
  fixture.post(2, "b");
  fixture.wait_for_request("b");
  SUBCASE("reset") {
    fixture.peer().reset_connection();
  }
  SUBCASE("invalid frame") {
    fixture.peer().send_raw(std::string("\x00\x00\x01\x06\x00\x00\x00\x00\x00z", 10));
  }
  SUBCASE("closed while a response is handled") {
    fixture.recorder.after_end = [&](Connection::RequestKey key) {
      if (key == 1) fixture.connection->fail(net::CloseReason::kReset);
    };
    fixture.peer().respond(fixture.wait_for_request("a"), 201, {}, "x");
  }
  fixture.wait_until([&] { return fixture.recorder.down_reason.has_value(); });
  CHECK(fixture.recorder.results[1].times == 1);
  CHECK(fixture.recorder.results[2].times == 1);
  CHECK(fixture.recorder.results[2].failure == Failure::kReset);
  CHECK(fixture.connection->outstanding_requests() == 0);
  CHECK_FALSE(fixture.post(3));
}

TEST_CASE(
    "a blocked connection accepts no requests, and a request of which nothing was written counts as not "
    "processed") {
  Connection::Limits limits;
  limits.max_streams = 10'000;
  Http2Server::Options options;
  options.max_streams = 10'000;
  options.initial_window_size = 1 << 20;
  Http2Fixture fixture(options, limits);
  // The server runs in the same loop, which does not run here, so the socket's buffer fills up.
  const std::string body(8000, 'x');
  Connection::RequestKey key = 0;
  while (key < 5000 && fixture.post(key + 1, body)) ++key;
  // The connection's flow-control window limits the data; HEADERS frames go out until the socket is full or
  // the loop above ends.
  CHECK(key > 2);
  fixture.connection->fail(net::CloseReason::kReset);
  CHECK(fixture.recorder.results.size() == key);
  std::size_t not_processed = 0;
  for (const auto& [request_key, result] : fixture.recorder.results) {
    CHECK(result.times == 1);
    not_processed += result.failure == Failure::kNotProcessed ? 1 : 0;
  }
  CHECK(not_processed <= 1);  // at most the last one, because nothing is serialized while output waits
}

TEST_CASE("a server that does not speak HTTP/2 is given up after the connect timeout") {
  net::Loop loop;
  asio::ip::tcp::acceptor silent_server(loop.io, {asio::ip::make_address("127.0.0.1"), 0});
  RecordingHandler recorder;
  Connection::Limits limits;
  limits.connect_timeout = milliseconds{100};
  const auto connection = std::make_shared<Connection>(loop, recorder, limits);
  connection->connect(silent_server.local_endpoint());
  const Instant deadline = net::Loop::now() + std::chrono::seconds{5};
  while (!recorder.down_reason && net::Loop::now() < deadline) loop.io.run_one_for(milliseconds{10});
  CHECK(recorder.down_reason == net::CloseReason::kConnectFailed);
  CHECK(recorder.up_count == 0);
}
