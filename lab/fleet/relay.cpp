#include "lab/fleet/relay.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace amberknot::lab::fleet {

using asio::ip::tcp;
using asio::ip::udp;
using std::chrono::milliseconds;

namespace {

const asio::ip::address kHere = asio::ip::address_v4::loopback();

void reset(tcp::socket& socket) {
  asio::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

// ---- one connection -------------------------------------------------------------------------------------

class StreamRelay::Pipe : public std::enable_shared_from_this<Pipe> {
 public:
  Pipe(StreamRelay& relay, tcp::socket near, std::uint64_t number)
      : relay_(&relay),
        number_(number),
        near_(std::move(near), relay.forth_),
        far_(tcp::socket(relay.scene_.io), relay.back_) {
    near_.other = &far_;
    far_.other = &near_;
  }

  void connect() {
    far_.socket.async_connect(relay_->target_, [self = shared_from_this()](const asio::error_code& error) {
      if (self->over_) return;
      if (error) {
        // The relay has accepted in the target's name: a refusal shows as a reset.
        self->end(StreamVerdict::Kind::kReset);
        return;
      }
      for (auto* side : {&self->near_, &self->far_}) {
        asio::error_code ignored;
        side->socket.set_option(tcp::no_delay(true), ignored);
        self->read(*side);
      }
    });
  }
  /// The first bytes wait until a fault is over; a connection that never comes up reads and drops.
  void connect_at(Duration moment) {
    timer_.emplace(relay_->scene_.io, moment - relay_->scene_.now());
    timer_->async_wait([self = shared_from_this()](const asio::error_code& error) {
      if (!error && !self->over_) self->connect();
    });
  }
  void swallow() { read(near_); }
  [[nodiscard]] std::uint64_t number() const { return number_; }

  void end(StreamVerdict::Kind how) {
    if (std::exchange(over_, true)) return;
    for (auto* side : {&near_, &far_}) {
      side->timer.cancel();
      asio::error_code ignored;
      if (how == StreamVerdict::Kind::kReset) {
        reset(side->socket);
      } else {
        side->socket.shutdown(tcp::socket::shutdown_send, ignored);
        side->socket.close(ignored);
      }
    }
    if (timer_) timer_->cancel();
    if (relay_ != nullptr) {
      ++(how == StreamVerdict::Kind::kReset ? relay_->counts_.reset : relay_->counts_.finished);
      std::erase(relay_->pipes_, shared_from_this());
    }
  }
  void abandon() {
    end(StreamVerdict::Kind::kReset);
    relay_ = nullptr;
  }

 private:
  struct Chunk {
    std::vector<char> bytes;  ///< empty: the sender has finished
    Duration due{};
  };
  struct Side {
    Side(tcp::socket at, LinkFaults& faults)
        : socket(std::move(at)), timer(socket.get_executor()), faults(faults) {}
    tcp::socket socket;
    asio::steady_timer timer;
    LinkFaults& faults;         ///< of what is read here
    Side* other = nullptr;      ///< where that is written
    std::deque<Chunk> waiting;  ///< read here, not yet written there
    std::size_t held = 0;
    bool writing = false;
    bool paused = false;
    bool finished = false;
    std::array<char, 16 * 1024> in;
  };

  void read(Side& side) {
    side.socket.async_read_some(asio::buffer(side.in), [self = shared_from_this(), &side](
                                                           const asio::error_code& error, std::size_t got) {
      if (self->over_ || self->relay_ == nullptr) return;
      if (error && error != asio::error::eof) {
        self->end(StreamVerdict::Kind::kReset);
        return;
      }
      self->took(side, got, error == asio::error::eof);
    });
  }

  void took(Side& side, std::size_t got, bool finished) {
    auto& counts = relay_->counts_;
    const Duration now = relay_->scene_.now();
    const auto verdict = side.faults.stream(now, number_);
    ++counts.chunks;
    counts.bytes += got;
    Duration due = now + verdict.wait;
    Duration read_again = now;
    switch (verdict.kind) {
      case StreamVerdict::Kind::kReset:
      case StreamVerdict::Kind::kFinish:
        end(verdict.kind);
        return;
      case StreamVerdict::Kind::kVanish:
        ++counts.vanished;
        // The end of a connection vanishes too: the other side goes on believing in it.
        if (!finished) read(side);
        return;
      case StreamVerdict::Kind::kStop:
        read_again = verdict.until;
        [[fallthrough]];
      case StreamVerdict::Kind::kHold:
        ++counts.held;
        due = verdict.until;
        break;
      case StreamVerdict::Kind::kPass:
        break;
    }
    if (!side.waiting.empty()) due = std::max(due, side.waiting.back().due);
    side.held += got;
    if (got > 0 || finished) {
      side.waiting.push_back({{side.in.data(), side.in.data() + got}, due});
      if (finished && got > 0) side.waiting.push_back({{}, due});
    }
    side.finished = finished;
    write(side);
    if (finished) return;
    if (read_again > now) {
      side.paused = true;  // until what was held leaves, which is then
    } else if (side.held >= kMaxHeldBytes) {
      side.paused = true;
      ++counts.pushed_back;
    } else {
      read(side);
    }
  }

  void write(Side& side) {
    if (side.writing || side.waiting.empty() || over_) return;
    const Duration now = relay_->scene_.now();
    const auto& first = side.waiting.front();
    if (first.due > now) {
      side.timer.expires_after(first.due - now);
      side.timer.async_wait([self = shared_from_this(), &side](const asio::error_code& error) {
        if (!error && self->relay_ != nullptr) self->write(side);
      });
      return;
    }
    if (first.bytes.empty()) {
      asio::error_code ignored;
      side.other->socket.shutdown(tcp::socket::shutdown_send, ignored);
      side.waiting.pop_front();
      if (side.other->finished && side.other->waiting.empty()) end(StreamVerdict::Kind::kFinish);
      return;
    }
    side.writing = true;
    asio::async_write(side.other->socket, asio::buffer(first.bytes),
                      [self = shared_from_this(), &side](const asio::error_code& error, std::size_t written) {
                        if (self->over_ || self->relay_ == nullptr) return;
                        side.writing = false;
                        if (error) {
                          self->end(StreamVerdict::Kind::kReset);
                          return;
                        }
                        side.held -= written;
                        side.waiting.pop_front();
                        if (side.paused && side.held < kMaxHeldBytes) {
                          side.paused = false;
                          self->read(side);
                        }
                        self->write(side);
                      });
  }

  StreamRelay* relay_;
  std::uint64_t number_;
  Side near_, far_;
  std::optional<asio::steady_timer> timer_;
  bool over_ = false;
};

StreamRelay::StreamRelay(Scene& scene, const Schedule& schedule, const std::string& from,
                         const std::string& to, tcp::endpoint target, RelayCounts& counts)
    : scene_(scene),
      forth_(schedule, from, to),
      back_(schedule, to, from),
      target_(std::move(target)),
      counts_(counts),
      acceptor_(scene.io, tcp::endpoint(kHere, 0)),
      where_(acceptor_.local_endpoint()) {
  watch_cuts(forth_);
  watch_cuts(back_);
  accept();
}

StreamRelay::~StreamRelay() {
  for (const auto& pipe : std::list(pipes_)) pipe->abandon();
}

void StreamRelay::follow(const Schedule& schedule, const std::string& from, const std::string& to) {
  timers_.clear();
  forth_ = LinkFaults(schedule, from, to);
  back_ = LinkFaults(schedule, to, from);
  watch_cuts(forth_);
  watch_cuts(back_);
}

void StreamRelay::watch_cuts(const LinkFaults& faults) {
  for (const auto moment : faults.cuts()) {
    auto& timer = timers_.emplace_back(scene_.io, moment - scene_.now());
    timer.async_wait([this](const asio::error_code& error) {
      if (!error) cut_struck();
    });
  }
}

void StreamRelay::cut_struck() {
  for (const auto& pipe : std::list(pipes_)) {
    for (auto* faults : {&forth_, &back_}) {
      const auto kind = faults->stream(scene_.now(), pipe->number()).kind;
      if (kind == StreamVerdict::Kind::kReset || kind == StreamVerdict::Kind::kFinish) pipe->end(kind);
    }
  }
}

void StreamRelay::accept() {
  acceptor_.async_accept([this](const asio::error_code& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) admit(std::move(socket));
    accept();
  });
}

void StreamRelay::admit(tcp::socket socket) {
  ++counts_.connections;
  const Duration now = scene_.now();
  // Both directions are needed to come up.
  const auto number = ++connections_;
  auto verdict = forth_.stream(now, number);
  if (const auto back = back_.stream(now, number); back.kind > verdict.kind) verdict = back;
  if (verdict.kind == StreamVerdict::Kind::kReset) {
    ++counts_.reset;
    reset(socket);
    return;
  }
  if (verdict.kind == StreamVerdict::Kind::kFinish) {
    ++counts_.finished;
    return;
  }
  auto pipe = std::make_shared<Pipe>(*this, std::move(socket), number);
  pipes_.push_back(pipe);
  switch (verdict.kind) {
    case StreamVerdict::Kind::kVanish:
      pipe->swallow();
      break;
    case StreamVerdict::Kind::kHold:
    case StreamVerdict::Kind::kStop:
      pipe->connect_at(verdict.until);
      break;
    default:
      pipe->connect();
      break;
  }
}

// ---- datagrams ------------------------------------------------------------------------------------------

struct DatagramRelay::Link {
  Link(Scene& scene, const Schedule& schedule, const std::string& from_name, const std::string& to_name,
       std::size_t from, std::size_t to)
      : socket(scene.io, udp::endpoint(kHere, 0)), faults(schedule, from_name, to_name), from(from), to(to) {
    socket.non_blocking(true);
  }
  udp::socket socket;
  LinkFaults faults;
  std::size_t from, to;
  std::size_t held = 0;
  udp::endpoint sender;
  std::array<char, 64 * 1024> in;
};

DatagramRelay::DatagramRelay(Scene& scene, const Schedule& schedule, const std::vector<std::string>& nodes,
                             RelayCounts& counts)
    : scene_(scene), counts_(counts), nodes_(nodes.size()) {
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    auto& row = links_.emplace_back();
    for (std::size_t j = 0; j < nodes.size(); ++j) {
      row.push_back(std::make_unique<Link>(scene, schedule, nodes[i], nodes[j], i, j));
    }
  }
  for (auto& row : links_) {
    for (auto& link : row) read(*link);
  }
}

DatagramRelay::~DatagramRelay() = default;

udp::endpoint DatagramRelay::at(std::size_t from, std::size_t to) const {
  return links_.at(from).at(to)->socket.local_endpoint();
}
udp::endpoint DatagramRelay::to_all(std::size_t from) const {
  return at(from, from);
}
void DatagramRelay::node_is_at(std::size_t node, udp::endpoint where) {
  nodes_.at(node) = std::move(where);
}

void DatagramRelay::read(Link& link) {
  link.socket.async_receive_from(
      asio::buffer(link.in), link.sender, [this, &link](const asio::error_code& error, std::size_t got) {
        if (error == asio::error::operation_aborted) return;
        // Only the node itself may speak in its name.
        if (!error && link.sender == nodes_[link.from]) {
          auto bytes = std::make_shared<std::vector<char>>(link.in.data(), link.in.data() + got);
          for (std::size_t to = 0; to < nodes_.size(); ++to) {
            const bool meant = link.from == link.to ? to != link.from : to == link.to;
            if (meant) pass(link.from, to, bytes);
          }
        }
        read(link);
      });
}

void DatagramRelay::pass(std::size_t from, std::size_t to, std::shared_ptr<std::vector<char>> bytes) {
  auto& link = *links_[from][to];
  ++counts_.datagrams;
  const auto ways = link.faults.datagram(scene_.now());
  if (ways.count == 0) ++counts_.lost;
  if (ways.count == 2) ++counts_.twice;
  for (std::size_t i = 0; i < ways.count; ++i) {
    const auto send = [this, from, to, bytes] {
      asio::error_code lost;
      // The receiver knows the sender by the address at which it would answer it.
      links_[to][from]->socket.send_to(asio::buffer(*bytes), nodes_[to], 0, lost);
    };
    if (ways.after[i] == Duration{}) {
      send();
    } else if (link.held >= kMaxHeldDatagrams) {
      ++counts_.lost;
    } else {
      ++link.held;
      auto timer = std::make_shared<asio::steady_timer>(scene_.io, ways.after[i]);
      timer->async_wait([send, timer, &link](const asio::error_code& error) {
        if (error) return;
        --link.held;
        send();
      });
    }
  }
}

// ---- lateness -------------------------------------------------------------------------------------------

namespace {
constexpr Duration kWatchEvery = milliseconds{10};
}

LatenessWatch::LatenessWatch(Scene& scene, Duration most) : scene_(scene), most_(most), timer_(scene.io) {
  wait();
}

void LatenessWatch::wait() {
  const Duration due = scene_.now() + kWatchEvery;
  timer_.expires_after(kWatchEvery);
  timer_.async_wait([this, due](const asio::error_code& error) {
    if (error) return;
    const Duration late = scene_.now() - due;
    worst_ = std::max(worst_, late);
    if (late > most_) {
      scene_.note({scene_.now(), "relay", What::kLate, "", "",
                   std::chrono::duration_cast<milliseconds>(late).count(), ""});
    }
    wait();
  });
}

}  // namespace amberknot::lab::fleet
