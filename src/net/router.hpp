// The whole router in one object: the core, its callers' front, its server links and the command channel.
#pragma once

#include <functional>
#include <memory>

#include "core/call_table.hpp"
#include "core/counters.hpp"
#include "core/dispatcher.hpp"
#include "core/server_list.hpp"
#include "net/config.hpp"
#include "net/feed.hpp"
#include "net/jsonl_front.hpp"
#include "net/loop.hpp"
#include "net/peers.hpp"
#include "net/sip_links.hpp"

namespace amberknot::net {

class Router {
 public:
  Router(Loop& loop, const Config& config);

  /// Goes on serving until all that was taken is answered, then releases what stands and calls `done`.
  void stop_when_answered(std::function<void()> done);

  [[nodiscard]] const core::Counters& counters() const { return counters_; }
  [[nodiscard]] const core::CallTable& table() const { return table_; }
  [[nodiscard]] asio::ip::tcp::endpoint callers_at() const { return front_.local(); }

 private:
  void apply(const ListNews& news);
  void look_whether_done();

  Loop& loop_;
  Names names_;
  core::Counters counters_;
  core::ServerList servers_;
  core::Dispatcher dispatcher_;
  core::CallTable table_;
  SipLinks links_;
  JsonlFront front_;
  std::unique_ptr<Peers> peers_;
  std::unique_ptr<Feed> feed_;
  std::function<void()> done_;
  Instant stop_from_{};
  Instant stop_by_{};
};

}  // namespace amberknot::net
