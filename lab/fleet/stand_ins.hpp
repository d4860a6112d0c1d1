// The peers of a fleet's routers: session servers over SIP, callers over JSON lines, and the command
// channel. Servers and callers record in the history what they observe.
#pragma once

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "jsonl/codec.hpp"
#include "lab/fleet/random.hpp"
#include "lab/fleet/relay.hpp"
#include "net/stream.hpp"
#include "sip/codec.hpp"

namespace amberknot::lab::fleet {

/// How a session server behaves.
struct ServerTraits {
  std::size_t max_set_ups_in_progress = 64;  ///< refuses further set-ups with status 503
  Duration mean_answer_time = std::chrono::milliseconds{20};
  Duration mean_call_time = std::chrono::milliseconds{800};  ///< from the answer until the server hangs up
  double unanswered_share = 0;                               ///< share of the set-ups that it never answers
};

/// A session server over SIP.
class SipServer : public net::TcpConnection::EventHandler {
 public:
  SipServer(net::Loop& loop, RunContext& context, std::string name, ServerTraits traits, std::uint64_t seed);
  ~SipServer() override;
  /// Opens a listening address for one router, which identifies the router's connections, and returns it.
  asio::ip::tcp::endpoint listen_for(const std::string& router);
  [[nodiscard]] const std::string& name() const { return name_; }
  /// Forgets all calls and releases without a message, as a process that has died. The caller of this
  /// function closes the connections.
  void lose_calls();

 private:
  struct Call {
    /// The connection of the set-up. Not a plain pointer, since a later connection, perhaps of another
    /// router, may get the address of a closed one.
    std::weak_ptr<net::TcpConnection> connection;
    std::string router, cseq, via;
    std::string description;  ///< empty until the call is answered
    core::TimerWheel::Handle timer = 0;
  };
  using Calls = std::unordered_map<std::string, Call>;
  struct Connection {
    std::shared_ptr<net::TcpConnection> stream;
    std::string router;
  };
  /// A release that the router has not confirmed.
  struct Release {
    std::string id, router, text;
    Duration since{};
  };
  void accept(asio::ip::tcp::acceptor& acceptor, const std::string& router);
  /// The state of the group, which is the first message on each connection (the operators' page PROTOCOL).
  [[nodiscard]] std::string load_report() const;
  /// Sends the release on `preferred` if it is open, otherwise on any other connection of the same router.
  void send_release(const Release& release, const std::shared_ptr<net::TcpConnection>& preferred);
  std::size_t on_bytes(net::TcpConnection& stream, std::span<char> bytes) override;
  void on_closed(net::TcpConnection& stream, net::CloseReason reason) override;
  void on_request(net::TcpConnection& stream, const sip::SipParseResult& message);
  void on_invite(net::TcpConnection& stream, const sip::SipParseResult& message);
  void answer(const std::string& id);
  void hang_up(const std::string& id);
  void record(EventKind kind, const std::string& call, const std::string& router, std::int64_t number = 0,
              std::string text = {});
  /// Returns a duration between half and one and a half of `mean`, uniformly distributed.
  Duration random_duration(Duration mean) {
    return Duration{static_cast<std::int64_t>(static_cast<double>(mean.count()) * (0.5 + random_.uniform()))};
  }

  net::Loop& loop_;
  RunContext& context_;
  std::string name_;
  ServerTraits traits_;
  Random random_;
  std::list<asio::ip::tcp::acceptor> acceptors_;
  std::unordered_map<net::TcpConnection*, Connection> connections_;
  std::list<Release> unconfirmed_releases_;
  Calls calls_;
  std::size_t set_ups_in_progress_ = 0;
  std::uint64_t answer_count_ = 0;
};

/// How the callers of a router behave.
struct CallerTraits {
  double calls_per_s = 20;
  Duration timeout = std::chrono::milliseconds{2000};  ///< how long a caller waits for an answer
  std::size_t destinations = 1;  ///< calls are distributed evenly over pools 0 to `destinations` - 1
  double give_up_share = 0;      ///< share of the callers that give up early
  double leave_share = 0;        ///< share of the callers that end their established calls themselves
  double pieces_share = 0;       ///< share of the set-ups that are written in pieces
};

/// The established calls of all callers of a router. A release may come on any connection of the caller, and
/// a caller is known by its address, which all callers of a run share (the operators' page PROTOCOL).
struct EstablishedCalls {
  std::set<std::string> current;  ///< call ids
  std::set<std::string> left;     ///< ids of the calls that a caller has ended
};

/// The callers of one router. They share one connection, which is opened again after it closes.
class Callers : public net::TcpConnection::EventHandler {
 public:
  Callers(net::Loop& loop, RunContext& context, std::string name, std::string router,
          asio::ip::tcp::endpoint to, CallerTraits traits, std::uint64_t seed,
          std::shared_ptr<EstablishedCalls> established);
  ~Callers() override;
  /// Makes calls until `end`, the first at once.
  void call_until(Duration end);
  /// Sends this many set-ups at once as soon as the connection is open.
  void call_at_once(std::size_t count) { calls_at_once_ = count; }
  /// Returns true if the router has reported since the last request_readiness() that it accepts calls.
  [[nodiscard]] bool is_ready() const { return is_ready_; }
  /// Asks the router whether it accepts calls, again and again until it does.
  void request_readiness();
  /// Sets whether the front sends new connections to the router. If not, a closed connection is not opened
  /// again, and a set-up that crossed its close goes to another router, which this class does not play.
  void set_admitted(bool is_admitted);

 private:
  void connect();
  void reconnect_after(Duration delay);
  void call();
  void place_call();
  /// Writes a line, in pieces or at once; a line that is written in pieces delays the next ones. `on_written`
  /// is called once the last byte is written.
  void write_line(std::string line, bool in_pieces, std::function<void()> on_written);
  void write_next_piece();
  void schedule_leave(const std::string& id);
  void give_up(const std::string& id);
  void on_line(std::span<char> line);
  void on_open(net::TcpConnection& stream) override;
  std::size_t on_bytes(net::TcpConnection& stream, std::span<char> bytes) override;
  void on_closed(net::TcpConnection& stream, net::CloseReason reason) override;
  void record(EventKind kind, const std::string& call, std::int64_t number = 0, std::string text = {});

  net::Loop& loop_;
  RunContext& context_;
  std::string name_, router_;
  asio::ip::tcp::endpoint to_;
  CallerTraits traits_;
  Duration end_{};
  Random random_;
  std::shared_ptr<net::TcpConnection> stream_;
  bool is_open_ = false, is_ready_ = false, is_probing_ = false;
  bool is_admitted_ = true;
  struct PendingSetUp {
    core::TimerWheel::Handle timer = 0;
    Duration sent_at{};
    std::string line;
    bool is_resent = false;
  };
  std::map<std::string, PendingSetUp> pending_;    ///< set-ups without an answer, by call id
  std::shared_ptr<EstablishedCalls> established_;  ///< of all callers of the router
  struct Output {
    std::string bytes;
    bool in_pieces = false;
    std::function<void()> on_written;
  };
  std::deque<Output> outputs_;  ///< the first one is being written
  core::TimerWheel::Handle piece_timer_ = 0;
  std::size_t calls_at_once_ = 0;
  core::TimerWheel::Handle next_call_timer_ = 0, retry_timer_ = 0;
};

/// The command channel of one router. It sends all past events to a new subscriber, then each new event.
class CommandChannel : public net::TcpConnection::EventHandler {
 public:
  CommandChannel(net::Loop& loop, std::string first_event);
  ~CommandChannel() override;
  /// Returns the address on which the channel listens.
  [[nodiscard]] asio::ip::tcp::endpoint address() const { return address_; }
  /// Sends an event to all subscribers. `nodes` is the endpoint list, as in the example of
  /// the operators' page PROTOCOL.
  void publish(const std::string& nodes);
  /// While silent, the channel says nothing; its connections stay open and new ones are accepted.
  void set_silent(bool is_silent);
  /// While down, the channel has no connections and refuses new ones.
  void set_down(bool is_down);
  /// Returns the channel's events, for another channel that replaces this one.
  [[nodiscard]] const std::vector<std::string>& events() const { return events_; }
  void set_events(std::vector<std::string> events) { events_ = std::move(events); }
  /// Returns all events so far, as the value of `known` in a configuration.
  [[nodiscard]] std::string known_events() const;

 private:
  void listen();
  void accept();
  void close_connections();
  void send_heartbeat();
  std::size_t on_bytes(net::TcpConnection& stream, std::span<char> bytes) override;
  void on_closed(net::TcpConnection& stream, net::CloseReason reason) override;
  [[nodiscard]] std::string event_json(std::size_t index) const;
  net::Loop& loop_;
  /// Bound and never listens, so that no other socket gets the port while the channel is down.
  asio::ip::tcp::acceptor reserved_port_;
  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::endpoint address_;
  bool is_silent_ = false;
  std::vector<std::string> events_;
  std::unordered_map<net::TcpConnection*, std::shared_ptr<net::TcpConnection>> connections_, subscribers_;
  core::TimerWheel::Handle heartbeat_timer_ = 0;
};

}  // namespace amberknot::lab::fleet
