// The links to the session servers that speak SIP: some are kept warm to each, and every attempt knows the
// one it left by.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/call_table.hpp"
#include "core/counters.hpp"
#include "net/log.hpp"
#include "net/stream.hpp"
#include "sip/codec.hpp"

namespace amberknot::sip {

class ConnectionPool : public core::UpstreamPool {
 public:
  ConnectionPool(net::Loop& loop, core::CallTable& table, core::EndpointRegistry& servers,
                 core::Counters& counters, const net::ResourceLimits& bounds, std::string own_name,
                 Duration connect_limit);
  ~ConnectionPool() override;

  void on_endpoint_changed(const core::Endpoint& server) override;
  void forget_server(ServerId server) override;
  [[nodiscard]] std::size_t servers() const { return by_id_.size(); }

  void set_up(const core::SetUp& set_up) override;
  bool cancel(const core::AttemptRef& attempt) override;
  void release(const core::AttemptRef& attempt, core::Cause cause) override;
  void forget(const core::AttemptRef& attempt) override { drop(find(attempt)); }
  void check_health(ServerId server) override;

 private:
  struct Link;
  struct Server;
  using HalfClosed = std::vector<std::shared_ptr<Link>>;  ///< given up by us and read on, the first one first
  /// One attempt that is out, or a call that stands.
  struct Attempt {
    core::AttemptRef ref;
    std::string number;
    std::shared_ptr<Link> link;  ///< which it left by; null once it stands or that is lost
    Instant sent{};
    bool standing = false;
    std::weak_ptr<Link> came_by;  ///< once it stands
  };
  struct PendingHealthCheck {
    ServerId server{};
    std::shared_ptr<Link> link;
    Instant sent{};
    core::TimerWheel::Handle limit = 0;
  };
  using Key = std::pair<ServerId, std::string>;  ///< a Call-ID means a call only at its server
  struct KeyHash {
    std::size_t operator()(const Key& key) const {
      return std::hash<std::string>{}(key.second) * 31 + static_cast<std::size_t>(key.first);
    }
  };
  using Attempts = std::unordered_map<Key, Attempt, KeyHash>;

  Server& of(ServerId id);
  void keep_warm(Server& server);
  void connect(Server& server);
  /// `avoid`: not that link, as long as there is another or one can be opened.
  std::shared_ptr<Link> pick_link(Server& server, const Link* avoid = nullptr);
  /// The link by which an attempt of the call went to that server and ended of late; null: none.
  [[nodiscard]] const Link* over_on(const core::AttemptRef& attempt) const;
  void link_open(Link& link);
  /// Its time to come up is over, and what waits on it is not kept; it may come up for others.
  void link_late(Link& link);
  /// What never left by the link goes by another one, or ends where nothing listens any more (`dead`).
  void move_unsent(Link& link, bool dead);
  void link_closed(Link& link, net::CloseReason why);
  /// What a link carried goes by others or ends, and others are opened in its place. It is listed no more.
  void on_lost(Link& link, net::CloseReason why);
  /// Gives a link up that is open and serves no further use. Its server may not know of that for some time:
  /// until it closes too what it tells by that link is heard.
  void half_close(Link& link, net::CloseReason why);
  void half_closed_ended(Link& link, net::CloseReason why);
  HalfClosed::iterator close_half_closed(Server& server, HalfClosed::iterator at);
  /// Closes the one that was half-closed first, of all servers, for its descriptor; false: there is none.
  bool close_oldest_half_closed();
  void close_useless_half_closed(Server& server, Instant now);
  /// Whether a server has not closed for long what we gave up, and calls stand that came by it.
  static bool seeks_releases(const Server& server, Instant now);
  /// Opens another link: a server tells there what was not confirmed.
  void open_for_releases(Server& server);
  std::size_t link_bytes(Link& link, std::span<char> bytes);
  void on_message(Link& link, const SipRead& read);
  void on_invite_answer(Link& link, const SipRead& read);
  void on_bye(Link& link, const SipHead& head);
  void send_bye(Server& server, std::string id, std::string bye);
  [[nodiscard]] bool stands_at(ServerId server) const;
  void end_on(Link& link, Outcome outcome);
  void end_probe(const std::string& id, Outcome outcome, const LoadReport& load);
  void watch_links();
  static void note_overtaken(Link& link, Instant now);
  [[nodiscard]] static bool is_stuck(const Link& link, Instant now);
  Attempts::iterator find(const core::AttemptRef& attempt);
  void drop(Attempts::iterator at);
  static net::TcpConnection::Tag tag(const core::AttemptRef& attempt) {
    return (static_cast<net::TcpConnection::Tag>(attempt.call) << 8U) + attempt.attempt + 1;
  }

  net::Loop& loop_;
  core::CallTable& table_;
  core::EndpointRegistry& servers_;
  core::Counters& counters_;
  net::ResourceLimits bounds_;
  std::string own_name_;
  Duration connect_limit_;
  std::map<ServerId, std::unique_ptr<Server>> by_id_;
  Attempts attempts_;
  /// Attempts that ended of late, and by which link they had left: a second or late answer may follow.
  struct Over {
    CallId call{};
    std::weak_ptr<Link> link;
    Instant at{};
  };
  std::deque<Over> over_;
  std::unordered_map<CallId, Key> by_call_;
  std::unordered_map<std::string, PendingHealthCheck> pending_health_checks_;
  std::uint64_t next_probe_ = 1;
  std::size_t links_ = 0;  ///< connecting and open, to all servers
  net::log::RateLimiter log_late_, log_bad_, log_link_;
};

}  // namespace amberknot::sip
