// The callers' second front: Diameter peers whose Credit-Control sessions are calls.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "core/call_table.hpp"
#include "core/counters.hpp"
#include "core/names.hpp"
#include "diameter/peer.hpp"
#include "translate/eligibility.hpp"

namespace amberknot::diameter {

class Frontend : public core::Frontend, public Peer::Handler {
 public:
  /// The tenant that a User-Name or realm belongs to; empty: none.
  using TenantOf = std::function<std::string(std::string_view)>;
  /// The pool of the server that a Destination-Host names.
  using PoolOf = std::function<std::optional<PoolId>(std::string_view)>;

  Frontend(net::Loop& loop, core::CallTable& table, core::Counters& counters, Identity& identity,
           const core::Names& names, const Settings& settings, const asio::ip::tcp::endpoint& listen,
           std::size_t max_connections, std::set<std::string> admitted, TenantOf tenant_of, PoolOf pool_of,
           const translate::Translator* translator = nullptr);
  ~Frontend() override;

  bool answer(CallId call, std::string_view description) override;
  void reject(CallId call, core::Reason reason, Duration retry_after) override;
  void fail(CallId call, core::Reason reason) override;
  void release(CallId call, core::Cause cause) override;

  [[nodiscard]] std::string listen_address() const override {
    return net::text_of(acceptor_.local_endpoint());
  }
  [[nodiscard]] std::size_t connections() const override { return peers_.size(); }
  void shut_down() override;

 private:
  struct Session {
    CallId call{};
    std::string host;            ///< whose it is
    std::shared_ptr<Peer> peer;  ///< where the answer goes; null once that is gone
    std::string request;         ///< the initial one as it came, to be answered
    bool answered = false;
    bool aborted = false;  ///< over on our side; its termination is still to come
  };

  Result admit(Peer& peer) override;
  void on_up(Peer& peer) override;
  void on_message(Peer& peer, const Message& message) override;
  std::uint32_t& last_state(Peer& peer) override;
  void on_restarted(Peer& peer) override;
  void on_down(Peer& peer, net::CloseReason why) override;

  void accept();
  void on_initial(Peer& peer, const Message& message);
  void on_later(Peer& peer, const Message& message, RequestType type);
  void reply(Peer& peer, const Message& to, const Fault& fault);
  /// The one answer to an initial request; false: it does not fit.
  bool finish(Session& session, Result result, const std::function<void(Writer&)>& fill);
  void abort(const std::string& id, const Session& session, Peer& peer);
  void forget(const std::string& id);
  std::shared_ptr<Peer> peer_of(const std::string& host);

  net::Loop& loop_;
  core::CallTable& table_;
  core::Counters& counters_;
  Identity& identity_;
  const core::Names& names_;
  const Settings& settings_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer pause_;
  std::size_t max_connections_;
  std::set<std::string> admitted_;
  TenantOf tenant_of_;
  PoolOf pool_of_;
  const translate::Translator* translator_;
  std::size_t dialect_ = 0;
  translate::Record scratch_;
  std::map<Peer*, std::shared_ptr<Peer>> peers_;
  std::map<std::string, Session> sessions_;
  std::unordered_map<CallId, std::string> by_call_;
  std::map<std::string, std::uint32_t> state_ids_;  ///< by host
  std::uint32_t next_id_ = 0;
};

}  // namespace amberknot::diameter
