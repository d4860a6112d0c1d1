// The fault relay: sits on every link, and does to its bytes and datagrams what the schedule says. One
// thread; what it holds for one connection or link is bounded. It says so when it is itself late.
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

/// The run's clock and where its events go.
struct Scene {
  asio::io_context& io;
  std::function<Duration()> now;
  std::function<void(Event)> note;
};

/// What the relay did, by kind, for the run's summary.
struct RelayCounts {
  std::uint64_t connections = 0, chunks = 0, bytes = 0;
  std::uint64_t datagrams = 0, lost = 0, twice = 0;
  std::uint64_t held = 0, vanished = 0, reset = 0, finished = 0;
  std::uint64_t pushed_back = 0;  ///< reads put off since a bound was reached
};

/// Bytes that one direction of a connection may hold; beyond it nothing is read.
inline constexpr std::size_t kMaxHeldBytes = 256 * 1024;
/// Datagrams that one link may hold; beyond it they are lost.
inline constexpr std::size_t kMaxHeldDatagrams = 1024;

/// One TCP link: what connects to `where()` is carried to the target.
class StreamRelay {
 public:
  StreamRelay(Scene& scene, const Schedule& schedule, const std::string& from, const std::string& to,
              asio::ip::tcp::endpoint target, RelayCounts& counts);
  ~StreamRelay();
  StreamRelay(const StreamRelay&) = delete;
  StreamRelay& operator=(const StreamRelay&) = delete;

  [[nodiscard]] asio::ip::tcp::endpoint where() const { return where_; }
  /// Another schedule from now on: a fleet's faults begin once it is up.
  void follow(const Schedule& schedule, const std::string& from, const std::string& to);

 private:
  class Pipe;
  void accept();
  void admit(asio::ip::tcp::socket socket);
  void cut_struck();
  void watch_cuts(const LinkFaults& faults);

  Scene& scene_;
  LinkFaults forth_, back_;
  asio::ip::tcp::endpoint target_;
  RelayCounts& counts_;
  std::uint64_t connections_ = 0;
  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::endpoint where_;
  std::list<std::shared_ptr<Pipe>> pipes_;
  std::list<asio::steady_timer> timers_;
};

/// All datagrams between some nodes. Node i writes to node j at `at(i, j)`, and j gets what i said from
/// `at(j, i)`, so that an answer finds its way back.
class DatagramRelay {
 public:
  DatagramRelay(Scene& scene, const Schedule& schedule, const std::vector<std::string>& nodes,
                RelayCounts& counts);
  ~DatagramRelay();
  DatagramRelay(const DatagramRelay&) = delete;
  DatagramRelay& operator=(const DatagramRelay&) = delete;

  [[nodiscard]] asio::ip::udp::endpoint at(std::size_t from, std::size_t to) const;
  /// What a node writes here goes to all others.
  [[nodiscard]] asio::ip::udp::endpoint to_all(std::size_t from) const;
  /// Where a node reads and from where it writes.
  void node_is_at(std::size_t node, asio::ip::udp::endpoint where);

 private:
  struct Link;
  void read(Link& link);
  void pass(std::size_t from, std::size_t to, std::shared_ptr<std::vector<char>> bytes);
  Scene& scene_;
  RelayCounts& counts_;
  std::vector<asio::ip::udp::endpoint> nodes_;
  std::vector<std::vector<std::unique_ptr<Link>>> links_;  ///< [from][to]; [from][from] is for all
};

/// Notes when the one thread was late, since a late relay looks like a slow router.
class LatenessWatch {
 public:
  LatenessWatch(Scene& scene, Duration most);
  [[nodiscard]] Duration worst() const { return worst_; }

 private:
  void wait();
  Scene& scene_;
  Duration most_, worst_{};
  asio::steady_timer timer_;
};

}  // namespace amberknot::lab::fleet
