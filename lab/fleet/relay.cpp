#include "lab/fleet/relay.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace amberknot::lab::fleet {

using asio::ip::tcp;
using asio::ip::udp;
using std::chrono::milliseconds;

namespace {

const asio::ip::address kLoopback = asio::ip::address_v4::loopback();

void reset_connection(tcp::socket& socket) {
  asio::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

// ---- connections ----------------------------------------------------------------------------------------

class StreamRelay::RelayedConnection : public std::enable_shared_from_this<RelayedConnection> {
 public:
  RelayedConnection(StreamRelay& relay, tcp::socket client, std::uint64_t number)
      : relay_(&relay),
        number_(number),
        client_side_(std::move(client), relay.forward_faults_),
        target_side_(tcp::socket(relay.context_.io), relay.backward_faults_) {
    client_side_.peer = &target_side_;
    target_side_.peer = &client_side_;
  }

  void connect() {
    target_side_.socket.async_connect(relay_->target_,
                                      [self = shared_from_this()](const asio::error_code& error) {
                                        if (self->is_closed_ || self->is_silent_) return;
                                        if (error) {
                                          // The relay has already accepted the connection, so a refusal by
                                          // the target becomes a reset.
                                          self->close(StreamAction::Kind::kReset);
                                          return;
                                        }
                                        for (auto* side : {&self->client_side_, &self->target_side_}) {
                                          asio::error_code ignored;
                                          side->socket.set_option(tcp::no_delay(true), ignored);
                                          self->read(*side);
                                        }
                                      });
  }
  /// Connects to the target at the time at which a fault ends. Until then nothing is read.
  void connect_at(Duration time) {
    timer_.emplace(relay_->context_.io, time - relay_->context_.now());
    timer_->async_wait([self = shared_from_this()](const asio::error_code& error) {
      if (!error && !self->is_closed_) self->connect();
    });
  }
  /// Reads and discards, for a connection that is half open from its start.
  void discard_input() { read(client_side_); }
  [[nodiscard]] std::uint64_t number() const { return number_; }
  /// Passes nothing any more and keeps the router's connection open. The target's side is closed.
  void silence() {
    if (is_closed_ || std::exchange(is_silent_, true)) return;
    asio::error_code ignored;
    for (auto* side : {&client_side_, &target_side_}) side->timer.cancel();
    if (timer_) timer_->cancel();
    client_side_.socket.cancel(ignored);
    reset_connection(target_side_.socket);
  }

  void close(StreamAction::Kind kind) {
    if (std::exchange(is_closed_, true)) return;
    for (auto* side : {&client_side_, &target_side_}) {
      side->timer.cancel();
      asio::error_code ignored;
      if (kind == StreamAction::Kind::kReset) {
        reset_connection(side->socket);
      } else {
        side->socket.shutdown(tcp::socket::shutdown_send, ignored);
        side->socket.close(ignored);
      }
    }
    if (timer_) timer_->cancel();
    if (relay_ != nullptr) {
      ++(kind == StreamAction::Kind::kReset ? relay_->counts_.connections_reset
                                            : relay_->counts_.connections_finished);
      std::erase(relay_->relayed_connections_, shared_from_this());
    }
  }
  /// Closes the connection because the relay is being destroyed.
  void on_relay_destroyed() {
    close(StreamAction::Kind::kReset);
    relay_ = nullptr;
  }

 private:
  struct Chunk {
    std::vector<char> bytes;  ///< empty: the sender has closed its direction
    Duration due{};
  };
  struct Side {
    Side(tcp::socket at, LinkFaults& faults)
        : socket(std::move(at)), timer(socket.get_executor()), faults(faults) {}
    tcp::socket socket;
    asio::steady_timer timer;
    LinkFaults& faults;       ///< faults of the bytes read from this socket
    Side* peer = nullptr;     ///< the side to which they are written
    std::deque<Chunk> queue;  ///< read from this socket, not yet written to the other side
    std::size_t held_bytes = 0;
    bool is_writing = false;
    bool is_reading_suspended = false;
    bool is_finished = false;
    bool has_lost_bytes = false;
    std::array<char, 16 * 1024> buffer;
  };

  void read(Side& side) {
    side.socket.async_read_some(
        asio::buffer(side.buffer),
        [self = shared_from_this(), &side](const asio::error_code& error, std::size_t size) {
          if (self->is_closed_ || self->is_silent_ || self->relay_ == nullptr) return;
          if (error && error != asio::error::eof) {
            self->close(StreamAction::Kind::kReset);
            return;
          }
          self->on_read(side, size, error == asio::error::eof);
        });
  }

  void on_read(Side& side, std::size_t size, bool is_finished) {
    auto& counts = relay_->counts_;
    const Duration now = relay_->context_.now();
    auto action = side.faults.stream_action(now, number_);
    // TCP cannot lose bytes and deliver later ones: once some were lost, this direction stays dead.
    if (side.has_lost_bytes && action.kind != StreamAction::Kind::kReset &&
        action.kind != StreamAction::Kind::kFinish)
      action.kind = StreamAction::Kind::kDiscard;
    ++counts.chunks;
    counts.bytes += size;
    Duration due = now + action.delay;
    Duration next_read = now;
    switch (action.kind) {
      case StreamAction::Kind::kReset:
      case StreamAction::Kind::kFinish:
        close(action.kind);
        return;
      case StreamAction::Kind::kDiscard:
        ++counts.chunks_discarded;
        side.has_lost_bytes = true;
        // The end of the connection is discarded as well, so that the other side keeps it open.
        if (!is_finished) read(side);
        return;
      case StreamAction::Kind::kPauseReading:
        next_read = action.until;
        [[fallthrough]];
      case StreamAction::Kind::kHold:
        ++counts.chunks_held;
        due = action.until;
        break;
      case StreamAction::Kind::kPass:
        break;
    }
    if (!side.queue.empty()) due = std::max(due, side.queue.back().due);
    side.held_bytes += size;
    if (size > 0 || is_finished) {
      side.queue.push_back({{side.buffer.data(), side.buffer.data() + size}, due});
      if (is_finished && size > 0) side.queue.push_back({{}, due});
    }
    side.is_finished = is_finished;
    write(side);
    if (is_finished) return;
    if (next_read > now) {
      side.is_reading_suspended = true;  // until the held bytes are written, which is at the same time
    } else if (side.held_bytes >= kMaxHeldBytes) {
      side.is_reading_suspended = true;
      ++counts.reads_postponed;
    } else {
      read(side);
    }
  }

  void write(Side& side) {
    if (side.is_writing || side.queue.empty() || is_closed_ || is_silent_) return;
    const Duration now = relay_->context_.now();
    const auto& first = side.queue.front();
    if (first.due > now) {
      side.timer.expires_after(first.due - now);
      side.timer.async_wait([self = shared_from_this(), &side](const asio::error_code& error) {
        if (!error && self->relay_ != nullptr) self->write(side);
      });
      return;
    }
    if (first.bytes.empty()) {
      asio::error_code ignored;
      side.peer->socket.shutdown(tcp::socket::shutdown_send, ignored);
      side.queue.pop_front();
      if (side.peer->is_finished && side.peer->queue.empty()) close(StreamAction::Kind::kFinish);
      return;
    }
    side.is_writing = true;
    asio::async_write(side.peer->socket, asio::buffer(first.bytes),
                      [self = shared_from_this(), &side](const asio::error_code& error, std::size_t written) {
                        if (self->is_closed_ || self->is_silent_ || self->relay_ == nullptr) return;
                        side.is_writing = false;
                        if (error) {
                          self->close(StreamAction::Kind::kReset);
                          return;
                        }
                        side.held_bytes -= written;
                        side.queue.pop_front();
                        if (side.is_reading_suspended && side.held_bytes < kMaxHeldBytes) {
                          side.is_reading_suspended = false;
                          self->read(side);
                        }
                        self->write(side);
                      });
  }

  StreamRelay* relay_;
  std::uint64_t number_;
  Side client_side_, target_side_;
  std::optional<asio::steady_timer> timer_;
  bool is_closed_ = false;
  bool is_silent_ = false;
};

StreamRelay::StreamRelay(RunContext& context, const Schedule& schedule, const std::string& from,
                         const std::string& to, tcp::endpoint target, RelayCounts& counts)
    : context_(context),
      forward_faults_(schedule, from, to),
      backward_faults_(schedule, to, from),
      target_(std::move(target)),
      counts_(counts),
      acceptor_(context.io, tcp::endpoint(kLoopback, 0)),
      listen_endpoint_(acceptor_.local_endpoint()) {
  schedule_connection_closes(forward_faults_);
  schedule_connection_closes(backward_faults_);
  accept();
}

StreamRelay::~StreamRelay() {
  for (const auto& connection : std::list(relayed_connections_)) connection->on_relay_destroyed();
}

void StreamRelay::set_target_state(TargetState state) {
  if (std::exchange(target_state_, state) == state) return;
  if (state == TargetState::kSilent) {
    for (const auto& connection : relayed_connections_) connection->silence();
    fill_accept_queue();
    return;
  }
  close_all_connections();
  acceptor_.close();
  for (const auto& filler : queue_fillers_) filler->close();
  queue_fillers_.clear();
  if (state == TargetState::kUp) listen();
}

void StreamRelay::close_all_connections() {
  for (const auto& connection : std::list(relayed_connections_))
    connection->close(StreamAction::Kind::kReset);
}

void StreamRelay::listen() {
  acceptor_.open(listen_endpoint_.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(listen_endpoint_);
  acceptor_.listen();
  accept();
}

void StreamRelay::fill_accept_queue() {
  acceptor_.cancel();
  acceptor_.listen(0);  // the kernel then keeps one connection in the queue
  constexpr int kFillers = 2;
  for (int i = 0; i < kFillers; ++i) {
    auto filler = std::make_shared<tcp::socket>(context_.io);
    queue_fillers_.push_back(filler);
    filler->async_connect(listen_endpoint_, [filler](const asio::error_code& /*error*/) {});
  }
}

void StreamRelay::set_schedule(const Schedule& schedule, const std::string& from, const std::string& to) {
  timers_.clear();
  forward_faults_ = LinkFaults(schedule, from, to);
  backward_faults_ = LinkFaults(schedule, to, from);
  schedule_connection_closes(forward_faults_);
  schedule_connection_closes(backward_faults_);
}

void StreamRelay::schedule_connection_closes(const LinkFaults& faults) {
  for (const auto time : faults.connection_close_times()) {
    auto& timer = timers_.emplace_back(context_.io, time - context_.now());
    timer.async_wait([this](const asio::error_code& error) {
      if (!error) close_affected_connections();
    });
  }
}

void StreamRelay::close_affected_connections() {
  for (const auto& connection : std::list(relayed_connections_)) {
    for (auto* faults : {&forward_faults_, &backward_faults_}) {
      const auto kind = faults->stream_action(context_.now(), connection->number()).kind;
      if (kind == StreamAction::Kind::kReset || kind == StreamAction::Kind::kFinish) connection->close(kind);
    }
  }
}

void StreamRelay::accept() {
  acceptor_.async_accept([this](const asio::error_code& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) on_accepted(std::move(socket));
    accept();
  });
}

void StreamRelay::on_accepted(tcp::socket socket) {
  ++counts_.connections;
  const Duration now = context_.now();
  // A connection is established only if both directions work; the more severe action applies.
  const auto number = ++connection_count_;
  auto action = forward_faults_.stream_action(now, number);
  if (const auto back = backward_faults_.stream_action(now, number); back.kind > action.kind) action = back;
  if (action.kind == StreamAction::Kind::kReset) {
    ++counts_.connections_reset;
    reset_connection(socket);
    return;
  }
  if (action.kind == StreamAction::Kind::kFinish) {
    ++counts_.connections_finished;
    return;
  }
  auto connection = std::make_shared<RelayedConnection>(*this, std::move(socket), number);
  relayed_connections_.push_back(connection);
  switch (action.kind) {
    case StreamAction::Kind::kDiscard:
      connection->discard_input();
      break;
    case StreamAction::Kind::kHold:
    case StreamAction::Kind::kPauseReading:
      connection->connect_at(action.until);
      break;
    default:
      connection->connect();
      break;
  }
}

// ---- datagrams ------------------------------------------------------------------------------------------

struct DatagramRelay::Link {
  Link(RunContext& context, const Schedule& schedule, const std::string& from_name,
       const std::string& to_name, std::size_t from, std::size_t to)
      : socket(context.io, udp::endpoint(kLoopback, 0)),
        faults(schedule, from_name, to_name),
        from(from),
        to(to) {
    socket.non_blocking(true);
  }
  udp::socket socket;
  LinkFaults faults;
  std::size_t from, to;
  std::size_t held_count = 0;
  udp::endpoint sender;
  std::array<char, 64 * 1024> buffer;
};

DatagramRelay::DatagramRelay(RunContext& context, const Schedule& schedule,
                             const std::vector<std::string>& nodes, RelayCounts& counts)
    : context_(context), counts_(counts), node_addresses_(nodes.size()) {
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    auto& row = links_.emplace_back();
    for (std::size_t j = 0; j < nodes.size(); ++j) {
      row.push_back(std::make_unique<Link>(context, schedule, nodes[i], nodes[j], i, j));
    }
  }
  for (auto& row : links_) {
    for (auto& link : row) read(*link);
  }
}

DatagramRelay::~DatagramRelay() = default;

udp::endpoint DatagramRelay::address(std::size_t from, std::size_t to) const {
  return links_.at(from).at(to)->socket.local_endpoint();
}
udp::endpoint DatagramRelay::broadcast_address(std::size_t from) const {
  return address(from, from);
}
void DatagramRelay::set_node_address(std::size_t node, udp::endpoint node_address) {
  node_addresses_.at(node) = std::move(node_address);
}

void DatagramRelay::read(Link& link) {
  link.socket.async_receive_from(
      asio::buffer(link.buffer), link.sender, [this, &link](const asio::error_code& error, std::size_t size) {
        if (error == asio::error::operation_aborted) return;
        // Forwards only datagrams that the node itself sent.
        if (!error && link.sender == node_addresses_[link.from]) {
          auto bytes = std::make_shared<std::vector<char>>(link.buffer.data(), link.buffer.data() + size);
          for (std::size_t to = 0; to < node_addresses_.size(); ++to) {
            const bool is_receiver = link.from == link.to ? to != link.from : to == link.to;
            if (is_receiver) forward(link.from, to, bytes);
          }
        }
        read(link);
      });
}

void DatagramRelay::forward(std::size_t from, std::size_t to, std::shared_ptr<std::vector<char>> bytes) {
  auto& link = *links_[from][to];
  ++counts_.datagrams;
  const auto delivery = link.faults.deliver_datagram(context_.now());
  if (delivery.count == 0) ++counts_.datagrams_lost;
  if (delivery.count == 2) ++counts_.datagrams_duplicated;
  for (std::size_t i = 0; i < delivery.count; ++i) {
    const auto send = [this, from, to, bytes] {
      asio::error_code lost;
      // Sent from the address to which the receiver would reply.
      links_[to][from]->socket.send_to(asio::buffer(*bytes), node_addresses_[to], 0, lost);
    };
    if (delivery.delays[i] == Duration{}) {
      send();
    } else if (link.held_count >= kMaxHeldDatagrams) {
      ++counts_.datagrams_lost;
    } else {
      ++link.held_count;
      auto timer = std::make_shared<asio::steady_timer>(context_.io, delivery.delays[i]);
      timer->async_wait([send, timer, &link](const asio::error_code& error) {
        if (error) return;
        --link.held_count;
        send();
      });
    }
  }
}

// ---- lateness -------------------------------------------------------------------------------------------

namespace {
constexpr Duration kCheckInterval = milliseconds{10};
}

LatenessMonitor::LatenessMonitor(RunContext& context, Duration threshold)
    : context_(context), threshold_(threshold), timer_(context.io) {
  schedule_check();
}

void LatenessMonitor::schedule_check() {
  const Duration due = context_.now() + kCheckInterval;
  timer_.expires_after(kCheckInterval);
  timer_.async_wait([this, due](const asio::error_code& error) {
    if (error) return;
    const Duration late = context_.now() - due;
    max_lateness_ = std::max(max_lateness_, late);
    if (late > threshold_) {
      context_.record_event({context_.now(), "relay", EventKind::kLate, "", "",
                             std::chrono::duration_cast<milliseconds>(late).count(), ""});
    }
    schedule_check();
  });
}

}  // namespace amberknot::lab::fleet
