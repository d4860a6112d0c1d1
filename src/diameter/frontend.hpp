// The Diameter frontend: callers are Diameter peers, and each of their Credit-Control sessions is a call.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "core/call_id_generator.hpp"
#include "core/call_table.hpp"
#include "core/connection_drain.hpp"
#include "core/counters.hpp"
#include "core/names.hpp"
#include "diameter/peer.hpp"
#include "translate/eligibility.hpp"

namespace amberknot::diameter {

/// Accepts Diameter clients and answers their Credit-Control requests. It lives in the loop's thread.
class Frontend : public core::Frontend, public Peer::Handler {
 public:
  /// Returns the tenant that a User-Name or realm belongs to, or an empty text if there is none.
  using TenantLookup = std::function<std::string(std::string_view)>;
  /// Returns the pool of the server that a Destination-Host names, or nullopt if there is no such server.
  using PoolLookup = std::function<std::optional<PoolId>(std::string_view)>;

  /// Listens at `listen`. `allowed_hosts` holds the Origin-Hosts that may connect; if it is empty, any may.
  /// `translator` may be null.
  Frontend(net::Loop& loop, core::CallTable& table, core::Counters& counters, Identity& identity,
           core::CallIdGenerator& call_ids, const core::ConfiguredNames& names, const Settings& settings,
           const asio::ip::tcp::endpoint& listen, std::size_t max_connections,
           std::set<std::string> allowed_hosts, TenantLookup find_tenant, PoolLookup find_pool,
           const translate::Translator* translator = nullptr);
  ~Frontend() override;

  bool answer(CallId call, std::string_view description) override;
  void reject(CallId call, core::Reason reason, Duration retry_after) override;
  void fail(CallId call, core::Reason reason) override;
  void release(CallId call, core::Cause cause) override;

  [[nodiscard]] std::string listen_address() const override {
    return net::to_text(acceptor_.local_endpoint());
  }
  [[nodiscard]] std::size_t connections() const override { return peers_.size(); }
  void shut_down() override;
  /// In standby initial requests are answered with DIAMETER_TOO_BUSY once the service period is over, so that
  /// clients turn to another peer (RFC 6733, section 7.1.3). Connections stay, for updates and terminations.
  void set_standby(bool is_standby) override;

 private:
  /// A Credit-Control session of a client.
  struct Session {
    CallId call{};
    std::string host;            ///< Origin-Host of the client that opened it
    std::shared_ptr<Peer> peer;  ///< the connection for the answer; null after it is closed
    std::string request;         ///< the parts of the initial request that its answer repeats, encoded
    bool is_answered = false;
    /// Released by the router; the client's termination request has not arrived yet.
    bool is_aborted = false;
  };

  ResultCode admit(Peer& peer) override;
  void on_up(Peer& peer) override;
  void on_message(Peer& peer, const Message& message) override;
  std::uint32_t& last_state_id(Peer& peer) override;
  void on_restarted(Peer& peer) override;
  void on_down(Peer& peer, net::CloseReason reason) override;

  void accept();
  /// Handles an initial request for the Session-Id of a session that has not ended.
  void on_repeated_request(Peer& peer, const Message& message, const Session& existing);
  /// Handles a request that opens a session.
  void on_initial_request(Peer& peer, const Message& message);
  /// Handles an update or termination request.
  void on_update_or_termination(Peer& peer, const Message& message, RequestType type);
  /// Answers a request with the Result-Code of `fault`. An initial request that was admitted is answered by
  /// answer_initial_request() instead.
  void reply(Peer& peer, const Message& to, const Fault& fault);
  /// Sends the only answer to an initial request. Returns false if the connection is closed or the answer
  /// would be too long.
  bool answer_initial_request(Session& session, ResultCode result, const std::function<void(Writer&)>& fill);
  /// Sends an abort request for a session.
  void send_abort_request(const std::string& id, const Session& session, Peer& peer);
  /// Removes a session without a message to anyone.
  void erase_session(const std::string& id);
  /// Returns a connection of that host that is up, or null.
  std::shared_ptr<Peer> find_peer(const std::string& host);

  net::Loop& loop_;
  core::CallTable& table_;
  core::Counters& counters_;
  Identity& identity_;
  core::CallIdGenerator& call_ids_;
  const core::ConfiguredNames& names_;
  const Settings& settings_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer accept_retry_timer_;
  std::size_t max_connections_;
  std::set<std::string> allowed_hosts_;
  TenantLookup find_tenant_;
  PoolLookup find_pool_;
  const translate::Translator* translator_;
  std::size_t dialect_index_ = 0;
  translate::Record scratch_;
  std::map<Peer*, std::shared_ptr<Peer>> peers_;
  std::map<std::string, Session> sessions_;
  std::unordered_map<CallId, std::string> session_ids_by_call_;
  std::map<std::string, std::uint32_t> state_ids_by_host_;  ///< the last Origin-State-Id by host
  core::ConnectionDrain drain_;
};

}  // namespace amberknot::diameter
