#include "net/router.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "net/log.hpp"

namespace amberknot::net {
namespace {

using std::chrono::milliseconds;

// After SIGTERM callers go on connecting and asking for a while.
constexpr Duration kStillComing = milliseconds{700};
constexpr Duration kLookWhetherDone = milliseconds{20};

}  // namespace

Router::Router(Loop& loop, const Config& config)
    : loop_(loop),
      names_(config.names),
      dispatcher_(config.settings, Loop::now()),
      table_(dispatcher_, servers_, loop.wheel, counters_, &Loop::now),
      links_(loop, table_, servers_, counters_, config.name, config.connect_limit),
      front_(loop, table_, counters_, names_, config.listen, config.sockets / 2) {
  if (config.settings.limits.peers && config.peer_listen && config.peers_all) {
    peers_ = std::make_unique<Peers>(loop, *config.peer_listen, config.peers, *config.peers_all,
                                     [this](std::uint32_t from, std::vector<std::uint8_t> bytes) {
                                       table_.peer_said(from, std::move(bytes));
                                     });
  }
  table_.connect(
      [this](const std::vector<std::uint8_t>& bytes) {
        if (peers_) peers_->tell_all(bytes);
      },
      [](const std::string& text) { log::info("module: ", text); });
  for (const auto& news : config.known) apply(news);
  feed_ = std::make_unique<Feed>(loop, counters_, config.channel, config.cursor,
                                 [this](const ListNews& news) { apply(news); });
}

void Router::apply(const ListNews& news) {
  if (!news.has_servers) return;
  std::set<std::string> listed;
  std::vector<core::ListChange> changes = news.changes;
  for (const auto& change : changes) listed.insert(change.name);
  if (news.whole_list) {
    // What a whole list does not name is gone.
    for (const auto& server : servers_.all()) {
      if (server.state == ListState::kGone || listed.contains(server.name)) continue;
      changes.push_back({server.name, server.address, static_cast<std::uint32_t>(server.cell),
                         ListState::kGone, server.started_unix_ms});
    }
  }
  std::vector<core::ServerFacts> facts;
  for (const auto& change : changes) {
    auto& server = servers_.of(change.name);
    const bool restarted = change.started_unix_ms > server.started_unix_ms && server.port != nullptr;
    const bool gone = change.state == ListState::kGone && server.state != ListState::kGone;
    server.address = change.address;
    server.cell = CellNo{change.cell};
    server.state = change.state;
    server.started_unix_ms = change.started_unix_ms;
    server.port = &links_;
    core::ServerFacts one{server.id, server.cell, server.state, std::nullopt};
    if (change.started_unix_ms > 0) {
      one.started =
          Loop::now() - milliseconds{std::max<std::int64_t>(0, Loop::unix_ms() - change.started_unix_ms)};
    }
    facts.push_back(one);
    log::info("server ", server.name, " at ", server.address,
              change.state == ListState::kReady      ? " ready"
              : change.state == ListState::kDraining ? " draining"
                                                     : " gone",
              restarted ? ", started anew" : "");
    // A process that is no more took its calls along; some may still want their release.
    if (gone) table_.cut_all(server.id, "server gone");
    if (restarted) table_.cut_before(server.id, *one.started, "server started anew");
  }
  // The module hears of a server once there are links to send by, but of one that drains or has gone before
  // its links take set-ups back: those are placed anew at once and must not go there again.
  const auto tell_links = [&](bool ready) {
    for (const auto& change : changes) {
      if ((change.state == ListState::kReady) == ready) links_.server_changed(servers_.of(change.name));
    }
  };
  tell_links(true);
  table_.list_changed(news.whole_list, facts);
  tell_links(false);
}

void Router::stop_when_answered(std::function<void()> done) {
  if (done_) return;
  done_ = std::move(done);
  Duration longest{};
  for (const auto& cls : dispatcher_.settings().classes) longest = std::max(longest, cls.deadline);
  stop_from_ = Loop::now() + kStillComing;
  stop_by_ = stop_from_ + std::min<Duration>(longest, std::chrono::seconds{3});
  log::info("stopping: ", table_.unanswered(), " unanswered, ", table_.standing(), " standing");
  look_whether_done();
}

void Router::look_whether_done() {
  const Instant now = Loop::now();
  const bool answered = now >= stop_from_ && table_.unanswered() == 0;
  // What stands may come to its own end for as long as no one is kept waiting by it.
  if (answered && (table_.standing() == 0 || now >= stop_by_)) {
    table_.release_all();
    done_();
    return;
  }
  loop_.after(kLookWhetherDone, [this] { look_whether_done(); });
}

}  // namespace amberknot::net
