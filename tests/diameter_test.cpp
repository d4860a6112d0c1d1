// Tests of the Diameter codec, frontend and connection pool. The frontend and the pool run in a whole router,
// against test peers on loopback.
#include "core/connection_drain.hpp"
#include "diameter/results.hpp"
#include "diameter_fixture.hpp"

using namespace amberknot;
using namespace amberknot::tests;
using namespace amberknot::diameter;

TEST_CASE("Diameter: the codec reads messages and reports faults with the RFC's Result-Codes") {
  auto good = Writer::request(Command::kCreditControl, kCreditControl, 1, 2)
                  .add(AvpCode::kSessionId, "abcde")
                  .finish();
  const auto with_bytes = [&](std::size_t at, std::string_view bytes) {
    return std::string(good).replace(at, bytes.size(), bytes);
  };
  using namespace std::string_view_literals;
  struct Case {
    const char* name;
    std::string bytes;
    ReadResult::State state;
    ResultCode result;
  };
  const Case cases[] = {
      {"valid message", good, ReadResult::State::kComplete, ResultCode::kSuccess},
      {"cut", good.substr(0, good.size() - 1), ReadResult::State::kIncomplete, ResultCode::kSuccess},
      {"version", with_bytes(0, "\2"sv), ReadResult::State::kComplete, ResultCode::kUnsupportedVersion},
      {"length that is no multiple of four", with_bytes(1, "\0\0\x15"sv), ReadResult::State::kComplete,
       ResultCode::kInvalidMessageLength},
      {"message over the limit", with_bytes(1, "\xff\0\0"sv), ReadResult::State::kTooLong,
       ResultCode::kSuccess},
      {"error bit in a request", with_bytes(4, "\xe0"sv), ReadResult::State::kComplete,
       ResultCode::kInvalidHeaderBits},
      {"reserved AVP bit", with_bytes(24, "\x41"sv), ReadResult::State::kComplete,
       ResultCode::kInvalidAvpBits},
      {"unknown mandatory AVP", with_bytes(20, "\0\0\x7f\0"sv), ReadResult::State::kComplete,
       ResultCode::kAvpUnsupported},
      {"AVP past the end", with_bytes(25, "\0\0\xff"sv), ReadResult::State::kComplete,
       ResultCode::kInvalidAvpLength},
      {"AVP shorter than its header", with_bytes(25, "\0\0\4"sv), ReadResult::State::kComplete,
       ResultCode::kInvalidAvpLength},
      {"Unsigned32 of five bytes", with_bytes(20, "\0\0\1\x0c"sv), ReadResult::State::kComplete,
       ResultCode::kInvalidAvpLength},
      {"malformed group", with_bytes(20, "\0\0\1\xbb"sv), ReadResult::State::kComplete,
       ResultCode::kInvalidAvpLength},
  };
  for (const auto& test_case : cases) {
    CAPTURE(test_case.name);
    const auto read = read_message(test_case.bytes, net::kMaxMessageBytes);
    CHECK(read.state == test_case.state);
    CHECK(read.fault.result == test_case.result);
  }
}

TEST_CASE("Diameter: Result-Codes are mapped to outcomes") {
  struct Case {
    std::uint32_t code;
    Outcome outcome;
    bool is_user_error;
  };
  const Case cases[] = {
      {2001, Outcome::kOk, false},    {2002, Outcome::kOk, false},    {3002, Outcome::kNotSent, false},
      {3004, Outcome::kFull, false},  {3001, Outcome::kError, false}, {4012, Outcome::kError, true},
      {5012, Outcome::kError, false}, {5030, Outcome::kError, true},  {0, Outcome::kError, false}};
  for (const auto& test_case : cases) {
    CAPTURE(test_case.code);
    CHECK(find_meaning(test_case.code).outcome == test_case.outcome);
    CHECK(find_meaning(test_case.code).is_user_error == test_case.is_user_error);
  }
}

TEST_CASE("Diameter: a call is set up between client and server, and its abort is sent to the client once") {
  DiameterFixture fixture(operator_file(true, true), true);
  auto& client = *fixture.client_end;
  client.send_initial_request("till;1");
  fixture.run_until([&] { return fixture.peer().initial_requests().size() == 1; });
  const auto ccr = fixture.peer().initial_requests()[0];
  CHECK(ccr.parameter(ServiceParameter::kDescription) == "desc");
  CHECK(ccr.text(AvpCode::kServiceContextId) == "voice@kartu.example");
  fixture.peer().send_answer(ccr, ResultCode::kSuccess, "a\r\nb");
  fixture.run_until([&] { return client.answers().size() == 1; });
  CHECK(result_of(client.answers()[0]) == 2001);
  CHECK(client.answers()[0].text(AvpCode::kSessionId) == "till;1");
  CHECK(client.answers()[0].parameter(ServiceParameter::kDescription) == "a\r\nb");

  auto asr = fixture.peer().request(Command::kAbortSession, kCreditControl);
  fixture.peer().add_origin(asr.add(AvpCode::kSessionId, ccr.text(AvpCode::kSessionId)));
  const auto raw = asr.finish();
  fixture.peer().stream->send(std::string(raw));
  fixture.peer().stream->send(std::string(raw));
  fixture.run_until([&] { return fixture.peer().find_messages(Command::kAbortSession, false).size() == 2; });
  CHECK(result_of(fixture.peer().find_messages(Command::kAbortSession, false)[1]) == 5002);
  fixture.run_until(
      [&] { return !client.abort_requests().empty() && !fixture.peer().termination_requests().empty(); });
  client.send_message(client.credit_control_request("till;1", RequestType::kTermination));
  fixture.run_until([&] { return client.answers().size() == 2; });
  CHECK(result_of(client.answers()[1]) == 2001);
  client.send_message(client.credit_control_request("till;1", RequestType::kTermination));
  fixture.run_until([&] { return client.answers().size() == 3; });
  CHECK(result_of(client.answers()[2]) == 5002);
  CHECK(client.abort_requests().size() == 1);
}

TEST_CASE("Diameter: a client's call is set up at a SIP server and released there by its termination") {
  DiameterFixture fixture(operator_file(false, true));
  fixture.server.make_connection = nullptr;
  fixture.run_until([&] { return fixture.server.connections.size() == 2; });
  fixture.server.connections.clear();
  fixture.announce_server();
  fixture.client_end = fixture.connect_client("till.acme");
  auto& client = *fixture.client_end;
  client.send_initial_request("till;1");
  fixture.run_until([&] { return fixture.server.find_connection_with("INVITE sip:77aa@net") != nullptr; });
  auto& end = *fixture.server.find_connection_with("INVITE sip:77aa@net");
  const auto at = end.received.find("Call-ID: ") + 9;
  const auto sid = end.received.substr(at, 16);
  fixture.answer(end, sid, "sdp");
  fixture.run_until([&] { return client.answers().size() == 1; });
  CHECK(client.answers()[0].parameter(ServiceParameter::kDescription) == "sdp");
  client.send_message(client.credit_control_request("till;1", RequestType::kUpdate));
  client.send_message(client.credit_control_request("till;1", RequestType::kTermination));
  fixture.run_until([&] { return client.answers().size() == 3; });
  CHECK(result_of(client.answers()[1]) == 2001);
  CHECK(result_of(client.answers()[2]) == 2001);
  fixture.run_until([&] { return fixture.server.find_connection_with("BYE sip:77aa@net") != nullptr; });
}

TEST_CASE("Diameter: an initial request gets exactly one answer when messages cross") {
  DiameterFixture fixture(operator_file(true, true), true);
  auto& client = *fixture.client_end;
  SUBCASE("the success answer comes after the deadline") {
    client.send_initial_request("till;1", "150");
    fixture.run_until([&] { return client.answers().size() == 1; });
    CHECK(result_of(client.answers()[0]) == 3004);
    const auto previous_count = fixture.peer().termination_requests().size();
    fixture.peer().send_answer(fixture.peer().initial_requests()[0], ResultCode::kSuccess);
    fixture.run_until([&] { return fixture.peer().termination_requests().size() > previous_count; });
  }
  SUBCASE("the client terminates the session before its answer") {
    client.send_initial_request("till;1");
    fixture.run_until([&] { return fixture.peer().initial_requests().size() == 1; });
    client.send_message(client.credit_control_request("till;1", RequestType::kTermination));
    fixture.run_until([&] { return client.answers().size() == 2; });
    CHECK(result_of(client.answers()[0]) == 5012);
    CHECK(result_of(client.answers()[1]) == 2001);
    fixture.peer().send_answer(fixture.peer().initial_requests()[0], ResultCode::kSuccess);
  }
  SUBCASE("the request is sent twice") {
    client.send_initial_request("till;1");
    client.send_initial_request("till;1");
    fixture.run_until([&] { return fixture.peer().initial_requests().size() == 1; });
    fixture.peer().send_answer(fixture.peer().initial_requests()[0], ResultCode::kSuccess);
    fixture.run_until([&] { return client.answers().size() == 1; });
  }
  SUBCASE("every server rejects the call") {
    client.send_initial_request("till;1", "300");
    fixture.run_until([&] { return fixture.peer().initial_requests().size() == 1; });
    fixture.peer().send_answer(fixture.peer().initial_requests()[0], ResultCode::kTooBusy);
    fixture.run_until([&] { return !client.answers().empty(); });
    CHECK(result_of(client.answers()[0]) == 3004);
    CHECK(client.answers()[0].is_error);
  }
  fixture.wait_for_messages_in_transit();
  const auto answers = client.find_messages(Command::kCreditControl, false, RequestType::kInitial);
  CHECK(answers.size() == 1);
}

TEST_CASE("Diameter: a peer with an unanswered watchdog gets no new calls, and pending set-ups may finish") {
  DiameterFixture fixture(operator_file(true, false, milliseconds{100}));
  bool has_pending_set_up = false;
  SUBCASE("an unanswered set-up finishes") {
    has_pending_set_up = true;
  }
  SUBCASE("the peer gets calls again once it answers its watchdog") {}
  if (has_pending_set_up) {
    fixture.send_set_up(kCallA, 5000);
    fixture.run_until([&] { return fixture.peer().initial_requests().size() == 1; });
  }
  /// Sends messages other than watchdog answers all the time. They must not make the peer count as healthy.
  Instant last_sent{};
  const auto send_other_message = [&] {
    if (Loop::now() - last_sent < milliseconds{20}) return;
    last_sent = Loop::now();
    auto abort_request = fixture.peer().request(Command::kAbortSession, kCreditControl);
    fixture.peer().send_message(fixture.peer().add_origin(abort_request.add(AvpCode::kSessionId, "none")));
  };
  /// Opens a call. Returns true if the call reaches the peer, which accepts it, and false if it is rejected.
  int call_count = 0;
  const auto is_new_call_routed = [&](int remaining_ms = 150) {
    const auto sid = "00000000000001" + std::to_string(10 + call_count++);
    const auto previous_count = fixture.peer().initial_requests().size();
    fixture.send_set_up(sid, remaining_ms);
    const auto has_reached_peer = [&] { return fixture.peer().initial_requests().size() > previous_count; };
    fixture.run_until([&] {
      send_other_message();
      return has_reached_peer() || fixture.caller->has_received("\"close\",\"sid\":\"" + sid);
    });
    if (has_reached_peer())
      fixture.peer().send_answer(fixture.peer().initial_requests()[previous_count], ResultCode::kSuccess);
    return has_reached_peer();
  };
  CHECK(is_new_call_routed());
  fixture.peer().answers_watchdogs = false;
  const auto answered_requests = fixture.peer().watchdog_requests;
  // The second unanswered request is sent after the router has noticed that the first was not answered.
  fixture.run_until([&] {
    send_other_message();
    return fixture.peer().watchdog_requests >= answered_requests + 2;
  });
  CHECK_FALSE(is_new_call_routed());
  if (has_pending_set_up) {
    fixture.peer().send_answer(fixture.peer().initial_requests()[0], ResultCode::kSuccess);
    fixture.run_until([&] {
      send_other_message();
      return fixture.caller->has_received("\"ready\",\"sid\":\"" + kCallA);
    });
  } else {
    fixture.peer().answers_watchdogs = true;
    const auto previous_count = fixture.peer().watchdog_requests;
    fixture.run_until([&] {
      send_other_message();
      return fixture.peer().watchdog_requests > previous_count;
    });
    CHECK(is_new_call_routed());
  }
  CHECK(fixture.server.connections.size() == 1);
}

TEST_CASE("Diameter: the calls at a server that restarts are aborted once") {
  DiameterFixture fixture(operator_file(true, false, milliseconds{100}));
  fixture.establish_call(kCallA);
  fixture.send_set_up(kCallB, 400);
  fixture.run_until([&] { return fixture.peer().initial_requests().size() == 2; });
  SUBCASE("the new state id is in a watchdog answer") {
    fixture.peer().state_id = 2;
  }
  SUBCASE("the new state id is in a capabilities exchange") {
    fixture.state_id = 2;
    fixture.peer().stream->close();
  }
  fixture.run_until([&] {
    return fixture.caller->has_received("\"close\",\"sid\":\"" + kCallA + "\",\"attrs\":{},\"code\":41}");
  });
  fixture.run_until([&] { return fixture.caller->has_received("\"close\",\"sid\":\"" + kCallB); });
  const auto previous_requests = fixture.peer().watchdog_requests;
  // Further answers repeat the new state id.
  fixture.run_until([&] { return fixture.peer().watchdog_requests > previous_requests + 1; });
  CHECK(fixture.caller->count("\"close\",\"sid\":\"" + kCallA) == 1);
  CHECK(fixture.caller->count("\"close\",\"sid\":\"" + kCallB) == 1);
  CHECK(fixture.router->counters().aborted == 1);
}

// Guards against restarts that are missed because the Origin-State-Id of an earlier process was higher.
TEST_CASE("Diameter: a process that the endpoint list announces may count its state ids anew") {
  DiameterFixture fixture(operator_file(true, false, milliseconds{100}));
  fixture.peer().state_id = 50;
  const auto previous_requests = fixture.peer().watchdog_requests;
  fixture.run_until([&] { return fixture.peer().watchdog_requests > previous_requests + 1; });
  fixture.state_id = 7;
  const auto previous_connections = fixture.server.connections.size();
  SUBCASE("the list is read before the new connection is up") {
    fixture.announce_server(EndpointState::kReady, net::Loop::unix_ms());
    fixture.peer().stream->close();
  }
  SUBCASE("the list is read after the new connection is up") {
    const auto started = net::Loop::unix_ms();
    fixture.peer().stream->close();
    fixture.run_until([&] { return fixture.server.connections.size() > previous_connections; });
    fixture.run_until([&] { return fixture.peer().watchdog_requests > 0; });
    fixture.announce_server(EndpointState::kReady, started);
  }
  fixture.run_until([&] { return fixture.server.connections.size() > previous_connections; });
  fixture.run_until([&] { return fixture.peer().watchdog_requests > 0; });
  fixture.establish_call(kCallA);
  CHECK_FALSE(fixture.caller->has_received("\"close\",\"sid\":\"" + kCallA));
  fixture.peer().state_id = 8;  // restarts without the list
  fixture.run_until([&] {
    return fixture.caller->has_received("\"close\",\"sid\":\"" + kCallA + "\",\"attrs\":{},\"code\":41}");
  });
}

// Guards against a new process that is not connected to for up to 30 s, the delay after many failed connects.
TEST_CASE("Diameter: a process that the endpoint list announces is connected to at once") {
  DiameterFixture fixture(operator_file(true, false));
  const auto port = fixture.server.acceptor.local_endpoint().port();
  fixture.server.stop();
  // Connects fail after 0.1 s, 0.3 s and so on; the next one after 3.1 s would come 3.2 s later.
  const Instant failing_until = Loop::now() + milliseconds{3300};
  fixture.run_until([&] { return Loop::now() >= failing_until; });
  StandInListener new_process(fixture.loop, port);
  const Instant started = Loop::now();
  fixture.announce_server(EndpointState::kReady, net::Loop::unix_ms());
  fixture.run_until([&] { return !new_process.connections.empty(); });
  CHECK(Loop::now() - started < std::chrono::seconds{2});
}

// The watchdog interval of RFC 3539 is longer than the time in which callers must learn of the end.
TEST_CASE("Diameter: the calls of a server that falls silent are released to their callers within 8 s") {
  DiameterFixture fixture(operator_file(true, false));
  fixture.establish_call(kCallA);
  fixture.peer().answers_watchdogs = false;
  const Instant silent_since = Loop::now();
  const auto previous_requests = fixture.peer().watchdog_requests;
  fixture.run_until([&] { return fixture.peer().watchdog_requests > previous_requests; });
  CHECK_FALSE(fixture.caller->has_received("\"close\",\"sid\":\"" + kCallA));
  fixture.run_until([&] {
    return fixture.caller->has_received("\"close\",\"sid\":\"" + kCallA + "\",\"attrs\":{},\"code\":41}");
  });
  CHECK(Loop::now() - silent_since < std::chrono::seconds{8});
  fixture.run_until([&] { return fixture.peer().termination_requests().size() == 1; });
}

TEST_CASE("Diameter: a server that disconnects or drains gets no new calls") {
  DiameterFixture fixture(operator_file(true, false));
  fixture.establish_call(kCallA);
  SUBCASE("the server sends a disconnect request") {
    auto dpr = fixture.peer().request(Command::kDisconnect, 0);
    fixture.peer().send_message(fixture.peer().add_origin(dpr).add(AvpCode::kDisconnectCause, 0U));
    fixture.run_until([&] { return fixture.peer().find_messages(Command::kDisconnect, false).size() == 1; });
    CHECK(result_of(fixture.peer().find_messages(Command::kDisconnect, false)[0]) == 2001);
  }
  SUBCASE("the server is listed as draining") {
    fixture.announce_server(EndpointState::kDraining);
  }
  const auto previous_count = fixture.peer().initial_requests().size();
  fixture.send_set_up(kCallB, 100);
  fixture.run_until([&] { return fixture.caller->has_received("\"close\",\"sid\":\"" + kCallB); });
  CHECK(fixture.peer().initial_requests().size() == previous_count);
  CHECK_FALSE(fixture.caller->has_received("\"close\",\"sid\":\"" + kCallA));
  CHECK(fixture.router->table().established() == 1);
}

TEST_CASE("Diameter: sessions outlast a reconnect of their client, but not its restart") {
  DiameterFixture fixture(operator_file(true, true), true);
  fixture.client_end->send_initial_request("till;1");
  fixture.run_until([&] { return fixture.peer().initial_requests().size() == 1; });
  fixture.peer().send_answer(fixture.peer().initial_requests()[0], ResultCode::kSuccess);
  fixture.run_until([&] { return fixture.router->table().established() == 1; });
  fixture.client_end->stream->close();
  SUBCASE("same process: the session is kept, and its abort request waits for the connection") {
    fixture.wait_for_messages_in_transit();
    CHECK(fixture.router->table().established() == 1);
    auto asr = fixture.peer().request(Command::kAbortSession, kCreditControl);
    fixture.peer().send_message(fixture.peer().add_origin(
        asr.add(AvpCode::kSessionId, fixture.peer().initial_requests()[0].text(AvpCode::kSessionId))));
    fixture.run_until([&] { return fixture.router->table().established() == 0; });
    fixture.client_end = fixture.connect_client("till.acme");
    fixture.run_until([&] { return fixture.client_end->abort_requests().size() == 1; });
  }
  SUBCASE("restarted process: the session is released at the server") {
    fixture.client_end = fixture.connect_client("till.acme", 2);
    fixture.run_until([&] { return fixture.peer().termination_requests().size() == 1; });
    CHECK(fixture.router->table().established() == 0);
  }
}

TEST_CASE("Diameter: a queued request whose client has left is not sent when a server becomes ready") {
  enum class ClientExit { kTermination, kFin, kReset };
  for (const auto client_exit : {ClientExit::kTermination, ClientExit::kFin, ClientExit::kReset}) {
    DiameterFixture fixture(operator_file(false, true));
    fixture.server.make_connection = nullptr;
    fixture.announce_server(EndpointState::kDraining);
    fixture.client_end = fixture.connect_client("till.acme");
    fixture.client_end->send_initial_request("till;1", "2900");
    fixture.run_until([&] { return fixture.router->counters().received == 1; });
    if (client_exit == ClientExit::kTermination) {
      fixture.client_end->send_message(
          fixture.client_end->credit_control_request("till;1", RequestType::kTermination));
    } else if (client_exit == ClientExit::kFin) {
      fixture.client_end->stream->close();
    } else {
      fixture.client_end->stream->reset();
    }
    fixture.run_until([&] { return fixture.router->counters().abandoned == 1; });
    CHECK(fixture.router->counters().abandoned_while_queued == 1);
    fixture.announce_server();
    fixture.send_set_up(kCallB);
    fixture.run_until([&] { return fixture.server.find_connection_with("Call-ID: " + kCallB) != nullptr; });
    fixture.wait_for_messages_in_transit();
    CHECK(fixture.server.count("INVITE sip:77aa@net") == 1);
    CHECK(fixture.router->counters().attempts == 1);
  }
}

TEST_CASE("Diameter: requests queued and in flight at SIGTERM are answered before SIGKILL may follow") {
  constexpr std::size_t kRequests = 8;
  auto config = router_config();
  for (auto& call_class : config.settings.classes) {
    call_class.deadline = milliseconds{1500};                // SIGKILL may come 2.2 s after SIGTERM
    call_class.latency_objective = std::chrono::seconds{6};  // no attempt is cancelled as silent before that
  }
  DiameterFixture fixture(operator_file(false, true), false, config);
  fixture.server.make_connection = nullptr;  // the server speaks SIP
  fixture.client_end = fixture.connect_client("till.acme");
  auto& client = *fixture.client_end;
  for (std::size_t i = 0; i < kRequests; ++i)
    client.send_initial_request("till;" + std::to_string(i), "2950");
  fixture.run_until([&] { return fixture.router->table().unanswered() == kRequests; });
  fixture.run_until([&] { return fixture.server.count("CSeq: 1 INVITE") > 0; });
  bool is_over = false;
  bool is_late = false;
  fixture.router->shut_down([&] { is_over = true; });
  fixture.loop.run_after(milliseconds{2600}, [&] { is_late = true; });
  fixture.run_until([&] { return is_over || is_late; });
  CHECK_FALSE(is_late);
  fixture.run_until([&] { return client.answers().size() == kRequests; });
  for (const auto& answer : client.answers()) {
    CHECK(result_of(answer) == 3004);  // DIAMETER_TOO_BUSY; there is no result of its own
    CHECK(answer.find(AvpCode::kErrorMessage) != nullptr);  // when to try again
  }
}

TEST_CASE(
    "Diameter: a router in standby answers new requests with DIAMETER_TOO_BUSY once it serves no set-ups") {
  DiameterFixture fixture(operator_file(true, true), true);
  auto& client = *fixture.client_end;
  fixture.router->set_standby(true);
  client.send_initial_request("till;1");
  fixture.run_until([&] { return fixture.peer().initial_requests().size() == 1; });
  const Instant served_until = Loop::now() + core::ConnectionDrain::kServicePeriod;
  fixture.run_until([&] { return Loop::now() > served_until; });
  client.send_initial_request("till;2");
  fixture.run_until([&] { return client.answers().size() == 1; });
  CHECK(result_of(client.answers()[0]) == 3004);
  CHECK(client.answers()[0].text(AvpCode::kSessionId) == "till;2");
  CHECK(fixture.peer().initial_requests().size() == 1);
  // The request from before is still served.
  fixture.peer().send_answer(fixture.peer().initial_requests()[0], ResultCode::kSuccess);
  fixture.run_until([&] { return client.answers().size() == 2; });
  CHECK(result_of(client.answers()[1]) == 2001);
}

TEST_CASE("Diameter: malformed and unsupported requests get the RFC's Result-Codes") {
  DiameterFixture fixture(operator_file(true, true), true);
  auto& client = *fixture.client_end;
  struct Case {
    const char* name;
    std::function<Writer()> make;
    std::uint32_t result;
    std::uint32_t failed_avp_code;  ///< AVP code in Failed-AVP; zero if there is none
  };
  const auto initial_request = [&] { return client.credit_control_request("till;9", RequestType::kInitial); };
  const std::string unknown("\0\0\x7f\0\x40\0\0\x08", 8);
  const Case cases[] = {
      {"unknown mandatory AVP", [&] { return initial_request().add_raw(unknown); }, 5001, 0x7f00},
      {"no Session-Id",
       [&] {
         auto ccr = client.request(Command::kCreditControl, kCreditControl);
         return client.add_origin(ccr);
       },
       5005, 263},
      {"no Subscription-Id", initial_request, 5005, 443},
      {"an event request", [&] { return client.credit_control_request("till;9", RequestType::kEvent); }, 5004,
       416},
      {"an update of an unknown session",
       [&] { return client.credit_control_request("till;9", RequestType::kUpdate); }, 5002, 0},
      {"another application",
       [&] {
         auto ccr = client.request(Command::kCreditControl, 16777238);
         return client.add_origin(ccr.add(AvpCode::kSessionId, "till;9"));
       },
       3007, 0},
  };
  std::size_t answers = 0;
  for (const auto& test_case : cases) {
    CAPTURE(test_case.name);
    client.send_message(test_case.make());
    fixture.run_until([&] { return client.answers().size() == answers + 1; });
    const auto answer = client.answers()[answers++];
    CHECK(result_of(answer) == test_case.result);
    const auto* failed = answer.find(AvpCode::kFailedAvp);
    CHECK((failed != nullptr) == (test_case.failed_avp_code != 0));
    if (failed == nullptr) continue;
    const auto group = read_group(failed->data);
    REQUIRE(group);
    CHECK(group->front().code == test_case.failed_avp_code);
  }
  auto unknown_command = client.request(static_cast<Command>(258), kCreditControl);
  client.send_message(client.add_origin(unknown_command));
  fixture.run_until([&] { return client.find_messages(static_cast<Command>(258), false).size() == 1; });
  CHECK(result_of(client.find_messages(static_cast<Command>(258), false)[0]) == 3001);
  CHECK(fixture.peer().initial_requests().empty());

  const auto stranger = fixture.connect_client("stranger.acme");
  CHECK(result_of(stranger->find_messages(Command::kCapabilitiesExchange, false)[0]) == 3010);
  fixture.run_until([&] { return stranger->closed; });
}
