// One Diameter connection: capabilities exchange, watchdog (RFC 3539), disconnect and the other side's
// Origin-State-Id. What belongs to the application goes to the handler.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "core/counters.hpp"
#include "diameter/codec.hpp"
#include "net/stream.hpp"

namespace amberknot::diameter {

/// What this router says of itself, and its patience.
struct Identity {
  std::string host;
  std::string realm;
  std::uint32_t state_id = 0;                       ///< new with each start of the router
  Duration watchdog = std::chrono::seconds{30};     ///< Tw
  Duration jitter = std::chrono::seconds{2};        ///< Tw varies by so much either way
  Duration capabilities = std::chrono::seconds{5};  ///< for the capabilities exchange
  std::uint32_t next_end_to_end = 0;
};

class Peer : public net::TcpConnection::Owner, public std::enable_shared_from_this<Peer> {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    /// The other side may be known or not: success admits it.
    virtual Result admit(Peer& /*peer*/) { return Result::kSuccess; }
    virtual void on_up(Peer& peer) = 0;
    virtual void on_message(Peer& peer, const Message& message) = 0;
    /// False: a watchdog was not answered in time. True: it answers again.
    virtual void on_health(Peer& /*peer*/, bool /*healthy*/) {}
    /// Every DWA, with the time that it took.
    virtual void on_watchdog(Peer& /*peer*/, Duration /*taken*/) {}
    /// The other side has said that it disconnects.
    virtual void on_leaving(Peer& /*peer*/) {}
    /// The last Origin-State-Id of the other side, kept from one connection to the next.
    virtual std::uint32_t& last_state(Peer& peer) = 0;
    /// Its Origin-State-Id went up: it has lost all its sessions.
    virtual void on_restarted(Peer& peer) = 0;
    virtual void on_down(Peer& peer, net::CloseReason why) = 0;
  };

  Peer(net::Loop& loop, core::Counters& counters, Identity& identity, Handler& handler);
  ~Peer() override { close(); }

  void connect(const asio::ip::tcp::endpoint& to, Duration limit);
  void adopt(asio::ip::tcp::socket socket);
  /// A request's Origin-Host and Origin-Realm are added behind its Session-Id by the caller: see origin().
  Writer request(Command command, std::uint32_t application, std::uint32_t* hop_by_hop = nullptr);
  Writer& origin(Writer& writer) const;
  void send(Writer& writer, net::TcpConnection::Tag tag = 0) { stream_->send(writer.finish(), {}, tag); }
  /// An answer of the same kind with origin and, where there is one, Failed-AVP.
  Writer answer(const Message& to, const Fault& fault) const;
  void send_watchdog();
  void disconnect();  ///< DPR, and close once it is answered
  void close();

  [[nodiscard]] bool is_up() const { return up_; }
  [[nodiscard]] bool healthy() const { return up_ && healthy_ && !leaving_; }
  [[nodiscard]] const std::string& host() const { return host_; }
  [[nodiscard]] const std::string& realm() const { return realm_; }
  [[nodiscard]] net::TcpConnection& stream() { return *stream_; }

 private:
  void on_open(net::TcpConnection& stream) override;
  std::size_t on_bytes(net::TcpConnection& stream, std::span<char> bytes) override;
  void on_closed(net::TcpConnection& stream, net::CloseReason why) override;
  void on_read(const Read& read);
  void on_capabilities(const Read& read);
  void on_base(const Message& message);
  void learn_state(const Message& message);
  void up();
  void set_watchdog();
  void on_watchdog_due();
  void fail(net::CloseReason why);

  net::Loop& loop_;
  core::Counters& counters_;
  Identity& identity_;
  Handler& handler_;
  std::shared_ptr<net::TcpConnection> stream_;
  bool initiator_ = false;
  bool up_ = false;
  bool healthy_ = true;
  bool leaving_ = false;
  bool asked_ = false;  ///< a DWR is out
  Instant asked_at_{};
  Instant heard_at_{};
  std::uint32_t next_hop_by_hop_ = 1;
  std::string host_, realm_;
  core::TimerWheel::Handle timer_ = 0;
};

}  // namespace amberknot::diameter
