// Wire format of the requests to servers of the session API: method, path, header fields and the bytes of the
// body. Guards against changes that a deployed server would notice.
#include <algorithm>

#include "http2/body.hpp"
#include "lab/http2_server.hpp"
#include "net_bench.hpp"
#include "wire_format.hpp"

namespace amberknot::tests {
namespace {

const std::string kCallId = "9b1f03aa5c7e2d41";

app::OperatorFile make_operator_file(const std::string& version) {
  app::OperatorFile file;
  file.session_api.emplace();
  file.session_api->servers["*"] = version;
  const auto faults = translate::parse_operator_table(
      R"({"rows":[{"to":"session-2","field":"region","by":"@tenant","table":{"acme":"jakarta"},)"
      R"("otherwise":"not-eligible"}]})",
      file.translate);
  REQUIRE(faults.empty());
  return file;
}

/// A session server that answers every request and keeps each as a text.
struct SessionServer {
  using Peer = lab::Http2Server::Peer;

  SessionServer(net::Loop& loop, std::string versions) : http2(loop) {
    http2.on_request = [this, versions = std::move(versions)](Peer& peer, std::int32_t stream_id,
                                                              Peer::Request& request) {
      requests.push_back(text_of(request));
      if (request.path == "/versions") {
        peer.respond(stream_id, 200, {{"content-type", "application/json"}}, versions);
      } else if (request.path == "/events") {
        event_stream = {&peer, stream_id};
        peer.respond(stream_id, 200, {{"content-type", "text/event-stream"}}, ":\n\n", false);
      } else if (request.method == "POST") {
        peer.respond(stream_id, 201, {{"content-type", "application/json"}},
                     R"({"id":"9b1f03aa5c7e2d41","description":"sdp","region":"jakarta"})");
      } else {
        peer.respond(stream_id, request.method == "DELETE" ? 204 : 404, {}, "");
      }
    };
  }
  /// The header fields in the order of their names, then the body. The port and the wait are masked.
  static std::string text_of(const Peer::Request& request) {
    std::string text;
    for (const auto& [name, value] : request.headers) text += name + ": " + value + "\n";
    text += "\n" + request.body;
    text = mask_digits_after(std::move(text), ":authority: 127.0.0.1:");
    return mask_digits_after(std::move(text), "\"waitMs\":");
  }
  /// Returns the first request that contains the text, or null if there is none.
  [[nodiscard]] const std::string* request_with(std::string_view text) const {
    const auto found = std::find_if(requests.begin(), requests.end(), [&](const std::string& request) {
      return request.find(text) != std::string::npos;
    });
    return found == requests.end() ? nullptr : &*found;
  }

  lab::Http2Server http2;
  std::vector<std::string> requests;
  std::pair<Peer*, std::int32_t> event_stream{};
};

struct SessionApiWireFixture : RouterFixture {
  explicit SessionApiWireFixture(const std::string& version)
      : RouterFixture(make_operator_file(version)),
        session_server(loop, R"({"versions":[1,2],"process":"p1"})") {
    discovery::EndpointUpdate update;
    update.has_endpoint_list = true;
    update.changes.push_back({"s1", session_server.http2.address(), 0, EndpointState::kReady, 0});
    router->apply_endpoint_update(update);
    request_with("/events");
  }
  /// Waits for a request that contains the text and returns it.
  std::string request_with(std::string_view text) {
    run_until([&] { return session_server.request_with(text) != nullptr; });
    return *session_server.request_with(text);
  }
  /// Establishes a call and returns the request for its set-up.
  std::string set_up_request() {
    send_set_up(kCallId, 2000, "v=0\\r\\n\\\"q\\\" \\u00e9/");
    run_until([&] { return caller->has_received("\"ready\""); });
    return request_with("POST");
  }

  SessionServer session_server;
};

}  // namespace

TEST_CASE("session API bytes: the connection preface and its SETTINGS frame (RFC 9113, section 3.4)") {
  const std::string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
  constexpr std::size_t kFrameHeaderSize = 9;
  constexpr std::size_t kSettingSize = 6;
  constexpr std::size_t kSettingCount = 3;
  RouterFixture fixture(make_operator_file("learn"));
  fixture.announce_server();
  const auto settings_size = kFrameHeaderSize + kSettingCount * kSettingSize;
  fixture.run_until([&] {
    return !fixture.server.connections.empty() &&
           fixture.server.connections[0]->received.size() >= preface.size() + settings_size;
  });
  const auto& received = fixture.server.connections[0]->received;
  CHECK(received.substr(0, preface.size()) == preface);
  CHECK(to_hex(received.substr(preface.size(), settings_size)) ==
        "000012040000000000"  // 18 bytes of SETTINGS on stream 0
        "000200000000"        // SETTINGS_ENABLE_PUSH
        "000300000000"        // SETTINGS_MAX_CONCURRENT_STREAMS
        "000600002000"        // SETTINGS_MAX_HEADER_LIST_SIZE
  );
}

TEST_CASE("session API bytes: the requests for the versions and the event stream") {
  SessionApiWireFixture fixture("learn");
  CHECK(fixture.request_with("/versions") ==
        ":authority: 127.0.0.1:*\n"
        ":method: GET\n"
        ":path: /versions\n"
        ":scheme: http\n"
        "accept: application/json\n"
        "\n");
  CHECK(fixture.request_with("/events") ==
        ":authority: 127.0.0.1:*\n"
        ":method: GET\n"
        ":path: /events\n"
        ":scheme: http\n"
        "accept: text/event-stream\n"
        "\n");
}

TEST_CASE("session API bytes: a set-up of version 2 and its release") {
  SessionApiWireFixture fixture("session-2");
  CHECK(fixture.set_up_request() ==
        ":authority: 127.0.0.1:*\n"
        ":method: POST\n"
        ":path: /sessions\n"
        ":scheme: http\n"
        "api-version: 2\n"
        "content-type: application/json\n"
        "\n"
        R"({"id":"9b1f03aa5c7e2d41","class":"voice","number":"77aa","description":"v=0\r\n\"q\" é/",)"
        R"("waitMs":*,"retailer":"acme","region":"jakarta","again":0})");
  fixture.send_from_caller("{\"msg\":\"close\",\"sid\":\"9b1f03aa5c7e2d41\",\"attrs\":{},\"code\":16}\n");
  CHECK(fixture.request_with("DELETE") ==
        ":authority: 127.0.0.1:*\n"
        ":method: DELETE\n"
        ":path: /sessions/9b1f03aa5c7e2d41?cause=16\n"
        ":scheme: http\n"
        "\n");
}

TEST_CASE("session API bytes: a set-up of version 1") {
  SessionApiWireFixture fixture("session-1");
  CHECK(fixture.set_up_request() ==
        ":authority: 127.0.0.1:*\n"
        ":method: POST\n"
        ":path: /sessions\n"
        ":scheme: http\n"
        "api-version: 1\n"
        "content-type: application/json\n"
        "\n"
        R"({"id":"9b1f03aa5c7e2d41","class":"voice","number":"77aa","description":"v=0\r\n\"q\" é/",)"
        R"("waitMs":*})");
}

TEST_CASE("session API bytes: a resumed event stream, and the check of a session") {
  SessionApiWireFixture fixture("session-2");
  fixture.set_up_request();
  auto& event_stream = fixture.session_server.event_stream;
  event_stream.first->send_data(event_stream.second, "id: 7\nevent: load\ndata: {\"x0\":1}\n\n");
  fixture.run_until([&] { return fixture.router->counters().load_reports > 0; });
  fixture.session_server.requests.clear();
  event_stream.first->send_data(event_stream.second, "", true);
  CHECK(fixture.request_with("/events") ==
        ":authority: 127.0.0.1:*\n"
        ":method: GET\n"
        ":path: /events\n"
        ":scheme: http\n"
        "accept: text/event-stream\n"
        "last-event-id: 7\n"
        "\n");
  event_stream.first->send_data(event_stream.second, "id: 9\nevent: lost\ndata: {\"before\":9}\n\n");
  CHECK(fixture.request_with("GET\n:path: /sessions") ==
        ":authority: 127.0.0.1:*\n"
        ":method: GET\n"
        ":path: /sessions/9b1f03aa5c7e2d41\n"
        ":scheme: http\n"
        "\n");
}

TEST_CASE("session API bytes: every field of a set-up of version 2") {
  const auto& fields = translate::find_dialect("session-2")->of(translate::MessageKind::kSetUp);
  translate::Record record;
  const auto set_field = [&](std::string_view name, const auto& value) {
    record.set(translate::index_of(fields, name), value);
  };
  using namespace std::string_view_literals;
  set_field("id", "9b1f03aa5c7e2d41"sv);
  set_field("class", "voice"sv);
  set_field("number", "7f3a9c21e0b4d655"sv);
  set_field("description", "c=IN IP4 10.4.7.9\r\n"sv);
  set_field("waitMs", std::int64_t{1500});
  set_field("retailer", "acme"sv);
  set_field("region", "jakarta"sv);
  set_field("terminal", "TERM0001"sv);
  set_field("trace", "000123"sv);
  set_field("reference", "ref-1"sv);
  set_field("amountMinor", std::int64_t{999'999'999'999});
  set_field("currency", "360"sv);
  set_field("again", std::int64_t{1});
  CHECK(http2::write_body(fields, record) ==
        R"({"id":"9b1f03aa5c7e2d41","class":"voice","number":"7f3a9c21e0b4d655",)"
        R"("description":"c=IN IP4 10.4.7.9\r\n","waitMs":1500,"retailer":"acme","region":"jakarta",)"
        R"("terminal":"TERM0001","trace":"000123","reference":"ref-1","amountMinor":999999999999,)"
        R"("currency":"360","again":1})");
}

}  // namespace amberknot::tests
