// The other sides of a fleet: session servers over SIP, callers over JSON lines, and the command channel.
// Each notes in the history what it saw.
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

struct ServerTraits {
  std::size_t max_out = 64;                        ///< set-ups in work beyond which it says 503
  Duration work = std::chrono::milliseconds{20};   ///< mean time to the answer
  Duration hold = std::chrono::milliseconds{800};  ///< mean time that a call stands
  double silent = 0;                               ///< share of set-ups that it never answers
};

class SipServer : public net::TcpConnection::Owner {
 public:
  SipServer(net::Loop& loop, Scene& scene, std::string name, ServerTraits traits, std::uint64_t seed);
  ~SipServer() override;
  /// An address for one router, so that its connections are known as its own.
  asio::ip::tcp::endpoint listen_for(const std::string& router);
  [[nodiscard]] const std::string& name() const { return name_; }

 private:
  struct Call {
    /// By which its set-up came. Not a plain pointer: once that has closed, a later connection, perhaps of
    /// another router, may have the same address.
    std::weak_ptr<net::TcpConnection> connection;
    std::string router, cseq, via;
    std::string description;  ///< empty: not answered yet
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
  /// By that connection if it is open, otherwise by any other of the release's router.
  void send_release(const Release& release, const std::shared_ptr<net::TcpConnection>& preferred);
  std::size_t on_bytes(net::TcpConnection& stream, std::span<char> bytes) override;
  void on_closed(net::TcpConnection& stream, net::CloseReason why) override;
  void on_request(net::TcpConnection& stream, const sip::SipRead& read);
  void on_invite(net::TcpConnection& stream, const sip::SipRead& read);
  void answer(const std::string& id);
  void hang_up(const std::string& id);
  void note(What what, const std::string& call, const std::string& router, std::int64_t number = 0,
            std::string text = {});
  Duration drawn(Duration mean) {
    return Duration{static_cast<std::int64_t>(static_cast<double>(mean.count()) * (0.5 + random_.share()))};
  }

  net::Loop& loop_;
  Scene& scene_;
  std::string name_;
  ServerTraits traits_;
  Random random_;
  std::list<asio::ip::tcp::acceptor> acceptors_;
  std::unordered_map<net::TcpConnection*, Connection> connections_;
  std::list<Release> releases_;
  Calls calls_;
  std::size_t working_ = 0;
  std::uint64_t answers_ = 0;
};

/// Callers of one router: one connection, made anew when it is lost.
class Callers : public net::TcpConnection::Owner {
 public:
  Callers(net::Loop& loop, Scene& scene, std::string name, std::string router, asio::ip::tcp::endpoint to,
          double calls_per_s, Duration patience, std::uint64_t seed);
  ~Callers() override;
  /// Calls until then; the first at once.
  void call_until(Duration end);
  /// Whether the router has said that it takes calls since this was last asked for.
  [[nodiscard]] bool ready() const { return ready_; }
  void ask_ready();

 private:
  void connect();
  void call();
  void give_up(const std::string& id);
  void on_line(std::span<char> line);
  void on_open(net::TcpConnection& stream) override;
  std::size_t on_bytes(net::TcpConnection& stream, std::span<char> bytes) override;
  void on_closed(net::TcpConnection& stream, net::CloseReason why) override;
  void note(What what, const std::string& call, std::int64_t number = 0, std::string text = {});

  net::Loop& loop_;
  Scene& scene_;
  std::string name_, router_;
  asio::ip::tcp::endpoint to_;
  double calls_per_s_;
  Duration patience_, end_{};
  Random random_;
  std::shared_ptr<net::TcpConnection> stream_;
  bool open_ = false, ready_ = false, asking_ = false;
  struct Waiting {
    core::TimerWheel::Handle timer = 0;
    Duration sent{};
    std::string line;
    bool resent = false;
  };
  std::map<std::string, Waiting> waiting_;  ///< for an answer
  std::set<std::string> standing_;
  core::TimerWheel::Handle next_ = 0, again_ = 0;
};

/// The command channel of one router: the events so far, then each new one.
class Channel : public net::TcpConnection::Owner {
 public:
  Channel(net::Loop& loop, std::string first_event);
  ~Channel() override;
  [[nodiscard]] asio::ip::tcp::endpoint where() const { return acceptor_.local_endpoint(); }
  /// `nodes` as in PROTOCOL's example.
  void tell(const std::string& nodes);
  /// For `known` in a configuration: all that was told.
  [[nodiscard]] std::string known() const;

 private:
  void accept();
  void beat();
  std::size_t on_bytes(net::TcpConnection& stream, std::span<char> bytes) override;
  void on_closed(net::TcpConnection& stream, net::CloseReason why) override;
  [[nodiscard]] std::string text_of(std::size_t event) const;
  net::Loop& loop_;
  asio::ip::tcp::acceptor acceptor_;
  std::vector<std::string> events_;
  std::unordered_map<net::TcpConnection*, std::shared_ptr<net::TcpConnection>> open_, listening_;
  core::TimerWheel::Handle beat_ = 0;
};

}  // namespace amberknot::lab::fleet
