// The callers' front: accepts connections, reads JSON lines, and answers on whatever connection of the
// caller is open.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/call_table.hpp"
#include "core/counters.hpp"
#include "core/names.hpp"
#include "jsonl/codec.hpp"
#include "net/log.hpp"
#include "net/stream.hpp"
#include "translate/eligibility.hpp"

namespace amberknot::jsonl {

class Frontend : public core::Frontend, public net::TcpConnection::Owner {
 public:
  Frontend(net::Loop& loop, core::CallTable& table, core::Counters& counters, const core::Names& names,
           const Settings& settings, const net::ResourceLimits& bounds, const asio::ip::tcp::endpoint& listen,
           const translate::Translator* translator = nullptr);

  bool answer(CallId call, std::string_view description) override;
  void reject(CallId call, core::Reason reason, Duration retry_after) override;
  void fail(CallId call, core::Reason reason) override;
  void release(CallId call, core::Cause cause) override;

  [[nodiscard]] std::string where() const override { return where_; }
  [[nodiscard]] std::size_t connections() const override { return connections_.size(); }
  [[nodiscard]] bool settled() override;
  void leave() override;
  [[nodiscard]] bool closed() const override;
  void standby(bool on) override;
  void hand_over(std::function<void(core::UndeliveredRelease)> untold) override;
  void take_over(const core::UndeliveredRelease& release) override;

 private:
  struct Told {
    net::TcpConnection::Tag tag = 0;
    core::UndeliveredRelease release;
    Instant at{};
  };
  struct Connection {
    std::shared_ptr<net::TcpConnection> stream;
    Instant accepted{};
    std::optional<Instant> half_line_since;
    bool useful = false;               ///< a set-up of it was taken, or it ended or tested something
    std::unordered_set<CallId> calls;  ///< that came by it
    std::size_t unanswered = 0;        ///< of these
    std::size_t held = 0;              ///< bytes for the unanswered ones
    /// Releases told on it that its caller has not said it has heard.
    std::deque<Told> told;
  };
  struct Call {
    std::string sid;
    Connection* on = nullptr;  ///< by which it came; null once that is gone
    asio::ip::address caller;
    bool answered = false;
    std::size_t held = 0;
  };
  struct Waiting {
    std::deque<core::UndeliveredRelease> releases;
    Instant since{};
  };

  void accept();
  void take_or_turn_away(asio::ip::tcp::socket socket);
  void take(asio::ip::tcp::socket socket);
  bool make_room();
  std::size_t on_bytes(net::TcpConnection& stream, std::span<char> bytes) override;
  void on_closed(net::TcpConnection& stream, net::CloseReason why) override;
  bool on_line(Connection& from, std::span<char> line, char* end);
  void open(Connection& from, const JsonLine& line);
  /// What is wrong with a set-up, or null.
  const char* check(const JsonLine& line, core::NewSetUp& to) const;
  void open_again(Connection& from, const std::string& sid, CallId live);
  void close(Connection& from, const JsonLine& line);
  void leave(Connection& connection, bool with_what_is_queued);
  /// The connection is gone: what was not answered on it is given up, and so is what was answered and not
  /// written. Releases that were not written are told elsewhere.
  void forget(net::TcpConnection& stream, bool was_written);
  void take_waiting();
  /// A close now would drop bytes: of a set-up on its way in, or of what was said.
  [[nodiscard]] static bool is_busy(const Connection& one);
  /// The final message of a call; on its own connection before the answer, on any of the caller's after it.
  void finish(CallId call, core::Cause cause, std::optional<Duration> wait = std::nullopt);
  /// After the answer: on any connection of the caller's, or its next one.
  void tell_release(core::UndeliveredRelease release);
  void send_release(net::TcpConnection& stream, core::UndeliveredRelease release);
  Call remove_call(CallId call);
  void settled(Call& call);
  std::shared_ptr<net::TcpConnection> any_of(const asio::ip::address& caller);
  void sweep();
  /// Whether a connection may be closed: in standby nothing waits or stands on it, and it had time for its
  /// first line; handing over nothing waits on it.
  [[nodiscard]] bool owes_nothing(const Connection& one, Instant now) const;
  /// In standby and handing over: closes each connection that owes nothing.
  void close_answered();
  void close_what_owes_nothing_now_and_then();

  net::Loop& loop_;
  core::CallTable& table_;
  core::Counters& counters_;
  const core::Names& names_;
  const Settings& settings_;
  net::ResourceLimits bounds_;
  const translate::Translator* translator_;  ///< null: nothing is translated
  std::size_t dialect_ = 0;
  mutable translate::Record scratch_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer pause_;
  JsonLineReader reader_;
  std::unordered_map<net::TcpConnection*, Connection> connections_;
  std::map<asio::ip::address, std::vector<net::TcpConnection*>> by_caller_;
  std::list<std::shared_ptr<net::TcpConnection>> lingering_;  ///< closed for us, not yet by the other side
  std::unordered_map<CallId, Call> calls_;
  std::unordered_map<std::string, CallId> by_sid_;
  std::size_t held_ = 0;                              ///< bytes for all unanswered calls
  std::map<asio::ip::address, Waiting> undelivered_;  ///< releases for callers without a connection
  std::size_t undelivered_lines_ = 0;
  net::TcpConnection::Tag next_release_ = 1;
  std::string where_;
  bool standby_ = false;
  bool handing_over_ = false;
  std::function<void(core::UndeliveredRelease)> untold_;
  core::TimerWheel::Handle closing_ = 0;
  net::log::RateLimiter log_unreadable_, log_malformed_, log_repeated_, log_full_, log_silent_;
};

}  // namespace amberknot::jsonl
