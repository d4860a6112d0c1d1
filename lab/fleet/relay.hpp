// The fault relay. It forwards the bytes and datagrams of every link and applies the faults of the schedule
// to them. It runs on one thread, holds a bounded amount of data for each connection or link, and records
// when it is late itself.
#pragma once

#include <asio.hpp>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/fleet/faults.hpp"
#include "lab/fleet/history.hpp"

namespace amberknot::lab::fleet {

/// What the parts of a run share: the I/O context, the clock of the run and the recorder of events.
struct RunContext {
  asio::io_context& io;
  std::function<Duration()> now;
  std::function<void(Event)> record_event;
};

/// Counters of what the relay did, for the summary of the run.
struct RelayCounts {
  std::uint64_t connections = 0, chunks = 0, bytes = 0;
  std::uint64_t datagrams = 0, datagrams_lost = 0, datagrams_duplicated = 0;
  std::uint64_t chunks_held = 0, chunks_discarded = 0, connections_reset = 0, connections_finished = 0;
  std::uint64_t reads_postponed = 0;  ///< reads postponed because kMaxHeldBytes was reached
};

/// Bytes held for one direction of a connection at which the relay stops reading.
inline constexpr std::size_t kMaxHeldBytes = 256 * 1024;
/// Datagrams held for one link at which the relay drops further ones.
inline constexpr std::size_t kMaxHeldDatagrams = 1024;

/// Whether the target of a link can be reached, apart from the faults of the link.
enum class TargetState : std::uint8_t {
  kUp,
  kDead,    ///< its process has died: connections are reset, new ones refused
  kSilent,  ///< its machine is gone: connections stay open without a byte, new ones never come up
};

/// One TCP link. Accepts connections at listen_endpoint() and forwards each to the target.
class StreamRelay {
 public:
  StreamRelay(RunContext& context, const Schedule& schedule, const std::string& from, const std::string& to,
              asio::ip::tcp::endpoint target, RelayCounts& counts);
  ~StreamRelay();
  StreamRelay(const StreamRelay&) = delete;
  StreamRelay& operator=(const StreamRelay&) = delete;

  /// Returns the address on which the relay listens.
  [[nodiscard]] asio::ip::tcp::endpoint listen_endpoint() const { return listen_endpoint_; }
  /// Changes the state of the target. Connections from before the target was lost are reset when it is up
  /// again, because the new process does not know them.
  void set_target_state(TargetState state);
  /// Replaces the schedule. The faults of a fleet begin only when all of its routers are ready.
  void set_schedule(const Schedule& schedule, const std::string& from, const std::string& to);

 private:
  class RelayedConnection;
  void accept();
  void on_accepted(asio::ip::tcp::socket socket);
  void close_all_connections();
  /// Opens the listening socket again at the same address.
  void listen();
  /// Makes the kernel ignore connection requests: the accept queue is full, and nothing is accepted.
  void fill_accept_queue();
  /// Closes the open connections that a fault affects now.
  void close_affected_connections();
  /// Sets a timer for the start of each fault that closes connections.
  void schedule_connection_closes(const LinkFaults& faults);

  RunContext& context_;
  LinkFaults forward_faults_, backward_faults_;
  asio::ip::tcp::endpoint target_;
  RelayCounts& counts_;
  std::uint64_t connection_count_ = 0;
  TargetState target_state_ = TargetState::kUp;
  std::vector<std::shared_ptr<asio::ip::tcp::socket>>
      queue_fillers_;  ///< connections that fill the accept queue
  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::endpoint listen_endpoint_;
  std::list<std::shared_ptr<RelayedConnection>> relayed_connections_;
  std::list<asio::steady_timer> timers_;
};

/// All datagram links between a set of nodes. Node i sends to node j at the address `address(i, j)`, and j
/// receives these datagrams from `address(j, i)`, so that a reply to the sender's address reaches i.
class DatagramRelay {
 public:
  DatagramRelay(RunContext& context, const Schedule& schedule, const std::vector<std::string>& nodes,
                RelayCounts& counts);
  ~DatagramRelay();
  DatagramRelay(const DatagramRelay&) = delete;
  DatagramRelay& operator=(const DatagramRelay&) = delete;

  [[nodiscard]] asio::ip::udp::endpoint address(std::size_t from, std::size_t to) const;
  /// Returns the address at which a node sends to all other nodes.
  [[nodiscard]] asio::ip::udp::endpoint broadcast_address(std::size_t from) const;
  /// Sets the address at which a node receives and from which it sends.
  void set_node_address(std::size_t node, asio::ip::udp::endpoint node_address);

 private:
  struct Link;
  void read(Link& link);
  void forward(std::size_t from, std::size_t to, std::shared_ptr<std::vector<char>> bytes);
  RunContext& context_;
  RelayCounts& counts_;
  std::vector<asio::ip::udp::endpoint> node_addresses_;
  std::vector<std::vector<std::unique_ptr<Link>>> links_;  ///< [from][to]; [from][from] broadcasts
};

/// Records when the thread of the run is late, since a late relay looks like a slow router.
class LatenessMonitor {
 public:
  LatenessMonitor(RunContext& context, Duration threshold);
  /// Returns the greatest lateness observed so far.
  [[nodiscard]] Duration max_lateness() const { return max_lateness_; }

 private:
  void schedule_check();
  RunContext& context_;
  Duration threshold_, max_lateness_{};
  asio::steady_timer timer_;
};

}  // namespace amberknot::lab::fleet
