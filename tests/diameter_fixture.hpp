// Fixture of the Diameter tests: a router between JSON lines callers, Diameter clients and a Diameter server,
// which are stand-ins on loopback.
#pragma once

#include "diameter/codec.hpp"
#include "net_bench.hpp"

namespace amberknot::tests {

using namespace diameter;

inline constexpr std::uint32_t kCreditControl = kCreditControlApplication;

/// The connection of a test peer, which is a client or a server. It exchanges capabilities and answers
/// watchdog requests by itself and stores all other messages.
struct DiameterTestPeer : TestConnection {
  DiameterTestPeer(Loop& loop, std::string host, std::uint32_t state_id = 1, bool is_client = false)
      : TestConnection(loop), host(std::move(host)), state_id(state_id), is_client(is_client) {}

  Writer& add_origin(Writer& writer) const {
    return writer.add(AvpCode::kOriginHost, host).add(AvpCode::kOriginRealm, "acme");
  }
  Writer& add_capabilities(Writer& writer) const {
    add_origin(writer).add_address(AvpCode::kHostIpAddress, "127.0.0.1").add(AvpCode::kVendorId, 0U);
    return writer.add(AvpCode::kProductName, "stand-in")
        .add(AvpCode::kOriginStateId, state_id)
        .add(AvpCode::kAuthApplicationId, kCreditControl);
  }
  Writer request(Command command, std::uint32_t application) {
    ++next_id;
    return Writer::request(command, application, next_id, next_id);
  }
  void send_message(Writer writer) { stream->send(writer.finish()); }
  void on_open(net::TcpConnection& /*stream*/) override {
    if (!is_client) return;
    auto cer = request(Command::kCapabilitiesExchange, 0);
    send_message(add_capabilities(cer));
  }
  std::size_t on_bytes(net::TcpConnection& /*stream*/, std::span<char> bytes) override {
    std::size_t consumed = 0;
    while (consumed < bytes.size()) {
      const auto read =
          read_message({bytes.data() + consumed, bytes.size() - consumed}, net::kMaxMessageBytes);
      if (read.state != ReadResult::State::kComplete) break;
      CHECK(read.fault.result == ResultCode::kSuccess);  // the router must not write malformed messages
      if (read.message.is_request && read.message.has_command(Command::kCapabilitiesExchange)) {
        auto cea = Writer::answer(read.message, ResultCode::kSuccess);
        send_message(add_capabilities(cea));
      } else if (read.message.is_request && read.message.has_command(Command::kWatchdog)) {
        ++watchdog_requests;
        last_watchdog_request.assign(bytes.data() + consumed, read.size);
        if (answers_watchdogs) answer_watchdog(read.message);
      } else {
        received_messages.emplace_back(bytes.data() + consumed, read.size);
      }
      consumed += read.size;
    }
    return consumed;
  }
  void answer_watchdog(const Message& dwr) {
    auto dwa = Writer::answer(dwr, ResultCode::kSuccess);
    send_message(add_origin(dwa).add(AvpCode::kOriginStateId, state_id));
  }

  /// Returns the stored requests or answers of a command. With `type`, only those of that CC-Request-Type.
  std::vector<Message> find_messages(Command command, bool is_request,
                                     std::optional<RequestType> type = {}) const {
    std::vector<Message> found;
    for (const auto& raw : received_messages) {
      const auto read = read_message(raw, net::kMaxMessageBytes);
      const auto of_type = read.message.number(AvpCode::kCcRequestType);
      if (read.message.has_command(command) && read.message.is_request == is_request &&
          (!type || of_type == static_cast<std::uint32_t>(*type))) {
        found.push_back(read.message);
      }
    }
    return found;
  }
  std::vector<Message> initial_requests() const {
    return find_messages(Command::kCreditControl, true, RequestType::kInitial);
  }
  std::vector<Message> termination_requests() const {
    return find_messages(Command::kCreditControl, true, RequestType::kTermination);
  }
  std::vector<Message> answers() const { return find_messages(Command::kCreditControl, false); }
  std::vector<Message> abort_requests() const { return find_messages(Command::kAbortSession, true); }

  Writer credit_control_request(const std::string& session, RequestType type) {
    auto ccr = request(Command::kCreditControl, kCreditControl);
    add_origin(ccr.add(AvpCode::kSessionId, session)).add(AvpCode::kDestinationRealm, "kartu.example");
    ccr.add(AvpCode::kAuthApplicationId, kCreditControl)
        .add(AvpCode::kServiceContextId, "voice@kartu.example");
    ccr.add(AvpCode::kCcRequestType, static_cast<std::uint32_t>(type)).add(AvpCode::kCcRequestNumber, 0U);
    return ccr;
  }
  void send_initial_request(const std::string& session, const std::string& wait_ms = "2000") {
    auto ccr = credit_control_request(session, RequestType::kInitial);
    ccr.add_group(AvpCode::kSubscriptionId, [](Writer& group) {
      group.add(AvpCode::kSubscriptionIdType, 4U).add(AvpCode::kSubscriptionIdData, "77aa");
    });
    send_message(ccr.add_parameter(ServiceParameter::kDescription, "desc")
                     .add_parameter(ServiceParameter::kWaitMs, wait_ms));
  }
  void send_answer(const Message& ccr, ResultCode result, const std::string& description = "sdp") {
    auto cca = Writer::answer(ccr, result);
    add_origin(cca).add(AvpCode::kAuthApplicationId, kCreditControl);
    cca.add_raw(ccr.find(AvpCode::kCcRequestType)->encoded)
        .add_raw(ccr.find(AvpCode::kCcRequestNumber)->encoded);
    send_message(cca.add_parameter(ServiceParameter::kDescription, description));
  }

  std::string host;
  std::uint32_t state_id;
  bool is_client;
  bool answers_watchdogs = true;
  int watchdog_requests = 0;
  std::string last_watchdog_request;
  std::uint32_t next_id = 1;
  std::vector<std::string> received_messages;
};

inline app::OperatorFile operator_file(bool has_servers, bool has_clients,
                                       milliseconds watchdog = std::chrono::seconds{30}) {
  app::OperatorFile file;
  file.diameter.emplace();
  file.diameter->origin_host = "n0.kartu.example";
  file.diameter->origin_realm = "kartu.example";
  if (has_servers) file.diameter->servers = {"*"};
  if (has_clients) file.diameter->listen = asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0);
  file.diameter->clients = {"till.acme"};
  file.diameter->watchdog_interval = watchdog;
  return file;
}

struct DiameterFixture : RouterFixture {
  explicit DiameterFixture(const app::OperatorFile& file, bool has_client = false,
                           const app::Config& base = router_config())
      : RouterFixture(file, base) {
    server.make_connection = [this] { return std::make_unique<DiameterTestPeer>(loop, "s1.acme", state_id); };
    announce_server();
    if (!file.diameter->servers.empty()) {
      run_until(
          [&] { return !server.connections.empty() && peer().watchdog_requests + peer().state_id > 0; });
      wait_until_peer_is_used();
    }
    if (has_client) client_end = connect_client("till.acme");
  }
  /// Waits until the router uses the peer: sets up a call there and releases it.
  void wait_until_peer_is_used() {
    send_set_up("00000000000000f0");
    run_until([&] { return !peer().initial_requests().empty(); });
    peer().send_answer(peer().initial_requests()[0], ResultCode::kSuccess);
    run_until([&] { return caller->has_received("\"ready\",\"sid\":\"00000000000000f0"); });
    send_from_caller("{\"msg\":\"close\",\"sid\":\"00000000000000f0\",\"attrs\":{},\"code\":16}\n");
    run_until([&] { return peer().termination_requests().size() == 1; });
    peer().received_messages.clear();
    caller->received.clear();
  }
  /// Connects a client and exchanges capabilities.
  std::unique_ptr<DiameterTestPeer> connect_client(const std::string& host,
                                                   std::uint32_t client_state_id = 1) {
    auto end = std::make_unique<DiameterTestPeer>(loop, host, client_state_id, true);
    end->stream->connect(*router->diameter_endpoint(), milliseconds{500});
    run_until([&] { return !end->find_messages(Command::kCapabilitiesExchange, false).empty(); });
    return end;
  }
  DiameterTestPeer& peer() { return static_cast<DiameterTestPeer&>(*server.connections.back()); }
  /// Establishes a call from the JSON lines caller at the peer.
  void establish_call(const std::string& sid) {
    const auto previous_count = peer().initial_requests().size();
    send_set_up(sid);
    run_until([&] { return peer().initial_requests().size() > previous_count; });
    peer().send_answer(peer().initial_requests()[previous_count], ResultCode::kSuccess);
    run_until([&] { return caller->has_received("\"ready\",\"sid\":\"" + sid); });
  }
  std::uint32_t state_id = 1;
  std::unique_ptr<DiameterTestPeer> client_end;
};

inline const std::string kCallA = "00000000000000a1";
inline const std::string kCallB = "00000000000000b2";

inline std::uint32_t result_of(const Message& message) {
  return message.number(AvpCode::kResultCode).value_or(0);
}

}  // namespace amberknot::tests
