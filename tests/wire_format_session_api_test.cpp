// The requests to servers of the session API: method, path, header fields and the bytes of the body.
#include <algorithm>

#include "http2/body.hpp"
#include "lab/http2_server.hpp"
#include "net_bench.hpp"
#include "wire_format.hpp"

namespace amberknot::tests {
namespace {

const std::string kCallId = "9b1f03aa5c7e2d41";

app::OperatorFile session_api_setup(const std::string& version) {
  app::OperatorFile file;
  file.session_api.emplace();
  file.session_api->servers["*"] = version;
  const auto faults = translate::read_table(
      R"({"rows":[{"to":"session-2","field":"region","by":"@tenant","table":{"acme":"jakarta"},)"
      R"("otherwise":"not-eligible"}]})",
      file.translate);
  REQUIRE(faults.empty());
  return file;
}

/// A session server that answers by itself, and keeps each request as a text.
struct SessionServer {
  using Peer = lab::Http2Server::Peer;

  SessionServer(net::Loop& loop, std::string versions) : http2(loop) {
    http2.on_request = [this, versions = std::move(versions)](Peer& peer, std::int32_t stream,
                                                              Peer::Request& request) {
      requests.push_back(text_of(request));
      if (request.path == "/versions") {
        peer.respond(stream, 200, {{"content-type", "application/json"}}, versions);
      } else if (request.path == "/events") {
        events = {&peer, stream};
        peer.respond(stream, 200, {{"content-type", "text/event-stream"}}, ":\n\n", false);
      } else if (request.method == "POST") {
        peer.respond(stream, 201, {{"content-type", "application/json"}},
                     R"({"id":"9b1f03aa5c7e2d41","description":"sdp","region":"jakarta"})");
      } else {
        peer.respond(stream, request.method == "DELETE" ? 204 : 404, {}, "");
      }
    };
  }
  /// The header fields in the order of their names, then the body.
  static std::string text_of(const Peer::Request& request) {
    std::string text;
    for (const auto& [name, value] : request.headers) text += name + ": " + value + "\n";
    text += "\n" + request.body;
    text = mask_digits_after(std::move(text), ":authority: 127.0.0.1:");
    return mask_digits_after(std::move(text), "\"waitMs\":");
  }
  /// Null: there is none with the text.
  [[nodiscard]] const std::string* request_with(std::string_view part) const {
    const auto found = std::find_if(requests.begin(), requests.end(), [&](const std::string& request) {
      return request.find(part) != std::string::npos;
    });
    return found == requests.end() ? nullptr : &*found;
  }

  lab::Http2Server http2;
  std::vector<std::string> requests;
  std::pair<Peer*, std::int32_t> events{};
};

struct SessionApiBench : Bench {
  explicit SessionApiBench(const std::string& version)
      : Bench(session_api_setup(version)), session_server(loop, R"({"versions":[1,2],"process":"p1"})") {
    discovery::EndpointUpdate news;
    news.has_servers = true;
    news.changes.push_back({"s1", session_server.http2.address(), 0, EndpointState::kReady, 0});
    router->apply(news);
    request_with("/events");
  }
  /// Waits for the request that holds the text.
  std::string request_with(std::string_view part) {
    until([&] { return session_server.request_with(part) != nullptr; });
    return *session_server.request_with(part);
  }
  /// Sets a call up that stands; the request for it.
  std::string set_up_request() {
    open(kCallId, 2000, "v=0\\r\\n\\\"q\\\" \\u00e9/");
    until([&] { return caller->has("\"ready\""); });
    return request_with("POST");
  }

  SessionServer session_server;
};

}  // namespace

TEST_CASE("session API bytes: the connection preface and its SETTINGS frame (RFC 9113, section 3.4)") {
  const std::string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
  constexpr std::size_t kFrameHeaderSize = 9;
  constexpr std::size_t kSettingSize = 6;
  constexpr std::size_t kSettings = 3;
  Bench bench(session_api_setup("learn"));
  bench.list();
  const auto settings_size = kFrameHeaderSize + kSettings * kSettingSize;
  bench.until([&] {
    return !bench.server.ends.empty() && bench.server.ends[0]->in.size() >= preface.size() + settings_size;
  });
  const auto& in = bench.server.ends[0]->in;
  CHECK(in.substr(0, preface.size()) == preface);
  CHECK(hex_of(in.substr(preface.size(), settings_size)) ==
        "000012040000000000"  // 18 bytes of SETTINGS on stream 0
        "000200000000"        // SETTINGS_ENABLE_PUSH
        "000300000000"        // SETTINGS_MAX_CONCURRENT_STREAMS
        "000600002000"        // SETTINGS_MAX_HEADER_LIST_SIZE
  );
}

TEST_CASE("session API bytes: the question for the versions, and the stream of events") {
  SessionApiBench bench("learn");
  CHECK(bench.request_with("/versions") ==
        ":authority: 127.0.0.1:*\n"
        ":method: GET\n"
        ":path: /versions\n"
        ":scheme: http\n"
        "accept: application/json\n"
        "\n");
  CHECK(bench.request_with("/events") ==
        ":authority: 127.0.0.1:*\n"
        ":method: GET\n"
        ":path: /events\n"
        ":scheme: http\n"
        "accept: text/event-stream\n"
        "\n");
}

TEST_CASE("session API bytes: a set-up of version 2 and its release") {
  SessionApiBench bench("session-2");
  CHECK(bench.set_up_request() ==
        ":authority: 127.0.0.1:*\n"
        ":method: POST\n"
        ":path: /sessions\n"
        ":scheme: http\n"
        "api-version: 2\n"
        "content-type: application/json\n"
        "\n"
        R"({"id":"9b1f03aa5c7e2d41","class":"voice","number":"77aa","description":"v=0\r\n\"q\" é/",)"
        R"("waitMs":*,"retailer":"acme","region":"jakarta","again":0})");
  bench.say("{\"msg\":\"close\",\"sid\":\"9b1f03aa5c7e2d41\",\"attrs\":{},\"code\":16}\n");
  CHECK(bench.request_with("DELETE") ==
        ":authority: 127.0.0.1:*\n"
        ":method: DELETE\n"
        ":path: /sessions/9b1f03aa5c7e2d41?cause=16\n"
        ":scheme: http\n"
        "\n");
}

TEST_CASE("session API bytes: a set-up of version 1") {
  SessionApiBench bench("session-1");
  CHECK(bench.set_up_request() ==
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

TEST_CASE("session API bytes: events resumed, and a session that is asked for") {
  SessionApiBench bench("session-2");
  bench.set_up_request();
  auto& events = bench.session_server.events;
  events.first->data(events.second, "id: 7\nevent: load\ndata: {\"x0\":1}\n\n");
  bench.until([&] { return bench.router->counters().load_reports > 0; });
  bench.session_server.requests.clear();
  events.first->data(events.second, "", true);
  CHECK(bench.request_with("/events") ==
        ":authority: 127.0.0.1:*\n"
        ":method: GET\n"
        ":path: /events\n"
        ":scheme: http\n"
        "accept: text/event-stream\n"
        "last-event-id: 7\n"
        "\n");
  events.first->data(events.second, "id: 9\nevent: lost\ndata: {\"before\":9}\n\n");
  CHECK(bench.request_with("GET\n:path: /sessions") ==
        ":authority: 127.0.0.1:*\n"
        ":method: GET\n"
        ":path: /sessions/9b1f03aa5c7e2d41\n"
        ":scheme: http\n"
        "\n");
}

TEST_CASE("session API bytes: every field of a set-up of version 2") {
  const auto& fields = translate::find_dialect("session-2")->of(translate::Kind::kSetUp);
  translate::Record record;
  const auto set = [&](std::string_view name, const auto& value) {
    record.set(translate::index_of(fields, name), value);
  };
  using namespace std::string_view_literals;
  set("id", "9b1f03aa5c7e2d41"sv);
  set("class", "voice"sv);
  set("number", "7f3a9c21e0b4d655"sv);
  set("description", "c=IN IP4 10.4.7.9\r\n"sv);
  set("waitMs", std::int64_t{1500});
  set("retailer", "acme"sv);
  set("region", "jakarta"sv);
  set("terminal", "TERM0001"sv);
  set("trace", "000123"sv);
  set("reference", "ref-1"sv);
  set("amountMinor", std::int64_t{999'999'999'999});
  set("currency", "360"sv);
  set("again", std::int64_t{1});
  CHECK(http2::write_body(fields, record) ==
        R"({"id":"9b1f03aa5c7e2d41","class":"voice","number":"7f3a9c21e0b4d655",)"
        R"("description":"c=IN IP4 10.4.7.9\r\n","waitMs":1500,"retailer":"acme","region":"jakarta",)"
        R"("terminal":"TERM0001","trace":"000123","reference":"ref-1","amountMinor":999999999999,)"
        R"("currency":"360","again":1})");
}

}  // namespace amberknot::tests
