// The Diameter front and links against stand-in peers on loopback.
#include "diameter/codec.hpp"
#include "diameter/results.hpp"
#include "net_bench.hpp"

using namespace amberknot;
using namespace amberknot::tests;
using namespace amberknot::diameter;

namespace {

constexpr std::uint32_t kCcApp = kCreditControlApplication;

/// A stand-in peer's end: exchanges capabilities and answers watchdogs by itself, keeps all else.
struct DiameterEnd : End {
  DiameterEnd(Loop& loop, std::string host, std::uint32_t state = 1, bool client = false)
      : End(loop), host(std::move(host)), state(state), client(client) {}

  Writer& origin(Writer& writer) const {
    return writer.add(AvpCode::kOriginHost, host).add(AvpCode::kOriginRealm, "acme");
  }
  Writer& capabilities(Writer& writer) const {
    origin(writer).add_address(AvpCode::kHostIpAddress, "127.0.0.1").add(AvpCode::kVendorId, 0U);
    return writer.add(AvpCode::kProductName, "stand-in")
        .add(AvpCode::kOriginStateId, state)
        .add(AvpCode::kAuthApplicationId, kCcApp);
  }
  Writer request(Command command, std::uint32_t application) {
    ++next_id;
    return Writer::request(command, application, next_id, next_id);
  }
  void say(Writer writer) { stream->send(writer.finish()); }
  void on_open(net::TcpConnection& /*stream*/) override {
    if (!client) return;
    auto cer = request(Command::kCapabilitiesExchange, 0);
    say(capabilities(cer));
  }
  std::size_t on_bytes(net::TcpConnection& /*stream*/, std::span<char> bytes) override {
    std::size_t taken = 0;
    while (taken < bytes.size()) {
      const auto read = read_message({bytes.data() + taken, bytes.size() - taken}, net::kMaxMessage);
      if (read.state != ReadResult::State::kComplete) break;
      CHECK(read.fault.result == ResultCode::kSuccess);  // the router writes nothing malformed
      if (read.message.is_request && read.message.has_command(Command::kCapabilitiesExchange)) {
        auto cea = Writer::answer(read.message, ResultCode::kSuccess);
        say(capabilities(cea));
      } else if (read.message.is_request && read.message.has_command(Command::kWatchdog)) {
        ++watchdogs;
        if (answers_watchdogs) answer_watchdog(read.message);
      } else {
        got.emplace_back(bytes.data() + taken, read.size);
      }
      taken += read.size;
    }
    return taken;
  }
  void answer_watchdog(const Message& dwr) {
    auto dwa = Writer::answer(dwr, ResultCode::kSuccess);
    say(origin(dwa).add(AvpCode::kOriginStateId, state));
  }

  /// What came, of that command and kind; of a CCR or CCA also of that type, and of that session where named.
  std::vector<Message> all(Command command, bool request, std::optional<RequestType> type = {}) const {
    std::vector<Message> found;
    for (const auto& raw : got) {
      const auto read = read_message(raw, net::kMaxMessage);
      const auto of_type = read.message.number(AvpCode::kCcRequestType);
      if (read.message.has_command(command) && read.message.is_request == request &&
          (!type || of_type == static_cast<std::uint32_t>(*type))) {
        found.push_back(read.message);
      }
    }
    return found;
  }
  std::vector<Message> initials() const { return all(Command::kCreditControl, true, RequestType::kInitial); }
  std::vector<Message> terminations() const {
    return all(Command::kCreditControl, true, RequestType::kTermination);
  }
  std::vector<Message> answers() const { return all(Command::kCreditControl, false); }
  std::vector<Message> aborts() const { return all(Command::kAbortSession, true); }

  Writer credit(const std::string& session, RequestType type) {
    auto ccr = request(Command::kCreditControl, kCcApp);
    origin(ccr.add(AvpCode::kSessionId, session)).add(AvpCode::kDestinationRealm, "kartu.example");
    ccr.add(AvpCode::kAuthApplicationId, kCcApp).add(AvpCode::kServiceContextId, "voice@kartu.example");
    ccr.add(AvpCode::kCcRequestType, static_cast<std::uint32_t>(type)).add(AvpCode::kCcRequestNumber, 0U);
    return ccr;
  }
  void open(const std::string& session, const std::string& wait = "2000") {
    auto ccr = credit(session, RequestType::kInitial);
    ccr.add_group(AvpCode::kSubscriptionId, [](Writer& in) {
      in.add(AvpCode::kSubscriptionIdType, 4U).add(AvpCode::kSubscriptionIdData, "77aa");
    });
    say(ccr.add_parameter(ServiceParameter::kDescription, "desc")
            .add_parameter(ServiceParameter::kWaitMs, wait));
  }
  void answer(const Message& ccr, ResultCode result, const std::string& text = "sdp") {
    auto cca = Writer::answer(ccr, result);
    origin(cca).add(AvpCode::kAuthApplicationId, kCcApp);
    cca.add_raw(ccr.find(AvpCode::kCcRequestType)->encoded)
        .add_raw(ccr.find(AvpCode::kCcRequestNumber)->encoded);
    say(cca.add_parameter(ServiceParameter::kDescription, text));
  }

  std::string host;
  std::uint32_t state;
  bool client;
  bool answers_watchdogs = true;
  int watchdogs = 0;
  std::uint32_t next_id = 1;
  std::vector<std::string> got;
};

app::OperatorFile setup(bool servers, bool clients, milliseconds watchdog = std::chrono::seconds{30}) {
  app::OperatorFile file;
  file.diameter.emplace();
  file.diameter->origin_host = "n0.kartu.example";
  file.diameter->origin_realm = "kartu.example";
  if (servers) file.diameter->servers = {"*"};
  if (clients) file.diameter->listen = asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0);
  file.diameter->clients = {"till.acme"};
  file.diameter->watchdog = watchdog;
  return file;
}

struct DiameterBench : Bench {
  explicit DiameterBench(const app::OperatorFile& file, bool client = false,
                         const app::Config& base = bench_config())
      : Bench(file, base) {
    server.make = [this] { return std::make_unique<DiameterEnd>(loop, "s1.acme", state); };
    list();
    if (!file.diameter->servers.empty()) {
      until([&] { return !server.ends.empty() && peer().watchdogs + peer().state > 0; });
      wait_ready();
    }
    if (client) till = client_peer("till.acme");
  }
  /// The peer is up at the router once a call reaches it.
  void wait_ready() {
    open("00000000000000f0");
    until([&] { return !peer().initials().empty(); });
    peer().answer(peer().initials()[0], ResultCode::kSuccess);
    until([&] { return caller->has("\"ready\",\"sid\":\"00000000000000f0"); });
    say("{\"msg\":\"close\",\"sid\":\"00000000000000f0\",\"attrs\":{},\"code\":16}\n");
    until([&] { return peer().terminations().size() == 1; });
    peer().got.clear();
    caller->in.clear();
  }
  std::unique_ptr<DiameterEnd> client_peer(const std::string& host, std::uint32_t with_state = 1) {
    auto end = std::make_unique<DiameterEnd>(loop, host, with_state, true);
    end->stream->connect(*router->diameter_at(), milliseconds{500});
    until([&] { return !end->all(Command::kCapabilitiesExchange, false).empty(); });
    return end;
  }
  DiameterEnd& peer() { return static_cast<DiameterEnd&>(*server.ends.back()); }
  /// A JSON line caller's call that stands at the peer.
  void stand(const std::string& sid) {
    const auto had = peer().initials().size();
    open(sid);
    until([&] { return peer().initials().size() > had; });
    peer().answer(peer().initials()[had], ResultCode::kSuccess);
    until([&] { return caller->has("\"ready\",\"sid\":\"" + sid); });
  }
  std::uint32_t state = 1;
  std::unique_ptr<DiameterEnd> till;
};

const std::string kA = "00000000000000a1";
const std::string kB = "00000000000000b2";

std::uint32_t result_of(const Message& message) {
  return message.number(AvpCode::kResultCode).value_or(0);
}

}  // namespace

TEST_CASE("Diameter: messages are read, and faults are named as the RFC does") {
  auto good =
      Writer::request(Command::kCreditControl, kCcApp, 1, 2).add(AvpCode::kSessionId, "abcde").finish();
  const auto with = [&](std::size_t at, std::string_view bytes) {
    return std::string(good).replace(at, bytes.size(), bytes);
  };
  using namespace std::string_view_literals;
  struct Case {
    const char* what;
    std::string bytes;
    ReadResult::State state;
    ResultCode result;
  };
  const Case cases[] = {
      {"whole", good, ReadResult::State::kComplete, ResultCode::kSuccess},
      {"cut", good.substr(0, good.size() - 1), ReadResult::State::kIncomplete, ResultCode::kSuccess},
      {"version", with(0, "\2"sv), ReadResult::State::kComplete, ResultCode::kUnsupportedVersion},
      {"length 21", with(1, "\0\0\x15"sv), ReadResult::State::kComplete, ResultCode::kInvalidMessageLength},
      {"over-long", with(1, "\xff\0\0"sv), ReadResult::State::kTooLong, ResultCode::kSuccess},
      {"error bit in a request", with(4, "\xe0"sv), ReadResult::State::kComplete,
       ResultCode::kInvalidHeaderBits},
      {"reserved AVP bit", with(24, "\x41"sv), ReadResult::State::kComplete, ResultCode::kInvalidAvpBits},
      {"unknown mandatory AVP", with(20, "\0\0\x7f\0"sv), ReadResult::State::kComplete,
       ResultCode::kAvpUnsupported},
      {"AVP past the end", with(25, "\0\0\xff"sv), ReadResult::State::kComplete,
       ResultCode::kInvalidAvpLength},
      {"AVP shorter than its header", with(25, "\0\0\4"sv), ReadResult::State::kComplete,
       ResultCode::kInvalidAvpLength},
      {"number of five bytes", with(20, "\0\0\1\x0c"sv), ReadResult::State::kComplete,
       ResultCode::kInvalidAvpLength},
      {"malformed group", with(20, "\0\0\1\xbb"sv), ReadResult::State::kComplete,
       ResultCode::kInvalidAvpLength},
  };
  for (const auto& one : cases) {
    CAPTURE(one.what);
    const auto read = read_message(one.bytes, net::kMaxMessage);
    CHECK(read.state == one.state);
    CHECK(read.fault.result == one.result);
  }
}

TEST_CASE("Diameter: Result-Codes are mapped in one table") {
  struct Case {
    std::uint32_t code;
    Outcome outcome;
    bool is_user_error;
  };
  const Case cases[] = {
      {2001, Outcome::kOk, false},    {2002, Outcome::kOk, false},    {3002, Outcome::kNotSent, false},
      {3004, Outcome::kFull, false},  {3001, Outcome::kError, false}, {4012, Outcome::kError, true},
      {5012, Outcome::kError, false}, {5030, Outcome::kError, true},  {0, Outcome::kError, false}};
  for (const auto& one : cases) {
    CAPTURE(one.code);
    CHECK(find_meaning(one.code).outcome == one.outcome);
    CHECK(find_meaning(one.code).is_user_error == one.is_user_error);
  }
}

TEST_CASE("Diameter: a call from client to server and back, and its cut told once") {
  DiameterBench bench(setup(true, true), true);
  auto& till = *bench.till;
  till.open("till;1");
  bench.until([&] { return bench.peer().initials().size() == 1; });
  const auto ccr = bench.peer().initials()[0];
  CHECK(ccr.parameter(ServiceParameter::kDescription) == "desc");
  CHECK(ccr.text(AvpCode::kServiceContextId) == "voice@kartu.example");
  bench.peer().answer(ccr, ResultCode::kSuccess, "a\r\nb");
  bench.until([&] { return till.answers().size() == 1; });
  CHECK(result_of(till.answers()[0]) == 2001);
  CHECK(till.answers()[0].text(AvpCode::kSessionId) == "till;1");
  CHECK(till.answers()[0].parameter(ServiceParameter::kDescription) == "a\r\nb");

  auto asr = bench.peer().request(Command::kAbortSession, kCcApp);
  bench.peer().origin(asr.add(AvpCode::kSessionId, ccr.text(AvpCode::kSessionId)));
  const auto raw = asr.finish();
  bench.peer().stream->send(std::string(raw));
  bench.peer().stream->send(std::string(raw));
  bench.until([&] { return bench.peer().all(Command::kAbortSession, false).size() == 2; });
  CHECK(result_of(bench.peer().all(Command::kAbortSession, false)[1]) == 5002);
  bench.until([&] { return !till.aborts().empty() && !bench.peer().terminations().empty(); });
  till.say(till.credit("till;1", RequestType::kTermination));
  bench.until([&] { return till.answers().size() == 2; });
  CHECK(result_of(till.answers()[1]) == 2001);
  till.say(till.credit("till;1", RequestType::kTermination));
  bench.until([&] { return till.answers().size() == 3; });
  CHECK(result_of(till.answers()[2]) == 5002);
  CHECK(till.aborts().size() == 1);
}

TEST_CASE("Diameter: clients reach SIP servers, and their termination releases there") {
  DiameterBench bench(setup(false, true));
  bench.server.make = nullptr;
  bench.until([&] { return bench.server.ends.size() == 2; });
  bench.server.ends.clear();
  bench.list();
  bench.till = bench.client_peer("till.acme");
  auto& till = *bench.till;
  till.open("till;1");
  bench.until([&] { return bench.server.with("INVITE sip:77aa@net") != nullptr; });
  auto& end = *bench.server.with("INVITE sip:77aa@net");
  const auto at = end.in.find("Call-ID: ") + 9;
  const auto sid = end.in.substr(at, 16);
  bench.answer(end, sid, "sdp");
  bench.until([&] { return till.answers().size() == 1; });
  CHECK(till.answers()[0].parameter(ServiceParameter::kDescription) == "sdp");
  till.say(till.credit("till;1", RequestType::kUpdate));
  till.say(till.credit("till;1", RequestType::kTermination));
  bench.until([&] { return till.answers().size() == 3; });
  CHECK(result_of(till.answers()[1]) == 2001);
  CHECK(result_of(till.answers()[2]) == 2001);
  bench.until([&] { return bench.server.with("BYE sip:77aa@net") != nullptr; });
}

TEST_CASE("Diameter: exactly one final answer, whatever crosses") {
  DiameterBench bench(setup(true, true), true);
  auto& till = *bench.till;
  SUBCASE("the deadline passes, then the success comes") {
    till.open("till;1", "150");
    bench.until([&] { return till.answers().size() == 1; });
    CHECK(result_of(till.answers()[0]) == 3004);
    const auto had = bench.peer().terminations().size();
    bench.peer().answer(bench.peer().initials()[0], ResultCode::kSuccess);
    bench.until([&] { return bench.peer().terminations().size() > had; });
  }
  SUBCASE("the client ends the session before its answer") {
    till.open("till;1");
    bench.until([&] { return bench.peer().initials().size() == 1; });
    till.say(till.credit("till;1", RequestType::kTermination));
    bench.until([&] { return till.answers().size() == 2; });
    CHECK(result_of(till.answers()[0]) == 5012);
    CHECK(result_of(till.answers()[1]) == 2001);
    bench.peer().answer(bench.peer().initials()[0], ResultCode::kSuccess);
  }
  SUBCASE("the request comes twice") {
    till.open("till;1");
    till.open("till;1");
    bench.until([&] { return bench.peer().initials().size() == 1; });
    bench.peer().answer(bench.peer().initials()[0], ResultCode::kSuccess);
    bench.until([&] { return till.answers().size() == 1; });
  }
  SUBCASE("every server refuses") {
    till.open("till;1", "300");
    bench.until([&] { return bench.peer().initials().size() == 1; });
    bench.peer().answer(bench.peer().initials()[0], ResultCode::kTooBusy);
    bench.until([&] { return !till.answers().empty(); });
    CHECK(result_of(till.answers()[0]) == 3004);
    CHECK(till.answers()[0].is_error);
  }
  bench.settle();
  const auto answers = till.all(Command::kCreditControl, false, RequestType::kInitial);
  CHECK(answers.size() == 1);
}

TEST_CASE("Diameter: a silent watchdog stops new calls, and those out may finish") {
  DiameterBench bench(setup(true, false, milliseconds{100}));
  bool one_out = false;
  SUBCASE("a call that is out finishes") {
    one_out = true;
  }
  SUBCASE("once it answers again, it is used again") {}
  if (one_out) {
    bench.open(kA, 5000);
    bench.until([&] { return bench.peer().initials().size() == 1; });
  }
  /// Messages other than the watchdog's answer go on coming: they are no sign of life for new calls.
  Instant said{};
  const auto chatter = [&] {
    if (Loop::now() - said < milliseconds{20}) return;
    said = Loop::now();
    auto other = bench.peer().request(Command::kAbortSession, kCcApp);
    bench.peer().say(bench.peer().origin(other.add(AvpCode::kSessionId, "none")));
  };
  /// True: a call opened now reaches the peer, and stands; false: its caller is told no.
  int calls = 0;
  const auto reaches = [&](int left = 150) {
    const auto sid = "00000000000001" + std::to_string(10 + calls++);
    const auto had = bench.peer().initials().size();
    bench.open(sid, left);
    const auto reached = [&] { return bench.peer().initials().size() > had; };
    bench.until([&] {
      chatter();
      return reached() || bench.caller->has("\"close\",\"sid\":\"" + sid);
    });
    if (reached()) bench.peer().answer(bench.peer().initials()[had], ResultCode::kSuccess);
    return reached();
  };
  CHECK(reaches());
  bench.peer().answers_watchdogs = false;
  const auto had = bench.peer().watchdogs;
  // It is asked again once the first silence has been noted.
  bench.until([&] {
    chatter();
    return bench.peer().watchdogs >= had + 2;
  });
  CHECK_FALSE(reaches());
  if (one_out) {
    bench.peer().answer(bench.peer().initials()[0], ResultCode::kSuccess);
    bench.until([&] {
      chatter();
      return bench.caller->has("\"ready\",\"sid\":\"" + kA);
    });
  } else {
    bench.peer().answers_watchdogs = true;
    const auto seen = bench.peer().watchdogs;
    bench.until([&] {
      chatter();
      return bench.peer().watchdogs > seen;
    });
    CHECK(reaches());
  }
  CHECK(bench.server.ends.size() == 1);
}

TEST_CASE("Diameter: a peer that starts anew mid-call has its calls cut once") {
  DiameterBench bench(setup(true, false, milliseconds{100}));
  bench.stand(kA);
  bench.open(kB, 400);
  bench.until([&] { return bench.peer().initials().size() == 2; });
  SUBCASE("told in an answer to a watchdog") {
    bench.peer().state = 2;
  }
  SUBCASE("told when it connects again") {
    bench.state = 2;
    bench.peer().stream->close();
  }
  bench.until(
      [&] { return bench.caller->has("\"close\",\"sid\":\"" + kA + "\",\"attrs\":{},\"code\":41}"); });
  bench.until([&] { return bench.caller->has("\"close\",\"sid\":\"" + kB); });
  const auto watchdogs = bench.peer().watchdogs;
  bench.until([&] { return bench.peer().watchdogs > watchdogs + 1; });  // it says so again and again
  CHECK(bench.caller->count("\"close\",\"sid\":\"" + kA) == 1);
  CHECK(bench.caller->count("\"close\",\"sid\":\"" + kB) == 1);
  CHECK(bench.router->counters().aborted == 1);
}

TEST_CASE("Diameter: nothing new goes to a peer that disconnects or drains") {
  DiameterBench bench(setup(true, false));
  bench.stand(kA);
  SUBCASE("DPR") {
    auto dpr = bench.peer().request(Command::kDisconnect, 0);
    bench.peer().say(bench.peer().origin(dpr).add(AvpCode::kDisconnectCause, 0U));
    bench.until([&] { return bench.peer().all(Command::kDisconnect, false).size() == 1; });
    CHECK(result_of(bench.peer().all(Command::kDisconnect, false)[0]) == 2001);
  }
  SUBCASE("the list says so") {
    bench.list(EndpointState::kDraining);
  }
  const auto had = bench.peer().initials().size();
  bench.open(kB, 100);
  bench.until([&] { return bench.caller->has("\"close\",\"sid\":\"" + kB); });
  CHECK(bench.peer().initials().size() == had);
  CHECK_FALSE(bench.caller->has("\"close\",\"sid\":\"" + kA));
  CHECK(bench.router->table().established() == 1);
}

TEST_CASE("Diameter: a client that starts anew, or is gone, leaves nothing standing") {
  DiameterBench bench(setup(true, true), true);
  bench.till->open("till;1");
  bench.until([&] { return bench.peer().initials().size() == 1; });
  bench.peer().answer(bench.peer().initials()[0], ResultCode::kSuccess);
  bench.until([&] { return bench.router->table().established() == 1; });
  bench.till->stream->close();
  SUBCASE("as the same process: the session stands, and its end waits for the connection") {
    bench.settle();
    CHECK(bench.router->table().established() == 1);
    auto asr = bench.peer().request(Command::kAbortSession, kCcApp);
    bench.peer().say(bench.peer().origin(
        asr.add(AvpCode::kSessionId, bench.peer().initials()[0].text(AvpCode::kSessionId))));
    bench.until([&] { return bench.router->table().established() == 0; });
    bench.till = bench.client_peer("till.acme");
    bench.until([&] { return bench.till->aborts().size() == 1; });
  }
  SUBCASE("as another: the session is released at the server") {
    bench.till = bench.client_peer("till.acme", 2);
    bench.until([&] { return bench.peer().terminations().size() == 1; });
    CHECK(bench.router->table().established() == 0);
  }
}

TEST_CASE("Diameter: a request whose client left while it was held is not sent on when a server comes") {
  enum class By { kTermination, kFin, kReset };
  for (const auto by : {By::kTermination, By::kFin, By::kReset}) {
    DiameterBench bench(setup(false, true));
    bench.server.make = nullptr;
    bench.list(EndpointState::kDraining);
    bench.till = bench.client_peer("till.acme");
    bench.till->open("till;1", "2900");
    bench.until([&] { return bench.router->counters().received == 1; });
    if (by == By::kTermination) {
      bench.till->say(bench.till->credit("till;1", RequestType::kTermination));
    } else if (by == By::kFin) {
      bench.till->stream->close();
    } else {
      bench.till->stream->reset();
    }
    bench.until([&] { return bench.router->counters().abandoned == 1; });
    CHECK(bench.router->counters().abandoned_while_queued == 1);
    bench.list();
    bench.open(kB);
    bench.until([&] { return bench.server.with("Call-ID: " + kB) != nullptr; });
    bench.settle();
    CHECK(bench.server.count("INVITE sip:77aa@net") == 1);
    CHECK(bench.router->counters().attempts == 1);
  }
}

TEST_CASE("Diameter: requests queued and in flight at SIGTERM are answered before SIGKILL may come") {
  constexpr std::size_t kRequests = 8;
  auto config = bench_config();
  for (auto& call_class : config.settings.classes) {
    call_class.deadline = milliseconds{1500};                // SIGKILL may come 2.2 s after SIGTERM
    call_class.latency_objective = std::chrono::seconds{6};  // no attempt is called off as silent before that
  }
  DiameterBench bench(setup(false, true), false, config);
  bench.server.make = nullptr;  // the server speaks SIP
  bench.till = bench.client_peer("till.acme");
  auto& till = *bench.till;
  for (std::size_t i = 0; i < kRequests; ++i) till.open("till;" + std::to_string(i), "2950");
  bench.until([&] { return bench.router->table().unanswered() == kRequests; });
  bench.until([&] { return bench.server.count("CSeq: 1 INVITE") > 0; });
  bool is_over = false;
  bool is_late = false;
  bench.router->shut_down([&] { is_over = true; });
  bench.loop.after(milliseconds{2600}, [&] { is_late = true; });
  bench.until([&] { return is_over || is_late; });
  CHECK_FALSE(is_late);
  bench.until([&] { return till.answers().size() == kRequests; });
  for (const auto& answer : till.answers()) {
    CHECK(result_of(answer) == 3004);  // DIAMETER_TOO_BUSY, for want of a word of its own
    CHECK(answer.find(AvpCode::kErrorMessage) != nullptr);  // when to come back
  }
}

TEST_CASE("Diameter: what is malformed gets the RFC's answer") {
  DiameterBench bench(setup(true, true), true);
  auto& till = *bench.till;
  struct Case {
    const char* what;
    std::function<Writer()> make;
    std::uint32_t result;
    std::uint32_t failed;  ///< code in Failed-AVP; zero: none
  };
  const auto initial = [&] { return till.credit("till;9", RequestType::kInitial); };
  const std::string unknown("\0\0\x7f\0\x40\0\0\x08", 8);
  const Case cases[] = {
      {"unknown mandatory AVP", [&] { return initial().add_raw(unknown); }, 5001, 0x7f00},
      {"no Session-Id",
       [&] {
         auto ccr = till.request(Command::kCreditControl, kCcApp);
         return till.origin(ccr);
       },
       5005, 263},
      {"no Subscription-Id", initial, 5005, 443},
      {"an event", [&] { return till.credit("till;9", RequestType::kEvent); }, 5004, 416},
      {"an update of no session", [&] { return till.credit("till;9", RequestType::kUpdate); }, 5002, 0},
      {"another application",
       [&] {
         auto ccr = till.request(Command::kCreditControl, 16777238);
         return till.origin(ccr.add(AvpCode::kSessionId, "till;9"));
       },
       3007, 0},
  };
  std::size_t answers = 0;
  for (const auto& one : cases) {
    CAPTURE(one.what);
    till.say(one.make());
    bench.until([&] { return till.answers().size() == answers + 1; });
    const auto answer = till.answers()[answers++];
    CHECK(result_of(answer) == one.result);
    const auto* failed = answer.find(AvpCode::kFailedAvp);
    CHECK((failed != nullptr) == (one.failed != 0));
    if (failed == nullptr) continue;
    const auto group = read_group(failed->data);
    REQUIRE(group);
    CHECK(group->front().code == one.failed);
  }
  auto odd = till.request(static_cast<Command>(258), kCcApp);
  till.say(till.origin(odd));
  bench.until([&] { return till.all(static_cast<Command>(258), false).size() == 1; });
  CHECK(result_of(till.all(static_cast<Command>(258), false)[0]) == 3001);
  CHECK(bench.peer().initials().empty());

  const auto stranger = bench.client_peer("stranger.acme");
  CHECK(result_of(stranger->all(Command::kCapabilitiesExchange, false)[0]) == 3010);
  bench.until([&] { return stranger->closed; });
}
