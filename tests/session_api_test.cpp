// Calls of a JSON lines caller at servers of the session API, on real sockets, one test for each rule of
// docs/session-api.md. Guards against calls that are sent in a version their server does not speak, calls
// that end twice or never, and sessions that stay at a server without a caller.
#include <doctest/doctest.h>

#include <algorithm>

#include "http2/body.hpp"
#include "http2/server_process.hpp"
#include "session_api_fixture.hpp"

using namespace amberknot;
using namespace amberknot::tests;
using lab::Http2Server;
using std::chrono::seconds;

TEST_CASE("a JSON caller sets up calls at a server of version 2, and either side may release them") {
  SessionApiFixture fixture;
  SessionServer server(fixture.loop);
  fixture.list_and_wait(server, "h1");
  fixture.open_call(kSessionA, "acme");
  auto& set_up = fixture.wait_for_set_up(server);
  CHECK(set_up.version == "2");
  http2::BodyReader reader;
  translate::Record record;
  std::string fault;
  REQUIRE_MESSAGE(reader.read_set_up(2, {set_up.body.data(), set_up.body.size()}, record, fault), fault);
  const auto& fields = translate::find_dialect("session-2")->of(translate::MessageKind::kSetUp);
  CHECK(record.text(translate::index_of(fields, "id")) == kSessionA);
  CHECK(record.text(translate::index_of(fields, "retailer")) == "acme");
  CHECK(record.text(translate::index_of(fields, "region")) == "jakarta");
  CHECK(record.text(translate::index_of(fields, "number")) == "77aa");
  CHECK(record.text(translate::index_of(fields, "description")) == "sdp");
  const auto wait = record.number(translate::index_of(fields, "waitMs"));
  CHECK(wait > 1000);
  CHECK(wait <= 2000);
  SessionServer::answer(set_up, kSessionA);
  fixture.run_until([&] { return fixture.caller_received(kSessionA, "ready"); });
  CHECK(fixture.caller->has_received("desc of the server"));
  // Released by the caller.
  fixture.send_from_caller("{\"msg\":\"close\",\"sid\":\"" + kSessionA + "\",\"attrs\":{},\"code\":16}\n");
  fixture.run_until([&] { return !server.deleted_paths.empty(); });
  CHECK(server.deleted_paths.front() == "/sessions/" + kSessionA + "?cause=16");
  // Released by the server.
  fixture.establish(server, kSessionB);
  server.send_event(1, "released", R"({"id":")" + kSessionB + R"(","cause":16})");
  fixture.run_until([&] { return fixture.caller_received(kSessionB, "close"); });
  fixture.wait_for_messages_in_transit();
  CHECK(server.deleted_paths.size() == 1);
  CHECK(fixture.router->table().established() == 0);
}

// A server that hangs sends no event that could end its sessions, and its connections come up as before.
TEST_CASE("the sessions of a server that falls silent are released to their callers within 8 s") {
  SessionApiFixture fixture;
  SessionServer server(fixture.loop);
  fixture.list_and_wait(server, "h1");
  fixture.establish(server, kSessionA);
  server.http2.is_hung = true;
  const Instant silent_since = net::Loop::now();
  fixture.run_until([&] { return net::Loop::now() - silent_since >= seconds{4}; });
  CHECK_FALSE(fixture.caller_received(kSessionA, "close"));
  fixture.run_until([&] { return fixture.caller_received(kSessionA, "close"); });
  CHECK(net::Loop::now() - silent_since < seconds{8});
  // The server may still have the session.
  server.http2.is_hung = false;
  fixture.run_until([&] { return !server.deleted_paths.empty(); });
  CHECK(server.deleted_paths.front() == "/sessions/" + kSessionA + "?cause=41");
}

TEST_CASE("a server without /versions gets version 1, without the fields that version 1 does not have") {
  SessionApiFixture fixture;
  SessionServer server(fixture.loop, "");
  fixture.list_and_wait(server, "h1");
  fixture.open_call(kSessionA, "toko");  // this tenant has no region, and version 1 needs none
  auto& set_up = fixture.wait_for_set_up(server);
  CHECK(set_up.version == "1");
  CHECK(set_up.body.find("retailer") == std::string::npos);
  SessionServer::answer(set_up, kSessionA);
  fixture.run_until([&] { return fixture.caller_received(kSessionA, "ready"); });
}

TEST_CASE(
    "a call goes only to servers whose version can carry its fields, and fails at once if there is none") {
  SessionApiFixture fixture;
  SessionServer version_2_server(fixture.loop);
  fixture.list_and_wait(version_2_server, "h2");
  const Instant opened_at = Loop::now();
  fixture.open_call(kSessionA, "toko");
  fixture.run_until([&] { return fixture.caller_received(kSessionA, "close"); });
  CHECK(Loop::now() - opened_at < milliseconds{500});
  CHECK(fixture.caller->has_received("\"code\":100"));
  SessionServer version_1_server(fixture.loop, R"({"versions":[1],"process":"q"})");
  fixture.list_and_wait(version_1_server, "h1");
  fixture.open_call(kSessionB, "toko");
  SessionServer::answer(fixture.wait_for_set_up(version_1_server), kSessionB);
  fixture.run_until([&] { return fixture.caller_received(kSessionB, "ready"); });
  CHECK(version_2_server.set_ups.empty());
}

TEST_CASE("a rejected field excludes the version for the call, which is set up in the other version") {
  SessionApiFixture fixture;
  SessionServer version_2_server(fixture.loop), other_version_2_server(fixture.loop);
  version_2_server.on_set_up = other_version_2_server.on_set_up = [](SessionServer::SetUp& set_up) {
    SessionServer::reject(set_up, 422, "value");
  };
  fixture.list_and_wait(version_2_server, "h2");
  fixture.list_and_wait(other_version_2_server, "h3");
  SessionServer version_1_server(fixture.loop, R"({"versions":[1],"process":"q"})");
  version_1_server.on_set_up = [](SessionServer::SetUp& set_up) {
    SessionServer::answer(set_up, set_up.body.substr(7, 16));
  };
  fixture.list_and_wait(version_1_server, "h1");
  // Each call tries each version at most once, in either order, and no server is excluded for other calls.
  for (int i = 0; i < 30; ++i) {
    const std::string sid = std::to_string(1'000'000'000'000'000 + i);
    fixture.open_call(sid, "acme");
    fixture.run_until([&] { return fixture.caller_received(sid, "ready"); });
  }
  CHECK(version_1_server.set_ups.size() == 30);
  CHECK(version_2_server.set_ups.size() + other_version_2_server.set_ups.size() <= 30);
  CHECK(version_2_server.set_ups.size() + other_version_2_server.set_ups.size() > 1);
}

TEST_CASE("each error response ends the call once, with its code and retry time") {
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
      {429, "over-share", "3600", "\"code\":42", "\"wait\":\"2000\""},  // capped by max_retry_after
  };
  for (const auto& test_case : cases) {
    CAPTURE(test_case.type);
    SessionApiFixture fixture;
    SessionServer server(fixture.loop);
    server.on_set_up = [&](SessionServer::SetUp& set_up) {
      SessionServer::reject(set_up, test_case.status, test_case.type, test_case.retry_after);
    };
    fixture.list_and_wait(server, "h1");
    fixture.open_call(kSessionA, "acme");
    fixture.run_until([&] { return fixture.caller_received(kSessionA, "close"); });
    CHECK_MESSAGE((fixture.caller->has_received(test_case.code + "}") ||
                   fixture.caller->has_received(test_case.code + ",")),
                  fixture.caller->received);
    if (!test_case.wait.empty())
      CHECK_MESSAGE(fixture.caller->has_received(test_case.wait), fixture.caller->received);
    CHECK(server.set_ups.size() == 1);
    fixture.wait_for_messages_in_transit();
    CHECK(fixture.caller->count(kSessionA) == 1);
  }
}

TEST_CASE(
    "a set-up that was not processed is retried at once, one that may have been processed after a wait") {
  SessionApiFixture fixture;
  SessionServer server(fixture.loop);
  fixture.list_and_wait(server, "h1");
  fixture.open_call(kSessionA, "acme");
  auto& first = fixture.wait_for_set_up(server);
  const Instant rejected_at = Loop::now();
  first.peer->reset_stream(first.stream, NGHTTP2_REFUSED_STREAM);
  fixture.wait_for_set_up(server, 2);
  CHECK(Loop::now() - rejected_at < milliseconds{400});
  auto& second = server.set_ups[1];
  const Instant reset_at = Loop::now();
  second.peer->reset_stream(second.stream, NGHTTP2_INTERNAL_ERROR);
  fixture.wait_for_set_up(server, 3);
  CHECK(Loop::now() - reset_at >= milliseconds{500});
  SessionServer::answer(server.set_ups[2], kSessionA);
  fixture.run_until([&] { return fixture.caller_received(kSessionA, "ready"); });
}

TEST_CASE("when a caller gives up, the session that may have been established is deleted") {
  SessionApiFixture fixture;
  SessionServer server(fixture.loop);
  fixture.list_and_wait(server, "h1");
  fixture.open_call(kSessionA, "acme");
  auto& set_up = fixture.wait_for_set_up(server);
  fixture.send_from_caller("{\"msg\":\"close\",\"sid\":\"" + kSessionA + "\",\"attrs\":{},\"code\":16}\n");
  SessionServer::answer(set_up, kSessionA);  // crosses the cancel on the wire
  fixture.run_until([&] { return !server.deleted_paths.empty(); });
  CHECK(server.deleted_paths.front().find(kSessionA) != std::string::npos);
  fixture.wait_for_messages_in_transit();
  CHECK_FALSE(fixture.caller_received(kSessionA, "ready"));
}

TEST_CASE("a release is retried until the server confirms it") {
  SessionApiFixture fixture;
  SessionServer server(fixture.loop);
  fixture.list_and_wait(server, "h1");
  fixture.establish(server, kSessionA);
  server.failing_deletes = 2;
  fixture.send_from_caller("{\"msg\":\"close\",\"sid\":\"" + kSessionA + "\",\"attrs\":{},\"code\":16}\n");
  fixture.run_until([&] { return server.deleted_paths.size() == 3; });
  fixture.wait_for_messages_in_transit();
  CHECK(server.deleted_paths.size() == 3);
}

TEST_CASE(
    "when a server's address changes, outstanding set-ups are retried and unconfirmed releases sent to the "
    "new address") {
  SessionApiFixture fixture;
  SessionServer old_server(fixture.loop), new_server(fixture.loop);
  fixture.list_and_wait(old_server, "h1");
  fixture.establish(old_server, kSessionA);
  old_server.ignore_deletes = true;
  fixture.send_from_caller("{\"msg\":\"close\",\"sid\":\"" + kSessionA + "\",\"attrs\":{},\"code\":16}\n");
  fixture.run_until([&] { return old_server.deleted_paths.size() == 1; });
  fixture.open_call(kSessionB, "acme");
  fixture.wait_for_set_up(old_server, 2);
  const Instant moved_at = Loop::now();
  fixture.list_and_wait(new_server, "h1");
  fixture.run_until([&] { return new_server.deleted_paths.size() == 1; });
  // The outstanding set-up counts as reset, so it is not retried before the release wait is over.
  SessionServer::answer(fixture.wait_for_set_up(new_server), kSessionB);
  CHECK(Loop::now() - moved_at >= milliseconds{500});
  fixture.run_until([&] { return fixture.caller_received(kSessionB, "ready"); });
}

TEST_CASE("a server that drains, by the endpoint list or by its own event, gets no new set-ups") {
  SessionApiFixture fixture;
  SessionServer server(fixture.loop);
  fixture.list_and_wait(server, "h1");
  fixture.establish(server, kSessionA);
  SUBCASE("by the endpoint list") {
    fixture.list_server(server, "h1", EndpointState::kDraining);
  }
  SUBCASE("by its own event") {
    server.send_event(1, "draining", "{}");
    server.send_event(2, "load", R"({"x0":3})");
    const auto before = fixture.router->counters().load_reports;
    fixture.run_until([&] { return fixture.router->counters().load_reports > before; });
  }
  fixture.open_call(kSessionB, "acme", 300);
  fixture.run_until([&] { return fixture.caller_received(kSessionB, "close"); });
  CHECK(server.set_ups.size() == 1);
  CHECK(fixture.router->table().established() == 1);  // the established session continues
  server.send_event(3, "released", R"({"id":")" + kSessionA + R"(","cause":16})");
  fixture.run_until([&] { return fixture.caller_received(kSessionA, "close"); });
}

TEST_CASE("the event stream resumes after a break, and repeated events are ignored") {
  SessionApiFixture fixture;
  SessionServer server(fixture.loop);
  fixture.list_and_wait(server, "h1");
  fixture.establish(server, kSessionA);
  fixture.establish(server, kSessionB);
  server.send_event(7, "load", R"({"x0":3})");
  fixture.run_until([&] { return fixture.router->counters().load_reports > 0; });
  const int requests_before = server.event_stream_requests;
  server.event_stream.first->reset_stream(server.event_stream.second, NGHTTP2_INTERNAL_ERROR);
  fixture.run_until([&] { return server.event_stream_requests > requests_before; });
  CHECK(server.last_event_id == "7");
  // Ignored, because event 7 has been processed.
  server.send_event(7, "released", R"({"id":")" + kSessionB + R"(","cause":16})");
  server.send_event(8, "released", R"({"id":")" + kSessionA + R"(","cause":16})");
  fixture.run_until([&] { return fixture.caller_received(kSessionA, "close"); });
  CHECK_FALSE(fixture.caller_received(kSessionB, "close"));
  // Sessions whose events the server has dropped are checked one by one; it answers 404 to each check.
  server.send_event(9, "lost", R"({"before":9})");
  fixture.run_until([&] { return fixture.caller_received(kSessionB, "close"); });
  CHECK(server.checked_paths == std::vector<std::string>{"/sessions/" + kSessionB});
}

TEST_CASE("a session end that arrives before the set-up answer ends the call after it is established") {
  SessionApiFixture fixture;
  SessionServer server(fixture.loop);
  fixture.list_and_wait(server, "h1");
  fixture.open_call(kSessionA, "acme");
  auto& set_up = fixture.wait_for_set_up(server);
  server.send_event(1, "released", R"({"id":")" + kSessionA + R"(","cause":16})");
  server.send_event(2, "load", R"({"x0":3})");
  fixture.run_until([&] { return fixture.router->counters().load_reports > 0; });
  SessionServer::answer(set_up, kSessionA);
  fixture.run_until([&] { return fixture.caller_received(kSessionA, "close"); });
  CHECK(fixture.caller_received(kSessionA, "ready"));
  CHECK(fixture.caller->count(kSessionA) == 2);
}

TEST_CASE(
    "after a process is replaced at the same address, its calls are ended and its version is asked again") {
  SessionApiFixture fixture;
  SessionServer server(fixture.loop);
  fixture.list_and_wait(server, "h1");
  fixture.establish(server, kSessionA);
  const auto old_version = fixture.version_of("h1");
  server.http2.crash();
  server.versions = R"({"versions":[1],"process":"p2"})";
  server.http2.restart();
  fixture.run_until([&] { return fixture.caller_received(kSessionA, "close"); });
  fixture.run_until([&] { return fixture.version_of("h1") != old_version; });
  const auto before = server.set_ups.size();
  fixture.open_call(kSessionB, "acme");
  auto& set_up = fixture.wait_for_set_up(server, before + 1);
  CHECK(set_up.version == "1");
  SessionServer::answer(set_up, kSessionB);
  fixture.run_until([&] { return fixture.caller_received(kSessionB, "ready"); });
}

// Guards against releases that were dropped because the new process numbers its events anew.
TEST_CASE("releases that a new process reports reach the callers although its event numbers are lower") {
  struct NewProcess {
    std::string what;
    std::string versions;
    bool sends_lost;
    bool is_announced;
  };
  const NewProcess new_processes[] = {
      {"named, says that events are lost", R"({"versions":[1,2],"process":"p2"})", true, false},
      {"named, says nothing of lost events", R"({"versions":[1,2],"process":"p2"})", false, false},
      {"named, and announced by the endpoint list", R"({"versions":[1,2],"process":"p2"})", false, true},
      {"without a name", "", true, false},
  };
  for (const auto& process : new_processes) {
    CAPTURE(process.what);
    SessionApiFixture fixture;
    SessionServer server(fixture.loop);
    fixture.list_and_wait(server, "h1");
    fixture.establish(server, kSessionA);
    server.send_event(86, "load", R"({"x0":3})");
    fixture.run_until([&] { return fixture.router->counters().load_reports > 0; });
    server.http2.crash();
    server.versions = process.versions;
    const int versions_requests_before = server.versions_requests;
    server.http2.restart();
    if (process.is_announced) fixture.list_server(server, "h1", EndpointState::kReady, net::Loop::unix_ms());
    fixture.run_until([&] { return server.versions_requests >= versions_requests_before + 2; });
    fixture.wait_for_messages_in_transit();
    const int requests_before = server.event_stream_requests;
    if (process.sends_lost)
      server.event_stream.first->send_data(server.event_stream.second,
                                           "event: lost\ndata: {\"before\":1}\n\n");
    fixture.run_until([&] { return fixture.caller_received(kSessionA, "close"); });
    // A stream that was opened with the number of the process before is opened again.
    if (!process.sends_lost) {
      fixture.run_until([&] { return server.last_event_id == "0"; });
      CHECK(server.event_stream_requests >= requests_before);
    }
    fixture.establish(server, kSessionB);
    server.send_event(1, "released", R"({"id":")" + kSessionB + R"(","cause":16})");
    fixture.run_until([&] { return fixture.caller_received(kSessionB, "close"); });
  }
}

// Guards against the event numbers of a process that the endpoint list shows to be gone: the events of the
// next one, which has no name and does not say that events are lost, counted as repeated.
TEST_CASE("a process that only the endpoint list announces is asked for all its events") {
  SessionApiFixture fixture;
  SessionServer server(fixture.loop, ""), moved(fixture.loop, "");
  fixture.list_and_wait(server, "h1");
  server.send_event(86, "load", R"({"x0":3})");
  fixture.run_until([&] { return fixture.router->counters().load_reports > 0; });
  auto* successor = &server;
  SUBCASE("at the same address, with a later start") {
    fixture.wait_for_messages_in_transit();
    server.http2.crash();
    server.http2.restart();
    const int requests_before = server.event_stream_requests;
    fixture.run_until([&] { return server.event_stream_requests > requests_before; });
    CHECK(server.last_event_id == "86");
    fixture.list_server(server, "h1", EndpointState::kReady, net::Loop::unix_ms());
  }
  SUBCASE("at another address") {
    fixture.list_server(moved, "h1");
    successor = &moved;
  }
  fixture.run_until([&] { return successor->last_event_id == "0"; });
  fixture.establish(*successor, kSessionB);
  successor->send_event(1, "released", R"({"id":")" + kSessionB + R"(","cause":16})");
  fixture.run_until([&] { return fixture.caller_received(kSessionB, "close"); });
}

// Guards against a server that is avoided for good because the process before it drained.
TEST_CASE("a new process gets calls although the process before it had reported that it drains") {
  for (const std::string& versions : {std::string(R"({"versions":[1,2],"process":"p2"})"), std::string()}) {
    CAPTURE(versions);
    SessionApiFixture fixture;
    SessionServer server(fixture.loop);
    fixture.list_and_wait(server, "h1");
    server.send_event(86, "draining", "{}");
    server.send_event(87, "load", R"({"x0":3})");
    fixture.run_until([&] { return fixture.router->counters().load_reports > 0; });
    server.http2.crash();
    server.versions = versions;
    server.http2.restart();
    const int requests_before = server.event_stream_requests;
    fixture.run_until([&] { return server.event_stream_requests > requests_before; });
    server.event_stream.first->send_data(server.event_stream.second, "event: lost\ndata: {\"before\":1}\n\n");
    fixture.establish(server, kSessionA);
  }
}

// Guards against a new process at a server with a configured version that is never noticed.
TEST_CASE("a server with a configured version is asked for its process on each connection") {
  SessionApiFixture fixture(make_operator_file("session-1"));
  SessionServer server(fixture.loop, R"({"versions":[1],"process":"p1"})");
  fixture.list_and_wait(server, "h1");
  fixture.establish(server, kSessionA);
  fixture.run_until([&] { return server.versions_requests >= 2; });
  server.http2.crash();
  server.versions = R"({"versions":[1],"process":"p2"})";
  server.http2.restart();
  fixture.run_until([&] { return fixture.caller_received(kSessionA, "close"); });
  CHECK(server.versions_requests >= 3);
}

TEST_CASE("the process of a server is known by its name and its event numbers") {
  using http2::EventCursor;
  using http2::ServerProcess;
  const Instant start{std::chrono::seconds{1}};
  ServerProcess process;
  CHECK(process.on_reported("p1", start) == ServerProcess::Verdict::kUnchanged);
  CHECK(process.on_reported("p1", start + milliseconds{1}) == ServerProcess::Verdict::kUnchanged);
  CHECK(process.on_reported("p2", start + milliseconds{5}) == ServerProcess::Verdict::kReplaced);
  // A connection that is older than that to the new process belongs to the one before.
  CHECK(process.on_reported("p1", start + milliseconds{2}) == ServerProcess::Verdict::kPredecessor);
  CHECK(process.on_reported("", start + milliseconds{9}) == ServerProcess::Verdict::kReplaced);
  CHECK(process.first_connected_at() == start + milliseconds{9});

  EventCursor cursor;
  CHECK_FALSE(cursor.is_repeated(1));
  CHECK_FALSE(cursor.on_process_replaced(start));
  cursor.on_received(41, start);
  CHECK(cursor.is_repeated(41));
  CHECK_FALSE(cursor.is_repeated(42));
  CHECK_FALSE(cursor.on_lost(60, start));  // events that are too old, of the same process
  CHECK_FALSE(cursor.is_repeated(60));
  CHECK(cursor.on_lost(1, start + milliseconds{5}));  // another process, which counts from 1
  CHECK_FALSE(cursor.is_repeated(1));
  // Events of the new process that were received already are not read again.
  cursor.on_received(3, start + milliseconds{6});
  CHECK_FALSE(cursor.on_process_replaced(start + milliseconds{5}));
  CHECK(cursor.last_number() == 3U);
  CHECK(cursor.on_process_replaced(start + milliseconds{7}));
  CHECK(cursor.last_number() == 0U);
  // The stream from the first event on is not opened a second time.
  CHECK_FALSE(cursor.on_process_replaced(start + milliseconds{8}));
}

TEST_CASE("a server that denies its old version after an upgrade is asked for its versions again") {
  SessionApiFixture fixture;
  SessionServer server(fixture.loop, R"({"versions":[1],"process":"p1"})");
  fixture.list_and_wait(server, "h1");
  server.versions = R"({"versions":[2],"process":"p1"})";
  server.on_set_up = [](SessionServer::SetUp& set_up) {
    if (set_up.version == "1") {
      SessionServer::reject(set_up, 505, "version-not-taken");
    } else {
      SessionServer::answer(set_up, kSessionA);
    }
  };
  fixture.open_call(kSessionA, "acme");
  fixture.run_until([&] { return fixture.caller_received(kSessionA, "ready"); });
  CHECK(server.set_ups.size() == 2);
}

// Guards against a refusal, which invites the caller to dial again, of a call that a server may have
// executed: an error that another server had given before took precedence.
TEST_CASE(
    "a call that is not idempotent is failed if it may have been executed, whatever another server said "
    "before") {
  using Server = SessionServer;
  struct SecondServer {
    std::string what;
    bool uses_sip;
    std::function<void(Server::SetUp&)> end_session_api;
    std::function<void(RouterFixture&, TestConnection&)> end_sip;
    bool may_be_executed;
  };
  const auto answer_sip = [](const std::string& status) {
    return [status](RouterFixture&, TestConnection& connection) {
      connection.stream->send(RouterFixture::sip_message("SIP/2.0 " + status, kSessionA, "1 INVITE"));
    };
  };
  const std::vector<SecondServer> second_servers = {
      {"session API, reset", false, [](Server::SetUp& one) { one.peer->reset_connection(); }, {}, true},
      {"session API, 504", false, [](Server::SetUp& one) { Server::reject(one, 504, ""); }, {}, true},
      {"session API, 500", false, [](Server::SetUp& one) { Server::reject(one, 500, ""); }, {}, true},
      {"session API, silent", false, [](Server::SetUp&) {}, {}, true},
      {"session API, 503", false, [](Server::SetUp& one) { Server::reject(one, 503, ""); }, {}, false},
      {"SIP, reset", true, {}, [](RouterFixture&, TestConnection& one) { one.reset(); }, true},
      {"SIP, 504", true, {}, answer_sip("504 Reset"), true},
      {"SIP, 500", true, {}, answer_sip("500 Error"), true},
      {"SIP, silent", true, {}, [](RouterFixture&, TestConnection&) {}, true},
  };
  for (const auto& second : second_servers) {
    CAPTURE(second.what);
    auto file = make_operator_file();
    file.session_api->servers = {{"h2", "learn"}};
    if (!second.uses_sip) file.session_api->servers["h1"] = "learn";
    auto config = config_with_two_tenants();
    for (auto& call_class : config.settings.classes) call_class.idempotent = false;
    SessionApiFixture fixture(file, config);
    SessionServer version_2_server(fixture.loop);
    version_2_server.on_set_up = [](Server::SetUp& set_up) { Server::reject(set_up, 421, "region-closed"); };
    SessionServer version_1_server(fixture.loop, R"({"versions":[1],"process":"q"})");
    version_1_server.on_set_up = second.end_session_api;
    fixture.list_and_wait(version_2_server, "h2");
    // The second server is listed when the first one has refused the call and it waits.
    fixture.open_call(kSessionA, "acme", 1000);
    if (second.uses_sip) {
      fixture.announce_server();
      second.end_sip(
          fixture, *[&] {
            const auto text = "Call-ID: " + kSessionA;
            fixture.run_until([&] { return fixture.server.find_connection_with(text) != nullptr; });
            return fixture.server.find_connection_with(text);
          }());
    } else {
      fixture.list_and_wait(version_1_server, "h1");
    }
    fixture.run_until([&] { return fixture.caller_received(kSessionA, "close"); });
    const bool is_rejected = fixture.caller->has_received("\"code\":42") ||
                             fixture.caller->has_received("\"code\":34") ||
                             fixture.caller->has_received("\"code\":102");
    CHECK(is_rejected != second.may_be_executed);
    if (second.may_be_executed) CHECK(version_1_server.set_ups.size() == (second.uses_sip ? 0 : 1));
  }
}

TEST_CASE("an invalid set-up answer releases the session and ends the call") {
  for (const std::string& body :
       {std::string("nonsense"), std::string(R"({"id":"00000000000000cc","description":"d","region":"r"})"),
        std::string(R"({"id":"00000000000000aa","description":"d"})")}) {
    SessionApiFixture fixture;
    SessionServer server(fixture.loop);
    fixture.list_and_wait(server, "h1");
    fixture.open_call(kSessionA, "acme", 300);
    auto& set_up = fixture.wait_for_set_up(server);
    set_up.peer->respond(set_up.stream, 201, {}, body);
    fixture.run_until([&] { return fixture.caller_received(kSessionA, "close"); });
    fixture.run_until([&] { return !server.deleted_paths.empty(); });
    CHECK_FALSE(fixture.caller_received(kSessionA, "ready"));
  }
}

TEST_CASE(
    "without a translation row for the region, a router with servers of version 2 does not start and reports "
    "why") {
  auto file = make_operator_file();
  file.translate = {};
  std::string message;
  try {
    SessionApiFixture fixture(file);
  } catch (const app::ConfigError& error) {
    message = error.what();
  }
  CHECK(message.find("region: is required and nothing says where it comes from") != std::string::npos);
  SessionApiFixture version_1_fixture(make_operator_file("session-1"));
}
