// One Diameter connection: capabilities exchange, watchdog (RFC 3539), disconnect and the peer's
// Origin-State-Id. Messages of the application are passed to the handler.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/counters.hpp"
#include "diameter/codec.hpp"
#include "net/stream.hpp"

namespace amberknot::diameter {

/// The identity that this router presents to its peers, and the timers of its connections. All clients and
/// servers share one identity and one space of End-to-End Identifiers.
struct Identity {
  std::string host;
  std::string realm;
  std::uint32_t origin_state_id = 0;  ///< Origin-State-Id; higher after each start of the router
  Duration watchdog_interval = std::chrono::seconds{30};  ///< Tw of RFC 3539
  Duration watchdog_jitter = std::chrono::seconds{2};  ///< Tw varies at random by up to this much either way
  Duration capabilities_timeout = std::chrono::seconds{5};  ///< for the whole capabilities exchange
  std::uint32_t next_end_to_end = 0;
};

/// A connection with one Diameter peer, opened by either side. It lives in the loop's thread.
class Peer : public net::TcpConnection::EventHandler, public std::enable_shared_from_this<Peer> {
 public:
  /// Receives the events of a connection.
  class Handler {
   public:
    virtual ~Handler() = default;
    /// Decides whether a peer that has connected may stay. Any result but success refuses it.
    virtual ResultCode admit(Peer& /*peer*/) { return ResultCode::kSuccess; }
    /// The capabilities exchange has succeeded.
    virtual void on_up(Peer& peer) = 0;
    /// A valid Credit-Control or Abort-Session message.
    virtual void on_message(Peer& peer, const Message& message) = 0;
    /// An answer in which a fault was found. `message` holds its header and the AVPs before the fault, so
    /// that it says which request it ends, but nothing else in it can be relied on.
    virtual void on_malformed_answer(Peer& /*peer*/, const Message& /*message*/) {}
    /// `is_healthy` is false when a watchdog request was not answered in time, true when one is answered
    /// again.
    virtual void on_health_changed(Peer& /*peer*/, bool /*is_healthy*/) {}
    /// A DWA came; `round_trip` is the time since the DWR.
    virtual void on_watchdog_answer(Peer& /*peer*/, Duration /*round_trip*/) {}
    /// The peer has sent a DPR.
    virtual void on_disconnect_request(Peer& /*peer*/) {}
    /// The last known Origin-State-Id of the peer, which the handler keeps between connections.
    virtual std::uint32_t& last_state_id(Peer& peer) = 0;
    /// The peer's Origin-State-Id has increased: it has lost all its sessions.
    virtual void on_restarted(Peer& peer) = 0;
    /// The connection is closed.
    virtual void on_down(Peer& peer, net::CloseReason reason) = 0;
  };

  Peer(net::Loop& loop, core::Counters& counters, Identity& identity, Handler& handler);
  ~Peer() override { close(); }

  /// Connects to a server, within `timeout`.
  void connect(const asio::ip::tcp::endpoint& remote, Duration timeout);
  /// Takes over the accepted socket of a client.
  void adopt(asio::ip::tcp::socket socket);
  /// Starts a request and stores its Hop-by-Hop Identifier in `hop_by_hop`, if given. The caller adds the
  /// Session-Id, if there is one, and then calls add_origin().
  Writer request(Command command, std::uint32_t application, std::uint32_t* hop_by_hop = nullptr);
  /// Adds Origin-Host and Origin-Realm of this router.
  Writer& add_origin(Writer& writer) const;
  void send(Writer& writer, net::TcpConnection::Tag tag = 0) { stream_->send(writer.finish(), {}, tag); }
  /// Starts an answer to the request `to` with the origin and, if the fault names an AVP, Failed-AVP.
  Writer answer(const Message& to, const Fault& fault) const;
  /// Sends a DWR unless one is unanswered.
  void send_watchdog();
  void disconnect();  ///< sends a DPR and closes the connection when it is answered
  /// Closes the connection without calling on_down().
  void close();

  [[nodiscard]] bool is_up() const { return is_up_; }
  /// Returns true while new sessions may be opened: the peer is up, answers its watchdog and neither side has
  /// sent a DPR.
  [[nodiscard]] bool is_healthy() const { return is_up_ && is_healthy_ && !is_disconnecting_; }
  /// Origin-Host of the peer, empty before the capabilities exchange.
  [[nodiscard]] const std::string& host() const { return host_; }
  /// Origin-Realm of the peer, empty before the capabilities exchange.
  [[nodiscard]] const std::string& realm() const { return realm_; }
  /// When the capabilities exchange succeeded; zero before that.
  [[nodiscard]] Instant up_since() const { return up_since_; }
  /// The last Origin-State-Id received on this connection; zero if there was none.
  [[nodiscard]] std::uint32_t state_id() const { return state_id_; }
  [[nodiscard]] net::TcpConnection& stream() { return *stream_; }
  /// When the last message was received; zero before the first one.
  [[nodiscard]] Instant last_received_at() const { return last_received_at_; }

 private:
  void on_open(net::TcpConnection& stream) override;
  std::size_t on_bytes(net::TcpConnection& stream, std::span<char> bytes) override;
  void on_closed(net::TcpConnection& stream, net::CloseReason reason) override;
  void on_message_read(const ReadResult& read);
  void on_faulty_message(const ReadResult& read);
  void on_capabilities(const ReadResult& read);
  void on_base_request(const Message& message);
  void on_watchdog_answer(const Message& message);
  void on_disconnect_answer(const Message& message);
  void on_origin_state_id(const Message& message);
  void mark_up();
  void start_watchdog_timer();
  void on_watchdog_timer();
  void fail(net::CloseReason reason);

  net::Loop& loop_;
  core::Counters& counters_;
  Identity& identity_;
  Handler& handler_;
  std::shared_ptr<net::TcpConnection> stream_;
  bool is_initiator_ = false;
  bool is_up_ = false;
  bool is_healthy_ = true;
  bool is_disconnecting_ = false;
  std::optional<std::uint32_t> pending_disconnect_;  ///< Hop-by-Hop Identifier of the DPR, if one was sent
  std::optional<std::uint32_t> pending_watchdog_;    ///< the same of the unanswered DWR, if there is one
  Instant watchdog_sent_at_{};
  Instant last_received_at_{};
  Instant up_since_{};
  std::uint32_t state_id_ = 0;
  std::uint32_t next_hop_by_hop_ = 1;
  std::string host_, realm_;
  core::TimerWheel::Handle timer_ = 0;  ///< limits the capabilities exchange, then runs the watchdog
};

}  // namespace amberknot::diameter
