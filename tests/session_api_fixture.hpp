// Fixture of the session API tests: a router between JSON lines callers and servers of the session API, which
// are stand-ins on loopback.
#pragma once

#include "lab/http2_server.hpp"
#include "net_bench.hpp"

namespace amberknot::tests {

using lab::Http2Server;

inline const std::string kSessionA = "00000000000000aa";
inline const std::string kSessionB = "00000000000000bb";

inline app::OperatorFile make_operator_file(const std::string& version = "learn") {
  app::OperatorFile file;
  file.session_api.emplace();
  file.session_api->servers["*"] = version;
  const auto faults = translate::parse_operator_table(
      R"({"rows":[{"to":"session-2","field":"region","by":"@tenant","table":{"acme":"jakarta"},"otherwise":"not-eligible"}]})",
      file.translate);
  REQUIRE(faults.empty());
  return file;
}

inline app::Config config_with_two_tenants() {
  auto config = router_config();
  config.names.tenants = {"acme", "toko"};
  config.settings.tenants.resize(2);
  return config;
}

/// A session server that answers all requests but set-ups, which it keeps for the test to answer.
struct SessionServer {
  struct SetUp {
    Http2Server::Peer* peer;
    std::int32_t stream;
    std::string body;
    std::string version;
    bool was_reset = false;
  };

  explicit SessionServer(net::Loop& loop, std::string versions = R"({"versions":[1,2],"process":"p1"})")
      : versions(std::move(versions)), http2(loop) {
    http2.on_request = [this](Http2Server::Peer& peer, std::int32_t stream_id,
                              Http2Server::Peer::Request& request) {
      if (request.path == "/versions") {
        ++versions_requests;
        if (this->versions.empty()) {
          peer.respond(stream_id, 404, {}, "");
        } else {
          peer.respond(stream_id, 200, {{"content-type", "application/json"}}, this->versions);
        }
      } else if (request.path == "/events") {
        event_stream = {&peer, stream_id};
        ++event_stream_requests;
        last_event_id = request.headers.contains("last-event-id") ? request.headers["last-event-id"] : "";
        peer.respond(stream_id, 200, {{"content-type", "text/event-stream"}}, ":\n\n", false);
      } else if (request.method == "POST") {
        set_ups.push_back({&peer, stream_id, request.body, request.headers["api-version"]});
        if (on_set_up) on_set_up(set_ups.back());
      } else if (request.method == "DELETE") {
        deleted_paths.push_back(request.path);
        last_deleting_peer = &peer;
        if (ignore_deletes) return;
        peer.respond(stream_id, failing_deletes-- > 0 ? 500 : 204, {}, "");
      } else {
        checked_paths.push_back(request.path);
        peer.respond(stream_id, holds_checked_sessions ? 200 : 404, {}, "");
      }
    };
    http2.on_reset = [this](Http2Server::Peer& peer, std::int32_t stream_id,
                            Http2Server::Peer::Request& /*request*/) {
      for (auto& set_up : set_ups) {
        if (set_up.peer == &peer && set_up.stream == stream_id) set_up.was_reset = true;
      }
    };
  }
  static void answer(SetUp& set_up, const std::string& sid,
                     const std::string& description = "desc of the server") {
    const std::string region = set_up.version == "2" ? R"(,"region":"jakarta")" : "";
    set_up.peer->respond(set_up.stream, 201, {{"content-type", "application/json"}},
                         R"({"id":")" + sid + R"(","description":")" + description + "\"" + region + "}");
  }
  static void reject(SetUp& set_up, int status, const std::string& type,
                     const std::string& retry_after = "") {
    Http2Server::Headers headers = {{"content-type", "application/problem+json"}};
    if (!retry_after.empty()) headers.emplace_back("retry-after", retry_after);
    set_up.peer->respond(set_up.stream, status, headers, R"({"type":"https://kartu.example/)" + type + "\"}");
  }
  void send_event(std::uint64_t event_id, const std::string& name, const std::string& data) {
    event_stream.first->send_data(event_stream.second, "id: " + std::to_string(event_id) +
                                                           "\nevent: " + name + "\ndata: " + data + "\n\n");
  }

  std::string versions;
  Http2Server http2;
  std::vector<SetUp> set_ups;
  std::function<void(SetUp&)> on_set_up;
  std::vector<std::string> deleted_paths, checked_paths;
  std::pair<Http2Server::Peer*, std::int32_t> event_stream{};
  Http2Server::Peer* last_deleting_peer = nullptr;
  std::string last_event_id;
  int versions_requests = 0, event_stream_requests = 0, failing_deletes = 0;
  bool ignore_deletes = false;
  bool holds_checked_sessions = false;  ///< the answer to a request for a session
};

struct SessionApiFixture : RouterFixture {
  explicit SessionApiFixture(const app::OperatorFile& file = make_operator_file(),
                             const app::Config& config = config_with_two_tenants())
      : RouterFixture(file, config) {}
  void list_server(SessionServer& server, const std::string& name,
                   EndpointState state = EndpointState::kReady, std::int64_t started = 0) {
    discovery::EndpointUpdate update;
    update.has_endpoint_list = true;
    update.changes.push_back({name, server.http2.address(), 0, state, started});
    router->apply_endpoint_update(update);
  }
  /// Lists the server, and waits until its version is known and its event stream is open.
  void list_and_wait(SessionServer& server, const std::string& name) {
    const int requests_before = server.event_stream_requests;
    list_server(server, name);
    run_until([&] {
      return server.event_stream_requests > requests_before && version_of(name) != core::kUnknownVersion;
    });
  }
  ProtocolVersion version_of(const std::string& name) {
    return router->servers().find(std::string_view(name))->version;
  }
  SessionServer::SetUp& wait_for_set_up(SessionServer& server, std::size_t count = 1) {
    run_until([&] { return server.set_ups.size() >= count; });
    return server.set_ups[count - 1];
  }
  void open_call(const std::string& sid, const std::string& tenant, int remaining_ms = 2000) {
    send_from_caller("{\"msg\":\"open\",\"sid\":\"" + sid + "\",\"attrs\":{\"class\":\"voice\",\"left\":\"" +
                     std::to_string(remaining_ms) + "\",\"tenant\":\"" + tenant +
                     "\",\"key\":\"77aa\",\"extras\":\"dest:0;width:1;via:-1\"},\"text\":\"sdp\"}\n");
  }
  bool caller_received(const std::string& sid, const std::string& type) {
    return caller->has_received("\"msg\":\"" + type + "\",\"sid\":\"" + sid);
  }
  void establish(SessionServer& server, const std::string& sid) {
    const auto before = server.set_ups.size();
    open_call(sid, "acme");
    SessionServer::answer(wait_for_set_up(server, before + 1), sid);
    run_until([&] { return caller_received(sid, "ready"); });
  }
};

}  // namespace amberknot::tests
