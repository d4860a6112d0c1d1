// Frontend for callers that speak JSON lines: accepts their connections, parses their lines, and sends
// answers and releases.
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
#include "core/connection_drain.hpp"
#include "core/counters.hpp"
#include "core/names.hpp"
#include "jsonl/codec.hpp"
#include "net/log.hpp"
#include "net/stream.hpp"
#include "translate/eligibility.hpp"

namespace amberknot::jsonl {

/// Runs on the thread of the event loop. A set-up is answered on its own connection; releases go out on any
/// open connection of the caller, where the caller is identified by its address.
class Frontend : public core::Frontend, public net::TcpConnection::EventHandler {
 public:
  /// Starts to listen; throws asio::system_error if it cannot. `translator` is null if no set-up is
  /// translated to another protocol.
  Frontend(net::Loop& loop, core::CallTable& table, core::Counters& counters,
           const core::ConfiguredNames& names, const Settings& settings, const net::ResourceLimits& limits,
           const asio::ip::tcp::endpoint& listen, const translate::Translator* translator = nullptr);

  bool answer(CallId call, std::string_view description) override;
  void reject(CallId call, core::Reason reason, Duration retry_after) override;
  void fail(CallId call, core::Reason reason) override;
  void release(CallId call, core::Cause cause) override;

  [[nodiscard]] std::string listen_address() const override { return listen_address_; }
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
    Instant accepted_at{};
    std::optional<Instant> partial_line_since;
    bool is_useful = false;  ///< it has sent a valid set-up, a release of a known call or a health check
    std::unordered_set<CallId> calls;  ///< calls that were set up on this connection
    std::size_t unanswered = 0;        ///< number of `calls` without an answer
    std::size_t held_bytes = 0;        ///< bytes reserved for the unanswered calls
    /// Releases sent on it that the caller has not confirmed.
    std::deque<SentRelease> sent_releases;
  };
  struct Call {
    std::string sid;
    Connection* connection = nullptr;  ///< the call was set up on this connection; null once it is closed
    asio::ip::address caller;
    bool answered = false;
    std::size_t held_bytes = 0;
  };
  struct UndeliveredReleases {
    std::deque<core::UndeliveredRelease> releases;
    Instant since{};
  };

  void accept();
  void accept_or_reject(asio::ip::tcp::socket socket);
  void add_connection(asio::ip::tcp::socket socket);
  bool make_room();
  std::size_t on_bytes(net::TcpConnection& stream, std::span<char> bytes) override;
  void on_closed(net::TcpConnection& stream, net::CloseReason reason) override;
  bool on_line(Connection& from, std::span<char> line, char* end);
  void open(Connection& from, const JsonLine& line);
  /// Fills `to` from a set-up line. Returns the name of the first invalid or missing field, or null if all
  /// are valid.
  const char* find_invalid_field(const JsonLine& line, core::SetUpRequest& to) const;
  void on_repeated_id(Connection& from, const std::string& sid, CallId existing);
  void close(Connection& from, const JsonLine& line);
  /// Closes a connection; `why` is logged.
  void close_connection(Connection& connection, bool flush_output, const char* why);
  /// Removes a connection that is closed. Its unanswered calls are abandoned, and so are calls whose answer
  /// was not written. Releases that were not written are sent on other connections. `was_flushed`: all output
  /// was or will be written.
  void remove_connection(net::TcpConnection& stream, bool was_flushed);
  void accept_pending();
  /// Whether closing now would lose data: a partly received or unread message, or queued output.
  [[nodiscard]] static bool has_pending_data(const Connection& connection);
  /// Sends the final message of a call. Before the answer, it is sent only on the connection that the call
  /// was set up on; after the answer, on that connection if it is open and otherwise like
  /// send_release_to_caller().
  void end_call(CallId call, core::Cause cause, std::optional<Duration> wait = std::nullopt);
  /// Sends the release of an established call on any connection of the caller, or keeps it for the next one.
  void send_release_to_caller(core::UndeliveredRelease release);
  /// Whether the id of an undelivered release belongs to a call again that has not ended.
  [[nodiscard]] bool is_id_in_use(const core::UndeliveredRelease& release) const;
  void send_release(net::TcpConnection& stream, core::UndeliveredRelease release);
  Call remove_call(CallId call);
  void mark_answered(Call& call);
  std::shared_ptr<net::TcpConnection> best_connection_of(const asio::ip::address& caller);
  void schedule_sweep();
  [[nodiscard]] static core::DrainedConnection drain_state(const Connection& connection, Instant now);
  /// During a drain: closes each connection that may be closed.
  void close_drained_connections();
  void schedule_drain();
  /// Returns how many connections are open and what keeps them open, for log lines.
  [[nodiscard]] std::string describe_connections() const;
  void log_overdue_drain();

  net::Loop& loop_;
  core::CallTable& table_;
  core::Counters& counters_;
  const core::ConfiguredNames& names_;
  const Settings& settings_;
  net::ResourceLimits limits_;
  const translate::Translator* translator_;  ///< null if nothing is translated
  std::size_t dialect_ = 0;
  mutable translate::Record translation_scratch_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer accept_retry_timer_;
  JsonLineReader reader_;
  std::unordered_map<net::TcpConnection*, Connection> connections_;
  std::map<asio::ip::address, std::vector<net::TcpConnection*>> connections_by_caller_;
  std::list<std::shared_ptr<net::TcpConnection>> lingering_;  ///< closed by this side, not yet by the caller
  std::unordered_map<CallId, Call> calls_;
  std::unordered_map<std::string, CallId> calls_by_sid_;
  std::size_t held_bytes_ = 0;  ///< bytes reserved for all unanswered calls
  /// Releases for callers without an open connection.
  std::map<asio::ip::address, UndeliveredReleases> undelivered_;
  std::size_t undelivered_count_ = 0;  ///< releases in undelivered_
  net::TcpConnection::Tag next_release_tag_ = 1;
  std::string listen_address_;
  core::ConnectionDrain drain_;
  std::function<void(core::UndeliveredRelease)> undelivered_sink_;
  std::size_t closed_in_standby_ = 0;  ///< connections drained since the latest `standby`
  core::TimerWheel::Handle drain_timer_ = 0;
  core::TimerWheel::Handle drain_deadline_timer_ = 0;
  net::log::RateLimiter unreadable_log_limit_, malformed_log_limit_, repeated_log_limit_, capacity_log_limit_,
      idle_log_limit_, standby_log_limit_;
};

}  // namespace amberknot::jsonl
