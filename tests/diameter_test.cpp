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
    return writer.add(Code::kOriginHost, host).add(Code::kOriginRealm, "acme");
  }
  Writer& capabilities(Writer& writer) const {
    origin(writer).add_address(Code::kHostIpAddress, "127.0.0.1").add(Code::kVendorId, 0U);
    return writer.add(Code::kProductName, "stand-in")
        .add(Code::kOriginStateId, state)
        .add(Code::kAuthApplicationId, kCcApp);
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
      if (read.state != Read::State::kWhole) break;
      CHECK(read.fault.result == Result::kSuccess);  // the router writes nothing malformed
      if (read.message.request && read.message.is(Command::kCapabilitiesExchange)) {
        auto cea = Writer::answer(read.message, Result::kSuccess);
        say(capabilities(cea));
      } else if (read.message.request && read.message.is(Command::kWatchdog)) {
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
    auto dwa = Writer::answer(dwr, Result::kSuccess);
    say(origin(dwa).add(Code::kOriginStateId, state));
  }

  /// What came, of that command and kind; of a CCR or CCA also of that type, and of that session where named.
  std::vector<Message> all(Command command, bool request, std::optional<RequestType> type = {}) const {
    std::vector<Message> found;
    for (const auto& raw : got) {
      const auto read = read_message(raw, net::kMaxMessage);
      const auto of_type = read.message.number(Code::kCcRequestType);
      if (read.message.is(command) && read.message.request == request &&
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
    origin(ccr.add(Code::kSessionId, session)).add(Code::kDestinationRealm, "kartu.example");
    ccr.add(Code::kAuthApplicationId, kCcApp).add(Code::kServiceContextId, "voice@kartu.example");
    ccr.add(Code::kCcRequestType, static_cast<std::uint32_t>(type)).add(Code::kCcRequestNumber, 0U);
    return ccr;
  }
  void open(const std::string& session, const std::string& wait = "2000") {
    auto ccr = credit(session, RequestType::kInitial);
    ccr.add_group(Code::kSubscriptionId, [](Writer& in) {
      in.add(Code::kSubscriptionIdType, 4U).add(Code::kSubscriptionIdData, "77aa");
    });
    say(ccr.add_parameter(Parameter::kDescription, "desc").add_parameter(Parameter::kWaitMs, wait));
  }
  void answer(const Message& ccr, Result result, const std::string& text = "sdp") {
    auto cca = Writer::answer(ccr, result);
    origin(cca).add(Code::kAuthApplicationId, kCcApp);
    cca.add_raw(ccr.find(Code::kCcRequestType)->whole).add_raw(ccr.find(Code::kCcRequestNumber)->whole);
    say(cca.add_parameter(Parameter::kDescription, text));
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
    peer().answer(peer().initials()[0], Result::kSuccess);
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
    peer().answer(peer().initials()[had], Result::kSuccess);
    until([&] { return caller->has("\"ready\",\"sid\":\"" + sid); });
  }
  std::uint32_t state = 1;
  std::unique_ptr<DiameterEnd> till;
};

const std::string kA = "00000000000000a1";
const std::string kB = "00000000000000b2";

std::uint32_t result_of(const Message& message) {
  return message.number(Code::kResultCode).value_or(0);
}

}  // namespace

TEST_CASE("Diameter: messages are read, and faults are named as the RFC does") {
  auto good = Writer::request(Command::kCreditControl, kCcApp, 1, 2).add(Code::kSessionId, "abcde").finish();
  const auto with = [&](std::size_t at, std::string_view bytes) {
    return std::string(good).replace(at, bytes.size(), bytes);
  };
  using namespace std::string_view_literals;
  struct Case {
    const char* what;
    std::string bytes;
    Read::State state;
    Result result;
  };
  const Case cases[] = {
      {"whole", good, Read::State::kWhole, Result::kSuccess},
      {"cut", good.substr(0, good.size() - 1), Read::State::kMore, Result::kSuccess},
      {"version", with(0, "\2"sv), Read::State::kWhole, Result::kUnsupportedVersion},
      {"length 21", with(1, "\0\0\x15"sv), Read::State::kWhole, Result::kInvalidMessageLength},
      {"over-long", with(1, "\xff\0\0"sv), Read::State::kBad, Result::kSuccess},
      {"error bit in a request", with(4, "\xe0"sv), Read::State::kWhole, Result::kInvalidHeaderBits},
      {"reserved AVP bit", with(24, "\x41"sv), Read::State::kWhole, Result::kInvalidAvpBits},
      {"unknown mandatory AVP", with(20, "\0\0\x7f\0"sv), Read::State::kWhole, Result::kAvpUnsupported},
      {"AVP past the end", with(25, "\0\0\xff"sv), Read::State::kWhole, Result::kInvalidAvpLength},
      {"AVP shorter than its header", with(25, "\0\0\4"sv), Read::State::kWhole, Result::kInvalidAvpLength},
      {"number of five bytes", with(20, "\0\0\1\x0c"sv), Read::State::kWhole, Result::kInvalidAvpLength},
      {"malformed group", with(20, "\0\0\1\xbb"sv), Read::State::kWhole, Result::kInvalidAvpLength},
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
    bool of_the_user;
  };
  const Case cases[] = {
      {2001, Outcome::kOk, false},    {2002, Outcome::kOk, false},    {3002, Outcome::kNotSent, false},
      {3004, Outcome::kFull, false},  {3001, Outcome::kError, false}, {4012, Outcome::kError, true},
      {5012, Outcome::kError, false}, {5030, Outcome::kError, true},  {0, Outcome::kError, false}};
  for (const auto& one : cases) {
    CAPTURE(one.code);
    CHECK(meaning_of(one.code).outcome == one.outcome);
    CHECK(meaning_of(one.code).of_the_user == one.of_the_user);
  }
}

TEST_CASE("Diameter: a call from client to server and back, and its cut told once") {
  DiameterBench bench(setup(true, true), true);
  auto& till = *bench.till;
  till.open("till;1");
  bench.until([&] { return bench.peer().initials().size() == 1; });
  const auto ccr = bench.peer().initials()[0];
  CHECK(ccr.parameter(Parameter::kDescription) == "desc");
  CHECK(ccr.text(Code::kServiceContextId) == "voice@kartu.example");
  bench.peer().answer(ccr, Result::kSuccess, "a\r\nb");
  bench.until([&] { return till.answers().size() == 1; });
  CHECK(result_of(till.answers()[0]) == 2001);
  CHECK(till.answers()[0].text(Code::kSessionId) == "till;1");
  CHECK(till.answers()[0].parameter(Parameter::kDescription) == "a\r\nb");

  auto asr = bench.peer().request(Command::kAbortSession, kCcApp);
  bench.peer().origin(asr.add(Code::kSessionId, ccr.text(Code::kSessionId)));
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
  CHECK(till.answers()[0].parameter(Parameter::kDescription) == "sdp");
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
    bench.peer().answer(bench.peer().initials()[0], Result::kSuccess);
    bench.until([&] { return bench.peer().terminations().size() > had; });
  }
  SUBCASE("the client ends the session before its answer") {
    till.open("till;1");
    bench.until([&] { return bench.peer().initials().size() == 1; });
    till.say(till.credit("till;1", RequestType::kTermination));
    bench.until([&] { return till.answers().size() == 2; });
    CHECK(result_of(till.answers()[0]) == 5012);
    CHECK(result_of(till.answers()[1]) == 2001);
    bench.peer().answer(bench.peer().initials()[0], Result::kSuccess);
  }
  SUBCASE("the request comes twice") {
    till.open("till;1");
    till.open("till;1");
    bench.until([&] { return bench.peer().initials().size() == 1; });
    bench.peer().answer(bench.peer().initials()[0], Result::kSuccess);
    bench.until([&] { return till.answers().size() == 1; });
  }
  SUBCASE("every server refuses") {
    till.open("till;1", "300");
    bench.until([&] { return bench.peer().initials().size() == 1; });
    bench.peer().answer(bench.peer().initials()[0], Result::kTooBusy);
    bench.until([&] { return !till.answers().empty(); });
    CHECK(result_of(till.answers()[0]) == 3004);
    CHECK(till.answers()[0].error);
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
    bench.peer().say(bench.peer().origin(other.add(Code::kSessionId, "none")));
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
    if (reached()) bench.peer().answer(bench.peer().initials()[had], Result::kSuccess);
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
    bench.peer().answer(bench.peer().initials()[0], Result::kSuccess);
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
    bench.peer().say(bench.peer().origin(dpr).add(Code::kDisconnectCause, 0U));
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
  bench.peer().answer(bench.peer().initials()[0], Result::kSuccess);
  bench.until([&] { return bench.router->table().established() == 1; });
  bench.till->stream->close();
  SUBCASE("as the same process: the session stands, and its end waits for the connection") {
    bench.settle();
    CHECK(bench.router->table().established() == 1);
    auto asr = bench.peer().request(Command::kAbortSession, kCcApp);
    bench.peer().say(
        bench.peer().origin(asr.add(Code::kSessionId, bench.peer().initials()[0].text(Code::kSessionId))));
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
    CHECK(result_of(answer) == 3004);                    // DIAMETER_TOO_BUSY, for want of a word of its own
    CHECK(answer.find(Code::kErrorMessage) != nullptr);  // when to come back
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
         return till.origin(ccr.add(Code::kSessionId, "till;9"));
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
    const auto* failed = answer.find(Code::kFailedAvp);
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
