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

  [[nodiscard]] std::string listen_address() const override { return where_; }
  [[nodiscard]] std::size_t connections() const override { return connections_.size(); }
  [[nodiscard]] bool is_settled() override;
  void shut_down() override;
  [[nodiscard]] bool is_closed() const override;
  void set_standby(bool is_standby) override;
  void begin_hot_restart(std::function<void(core::UndeliveredRelease)> undelivered) override;
  void deliver_release(const core::UndeliveredRelease& release) override;

 private:
  struct SentRelease {
    net::TcpConnection::Tag tag = 0;
    core::UndeliveredRelease release;
    Instant at{};
  };
  struct Connection {
    std::shared_ptr<net::TcpConnection> stream;
    Instant accepted{};
    std::optional<Instant> partial_line_since;
    bool is_useful = false;            ///< a set-up of it was taken, or it ended or tested something
    std::unordered_set<CallId> calls;  ///< that came by it
    std::size_t unanswered = 0;        ///< of these
    std::size_t held = 0;              ///< bytes for the unanswered ones
    /// Releases told on it that its caller has not said it has heard.
    std::deque<SentRelease> sent_releases;
  };
  struct Call {
    std::string sid;
    Connection* connection = nullptr;  ///< by which it came; null once that is gone
    asio::ip::address caller;
    bool answered = false;
    std::size_t held = 0;
  };
  struct Waiting {
    std::deque<core::UndeliveredRelease> releases;
    Instant since{};
  };

  void accept();
  void accept_or_reject(asio::ip::tcp::socket socket);
  void add_connection(asio::ip::tcp::socket socket);
  bool make_room();
  std::size_t on_bytes(net::TcpConnection& stream, std::span<char> bytes) override;
  void on_closed(net::TcpConnection& stream, net::CloseReason why) override;
  bool on_line(Connection& from, std::span<char> line, char* end);
  void open(Connection& from, const JsonLine& line);
  /// What is wrong with a set-up, or null.
  const char* check(const JsonLine& line, core::NewSetUp& to) const;
  void on_repeated_id(Connection& from, const std::string& sid, CallId live);
  void close(Connection& from, const JsonLine& line);
  void close_connection(Connection& connection, bool with_what_is_queued);
  /// The connection is gone: what was not answered on it is given up, and so is what was answered and not
  /// written. Releases that were not written are told elsewhere.
  void forget(net::TcpConnection& stream, bool was_written);
  void accept_pending();
  /// A close now would drop bytes: of a set-up on its way in, or of what was said.
  [[nodiscard]] static bool is_busy(const Connection& one);
  /// The final message of a call; on its own connection before the answer, on any of the caller's after it.
  void finish(CallId call, core::Cause cause, std::optional<Duration> wait = std::nullopt);
  /// After the answer: on any connection of the caller's, or its next one.
  void send_release_to_caller(core::UndeliveredRelease release);
  void send_release(net::TcpConnection& stream, core::UndeliveredRelease release);
  Call remove_call(CallId call);
  void mark_answered(Call& call);
  std::shared_ptr<net::TcpConnection> best_connection_of(const asio::ip::address& caller);
  void sweep();
  /// Whether a connection may be closed: in standby nothing waits or stands on it, and it had time for its
  /// first line; handing over nothing waits on it.
  [[nodiscard]] bool may_close(const Connection& one, Instant now) const;
  /// In standby and handing over: closes each connection that owes nothing.
  void close_idle_connections();
  void schedule_idle_close();

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
  bool is_standby_ = false;
  bool is_hot_restarting_ = false;
  std::function<void(core::UndeliveredRelease)> undelivered_sink_;
  core::TimerWheel::Handle closing_ = 0;
  net::log::RateLimiter unreadable_log_limit_, malformed_log_limit_, repeated_log_limit_, capacity_log_limit_,
      idle_log_limit_;
};

}  // namespace amberknot::jsonl
