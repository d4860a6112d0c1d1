// The state machines of translation: versions of servers, and duplicates of old tills, each against a slow
// exact model under random events.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <utility>

#include "translate/duplicates.hpp"
#include "translate/versions.hpp"

using namespace amberknot;
using namespace amberknot::translate;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr DialectNo kSip{0};
constexpr DialectNo kOne{1};
constexpr DialectNo kTwo{2};
const std::vector<std::uint32_t> kRanks = {0, 1, 2};
constexpr ServerId kServer{7};

struct Bench {
  Versions versions{VersionRules{}, kRanks};
  Versions::Actions actions;
  Instant now{seconds{100}};

  Versions::Actions taken() { return std::exchange(actions, {}); }
  void listed(const std::string& address = "a", std::int64_t started = 0,
              std::optional<DialectNo> configured = std::nullopt) {
    versions.listed(now, kServer, address, started, configured, actions);
  }
  void connected(std::uint64_t connection) { versions.connected(now, kServer, connection, actions); }
  void told(std::uint64_t connection, const std::string& process, std::vector<DialectNo> spoken) {
    versions.told(now, kServer, connection, process, spoken, actions);
  }
  void pass(Duration time) {
    now += time;
    versions.tick(now, actions);
  }
  [[nodiscard]] std::optional<DialectNo> speaks() const { return versions.speaks(kServer); }
  [[nodiscard]] VersionState state() const { return versions.state(kServer); }
};

VersionAction ask(std::uint64_t connection) {
  return {VersionAction::What::kAsk, kServer, connection, std::nullopt};
}
VersionAction changed(std::optional<DialectNo> dialect) {
  return {VersionAction::What::kChanged, kServer, 0, dialect};
}

}  // namespace

TEST_CASE("what a server speaks is asked when connecting, and the best of it is spoken") {
  Bench bench;
  bench.listed();
  CHECK(bench.taken().empty());
  CHECK(bench.state() == VersionState::kUnknown);
  bench.connected(1);
  CHECK(bench.taken() == Versions::Actions{ask(1)});
  bench.told(1, "p1", {kOne, kTwo, kSip});
  CHECK(bench.taken() == Versions::Actions{changed(kTwo)});
  CHECK(bench.versions.spoken() == set_of(kTwo));
  // SIP cannot be learned: no server says so.
  bench.told(1, "p1", {kSip});
  CHECK(bench.taken() == Versions::Actions{changed(std::nullopt)});
  CHECK(bench.state() == VersionState::kBarred);
}

TEST_CASE("a process replaced under the same name or address is asked anew, and calls keep their dialect") {
  Bench bench;
  bench.listed("a", 1);
  bench.connected(1);
  bench.told(1, "p1", {kOne});
  bench.versions.pin(CallId{5}, *bench.speaks());
  bench.taken();
  SUBCASE("the list says so after the links have met the new one") {
    bench.versions.disconnected(bench.now, kServer, 1);
    bench.connected(2);
    CHECK(bench.taken() == Versions::Actions{ask(2)});
    CHECK(bench.speaks() == kOne);  // until it has answered
    bench.told(2, "p2", {kOne, kTwo});
    CHECK(bench.taken() == Versions::Actions{changed(kTwo)});
    bench.listed("a", 2);
    CHECK(bench.taken() == Versions::Actions{changed(std::nullopt), ask(2)});
    bench.told(2, "p2", {kOne, kTwo});
    CHECK(bench.speaks() == kTwo);
  }
  SUBCASE("the list says so first") {
    bench.listed("a", 2);
    CHECK(bench.taken() == Versions::Actions{changed(std::nullopt), ask(1)});
    bench.versions.disconnected(bench.now, kServer, 1);
    bench.pass(milliseconds{1});
    CHECK(bench.state() == VersionState::kUnknown);
    bench.connected(2);
    CHECK(bench.taken() == Versions::Actions{ask(2)});
    bench.told(1, "p1", {kOne});  // the late word of the one before
    CHECK(bench.taken().empty());
    CHECK(bench.versions.counts().stale == 1);
    bench.told(2, "p2", {kTwo});
    CHECK(bench.taken() == Versions::Actions{changed(kTwo)});
  }
  SUBCASE("it moves to another address") {
    bench.listed("b", 1);
    CHECK(bench.taken() == Versions::Actions{changed(std::nullopt)});
    bench.told(1, "p1", {kOne});
    CHECK(bench.taken().empty());
    CHECK(bench.state() == VersionState::kUnknown);
  }
  SUBCASE("it goes for good") {
    bench.versions.gone(kServer);
    bench.told(1, "p1", {kOne});
    CHECK_FALSE(bench.speaks());
    CHECK(bench.versions.servers() == 0);
  }
  CHECK(bench.versions.pinned(CallId{5}) == kOne);
  bench.versions.unpin(CallId{5});
  CHECK(bench.versions.pins() == 0);
}

TEST_CASE("a server upgraded in place is noticed by what it denies") {
  Bench bench;
  bench.listed();
  bench.connected(1);
  bench.told(1, "p1", {kOne});
  bench.taken();
  bench.versions.denied(bench.now, kServer, 1, kOne, bench.actions);
  CHECK(bench.taken() == Versions::Actions{changed(std::nullopt), ask(1)});
  // It still claims what it has just denied: that is not believed of this process again.
  bench.told(1, "p1", {kOne});
  CHECK(bench.state() == VersionState::kBarred);
  bench.told(1, "p2", {kOne});
  CHECK(bench.speaks() == kOne);
  // A denial of what it spoke before says nothing of what it speaks now.
  bench.told(1, "p3", {kTwo});
  bench.taken();
  bench.versions.denied(bench.now, kServer, 1, kOne, bench.actions);
  CHECK(bench.taken().empty());
  CHECK(bench.speaks() == kTwo);
}

TEST_CASE("a server that does not answer is barred for a pause that doubles up to its bound") {
  Bench bench;
  bench.listed();
  bench.connected(1);
  bench.taken();
  Duration pause = milliseconds{500};
  for (int i = 0; i < 10; ++i) {
    CHECK(bench.state() == VersionState::kAsking);
    bench.pass(VersionRules{}.patience);
    CHECK(bench.state() == VersionState::kBarred);
    CHECK(bench.taken().empty());
    bench.pass(pause - milliseconds{1});
    CHECK(bench.taken().empty());
    bench.pass(milliseconds{1});
    CHECK(bench.taken() == Versions::Actions{ask(1)});
    pause = std::min<Duration>(pause * 2, VersionRules{}.max_pause);
  }
  bench.told(1, "", {kOne});  // late, and still of this connection
  CHECK(bench.speaks() == kOne);
}

TEST_CASE("the operator's word stands, whatever the server says, until it is taken back") {
  Bench bench;
  bench.listed("a", 0, kSip);
  CHECK(bench.taken() == Versions::Actions{changed(kSip)});
  bench.connected(1);
  bench.told(1, "p", {kTwo});
  bench.versions.denied(bench.now, kServer, 1, kSip, bench.actions);
  CHECK(bench.taken().empty());
  CHECK(bench.speaks() == kSip);
  bench.listed("b", 3, kSip);
  CHECK(bench.taken().empty());
  bench.listed("b", 3);
  CHECK(bench.taken() == Versions::Actions{changed(std::nullopt), ask(1)});
}

TEST_CASE("what was learned long ago is forgotten without a connection and asked again with one") {
  Bench bench;
  bench.listed();
  bench.connected(1);
  bench.told(1, "p", {kOne});
  bench.taken();
  bench.pass(VersionRules{}.keep);
  CHECK(bench.taken() == Versions::Actions{ask(1)});
  CHECK(bench.speaks() == kOne);
  bench.versions.disconnected(bench.now, kServer, 1);
  bench.pass(VersionRules{}.keep);
  CHECK(bench.taken() == Versions::Actions{changed(std::nullopt)});
  CHECK_FALSE(bench.versions.next_tick());
}

// The model knows the truth: which process is behind each connection and what that process speaks. Servers
// are replaced, upgraded in place and silent at random, and news of it comes late or never.
TEST_CASE("nothing is spoken but what a process behind a connection has said, and every question ends") {
  CHECK(rc::check("versions", [] {
    struct Process {
      std::string name;
      std::vector<DialectNo> spoken;
    };
    Bench bench;
    std::vector<Process> processes = {{"p0", {kOne}}};
    std::map<std::uint64_t, std::size_t> connections;  // up, to the process behind
    std::uint64_t next_connection = 1;
    std::set<DialectNo>
        said;  // by any process that is still behind a connection, or was when it was last asked
    std::deque<std::uint64_t> questions;
    std::int64_t started = 1;
    bench.listed("a", started);
    const int steps = *rc::gen::inRange(5, 60);
    for (int i = 0; i < steps; ++i) {
      switch (*rc::gen::inRange(0, 8)) {
        case 0:  // replaced; its connections go, the list may tell
          connections.clear();
          processes.push_back(
              {std::to_string(processes.size()),
               *rc::gen::elementOf(std::vector<std::vector<DialectNo>>{{kOne}, {kTwo}, {kOne, kTwo}, {}})});
          for (std::uint64_t c = 1; c < next_connection; ++c)
            bench.versions.disconnected(bench.now, kServer, c);
          if (*rc::gen::arbitrary<bool>()) bench.listed("a", ++started);
          break;
        case 1:
          connections[next_connection] = processes.size() - 1;
          bench.connected(next_connection++);
          break;
        case 2:
          if (!connections.empty()) {
            const auto at = connections.begin()->first;
            connections.erase(at);
            bench.versions.disconnected(bench.now, kServer, at);
          }
          break;
        case 3:
        case 4:  // an answer, of a connection that is up or of one that has gone
          if (!questions.empty()) {
            const auto at = questions.front();
            questions.pop_front();
            const auto up = connections.find(at);
            const auto& process = processes[up != connections.end() ? up->second : 0];
            const auto before = bench.speaks();
            bench.told(at, process.name, process.spoken);
            if (up == connections.end()) {
              RC_ASSERT((bench.speaks() == before));
            } else {
              for (const auto one : process.spoken) said.insert(one);
            }
          }
          break;
        case 5:
          bench.pass(milliseconds{*rc::gen::inRange(0, 40'000)});
          break;
        case 6:
          if (bench.speaks() && !connections.empty()) {
            const auto was = *bench.speaks();
            bench.versions.denied(bench.now, kServer, connections.begin()->first, was, bench.actions);
            RC_ASSERT((!bench.speaks()));
          }
          break;
        default:
          bench.listed("a", started);  // told again: no news
          break;
      }
      std::optional<DialectNo> last;
      for (const auto& action : bench.taken()) {
        if (action.what == VersionAction::What::kAsk) {
          RC_ASSERT((connections.contains(action.connection)));
          questions.push_back(action.connection);
        } else {
          last = action.dialect;
        }
      }
      if (const auto now = bench.speaks()) {
        RC_ASSERT((said.contains(*now)));
        RC_ASSERT((bench.state() == VersionState::kKnown));
      }
      // No question stays out for ever.
      if (bench.state() == VersionState::kAsking || bench.state() == VersionState::kBarred) {
        RC_ASSERT((bench.versions.next_tick().has_value()));
        RC_ASSERT((*bench.versions.next_tick() <= bench.now + VersionRules{}.max_pause));
      }
      if (bench.state() == VersionState::kUnknown) RC_ASSERT((connections.empty()));
    }
  }));
}

// ---- duplicates -----------------------------------------------------------------------------------------

namespace {

RequestKey key(std::uint64_t number) {
  return {number * 0x9e3779b97f4a7c15ULL, number};
}

}  // namespace

TEST_CASE("keys are of all parts, with their lengths") {
  const auto made = request_key(1, "12", "3", "000001", "1201093000");
  CHECK(made == request_key(1, "12", "3", "000001", "1201093000"));
  CHECK_FALSE(made == request_key(2, "12", "3", "000001", "1201093000"));
  CHECK_FALSE(made == request_key(1, "1", "23", "000001", "1201093000"));
  CHECK_FALSE(made == request_key(1, "12", "3", "000002", "1201093000"));
  CHECK_FALSE(made == request_key(1, "12", "3", "000001", "1201093001"));
}

TEST_CASE("a repeat is the same call and hears the same answer") {
  using What = DuplicateIndex::Seen::What;
  Instant now{seconds{50}};
  DuplicateIndex index(now, {});
  CHECK(index.request(now, key(1), CallId{10}).what == What::kNew);
  auto seen = index.request(now, key(1), CallId{11});
  CHECK(seen.what == What::kSame);
  CHECK(seen.call == CallId{10});
  CHECK(index.answered(now, key(1), "0110 approved"));
  CHECK_FALSE(index.answered(now, key(1), "twice"));
  seen = index.request(now, key(1), CallId{12});
  CHECK(seen.what == What::kAnswered);
  CHECK(seen.answer == "0110 approved");
  // Too long to keep: never set up twice all the same.
  index.request(now, key(2), CallId{13});
  CHECK(index.answered(now, key(2), std::string(5000, 'x')));
  CHECK(index.request(now, key(2), CallId{14}).what == What::kForgotten);
  // What ran nowhere may be asked again.
  index.request(now, key(3), CallId{15});
  CHECK(index.dropped(key(3)));
  CHECK(index.request(now, key(3), CallId{16}).what == What::kNew);
  now += minutes{6};
  CHECK(index.request(now, key(1), CallId{17}).what == What::kNew);
}

TEST_CASE("a reversal ends its request, also when it comes first") {
  using Seen = DuplicateIndex::Seen::What;
  using What = DuplicateIndex::Reversal::What;
  const Instant now{seconds{50}};
  DuplicateIndex index(now, {});
  CHECK(index.reverse(now, key(1)).what == What::kEarly);
  CHECK(index.reverse(now, key(1)).what == What::kAgain);
  CHECK(index.request(now, key(1), CallId{1}).what == Seen::kReversed);
  CHECK(index.request(now, key(1), CallId{2}).what == Seen::kReversed);
  index.request(now, key(2), CallId{3});
  const auto open = index.reverse(now, key(2));
  CHECK(open.what == What::kEndOpen);
  CHECK(open.call == CallId{3});
  CHECK_FALSE(index.answered(now, key(2), "crossed"));
  index.request(now, key(3), CallId{4});
  index.answered(now, key(3), "yes");
  const auto stands = index.reverse(now, key(3));
  CHECK(stands.what == What::kRelease);
  CHECK(stands.call == CallId{4});
  CHECK(index.reverse(now, key(3)).what == What::kAgain);
}

TEST_CASE("full of open requests it refuses, and never forgets one, and what is over goes first") {
  using What = DuplicateIndex::Seen::What;
  const Instant now{seconds{50}};
  DuplicateRules rules;
  rules.max_bytes = 16 * 1024;
  DuplicateIndex index(now, rules);
  const auto most = index.max_entries();
  for (std::size_t i = 0; i < most; ++i) {
    REQUIRE(index.request(now, key(i), CallId{static_cast<std::uint32_t>(i)}).what == What::kNew);
  }
  CHECK(index.request(now, key(most), CallId{0}).what == What::kNoRoom);
  CHECK(index.reverse(now, key(most)).what == DuplicateIndex::Reversal::What::kNoRoom);
  CHECK(index.answered(now, key(3), "a"));
  CHECK(index.answered(now, key(1), "b"));
  CHECK(index.request(now, key(most), CallId{0}).what == What::kNew);
  CHECK_FALSE(index.state(key(3)));  // over first, so gone first
  CHECK(index.state(key(1)) == RequestState::kAnswered);
  for (std::size_t i = 0; i < most; ++i) {
    if (i != 3 && i != 1) CHECK(index.state(key(i)) == RequestState::kOpen);
  }
  CHECK(index.counts().no_room == 2);
  CHECK(index.counts().evicted == 1);
}

TEST_CASE("the index does what a plain map does, whatever comes, and stays within its bytes") {
  using What = DuplicateIndex::Seen::What;
  CHECK(rc::check("duplicates", [] {
    struct Plain {
      RequestState state;
      CallId call;
      std::string answer;
      Instant due;
      std::uint64_t order;
    };
    DuplicateRules rules;
    rules.max_bytes = std::size_t{1} << *rc::gen::inRange(13, 18);
    rules.max_answer = 200;
    Instant now{seconds{*rc::gen::inRange(1, 100'000)}};
    DuplicateIndex index(now, rules);
    std::map<std::uint64_t, Plain> model;
    std::uint64_t order = 0;
    // Few keys: they meet often. Their homes are close together, so that runs are long and are closed up.
    const auto keys = *rc::gen::elementOf(std::vector<std::uint64_t>{4, 60, 4000});
    const auto close = *rc::gen::arbitrary<bool>();
    const auto key_of = [&](std::uint64_t n) { return close ? RequestKey{n, n / 8} : key(n); };
    const Duration tick = rules.over / 500;
    const int steps = *rc::gen::inRange(10, 900);
    std::uint32_t next_call = 1;
    const auto evicted = [&] { return index.counts().evicted; };
    for (int i = 0; i < steps; ++i) {
      const std::uint64_t n = *rc::gen::inRange<std::uint64_t>(0, keys);
      const auto before = evicted();
      // What is over due in the model may be forgotten up to a tick later by the index.
      const auto found = model.find(n);
      const int what = *rc::gen::inRange(0, 10);
      if (what < 5) {
        const CallId call{next_call++};
        const auto seen = index.request(now, key_of(n), call);
        const std::string answer(seen.answer);
        const auto state = index.state(key_of(n));
        if (found != model.end() && seen.what == What::kNew) {
          RC_ASSERT((now >= found->second.due));
          model.erase(n);
        }
        const auto there = model.find(n);
        if (there == model.end()) {
          RC_ASSERT((seen.what == What::kNew || seen.what == What::kNoRoom));
          if (seen.what == What::kNew) {
            RC_ASSERT((state == RequestState::kOpen));
            model[n] = {RequestState::kOpen, call, {}, now + rules.open, order++};
          }
        } else {
          RC_ASSERT((now < there->second.due + 2 * tick));
          RC_ASSERT((seen.call == there->second.call));
          switch (there->second.state) {
            case RequestState::kOpen:
              RC_ASSERT((seen.what == What::kSame));
              break;
            case RequestState::kAnswered:
              RC_ASSERT((seen.what == What::kAnswered || seen.what == What::kForgotten));
              if (seen.what == What::kAnswered) RC_ASSERT((answer == there->second.answer));
              break;
            case RequestState::kReversed:
              RC_ASSERT((seen.what == What::kReversed));
              break;
          }
        }
      } else if (what < 7) {
        const std::string answer(*rc::gen::inRange<std::size_t>(0, 260), static_cast<char>('a' + n % 26));
        const bool taken = index.answered(now, key_of(n), answer);
        if (taken) {
          RC_ASSERT((found != model.end() && found->second.state == RequestState::kOpen));
          found->second = {RequestState::kAnswered, found->second.call, answer, now + rules.over, order++};
        } else if (found != model.end() && found->second.state == RequestState::kOpen) {
          RC_ASSERT((now >= found->second.due));
          model.erase(found);
        }
      } else if (what == 7) {
        using Reversal = DuplicateIndex::Reversal::What;
        const auto reversal = index.reverse(now, key_of(n));
        if (reversal.what == Reversal::kEarly) {
          RC_ASSERT((found == model.end() || now >= found->second.due));
          model[n] = {RequestState::kReversed, CallId{}, {}, now + rules.over, order++};
        } else if (reversal.what != Reversal::kNoRoom) {
          RC_ASSERT((found != model.end()));
          const auto state = found->second.state;
          RC_ASSERT(((reversal.what == Reversal::kEndOpen) == (state == RequestState::kOpen)));
          RC_ASSERT(((reversal.what == Reversal::kRelease) == (state == RequestState::kAnswered)));
          if (state != RequestState::kReversed) {
            found->second = {RequestState::kReversed, found->second.call, {}, now + rules.over, order++};
          }
        }
      } else if (what == 8) {
        if (index.dropped(key_of(n))) {
          RC_ASSERT((found != model.end() && found->second.state == RequestState::kOpen));
          model.erase(found);
        }
      } else {
        now += milliseconds{*rc::gen::inRange(0, *rc::gen::elementOf(std::vector<int>{10, 5000, 400'000}))};
      }
      std::erase_if(model, [&](const auto& item) {
        return now >= item.second.due && !index.state(key_of(item.first));
      });
      // What was evicted was the oldest of what is over.
      for (auto evictions = evicted() - before; evictions > 0; --evictions) {
        auto oldest = model.end();
        for (auto at = model.begin(); at != model.end(); ++at) {
          if (at->second.state == RequestState::kOpen || index.state(key_of(at->first))) continue;
          if (oldest == model.end() || at->second.order < oldest->second.order) oldest = at;
        }
        if (oldest == model.end()) break;
        for (const auto& [other, plain] : model) {
          if (plain.state != RequestState::kOpen && plain.order < oldest->second.order) {
            RC_ASSERT((!index.state(key_of(other))));
          }
        }
        model.erase(oldest);
      }
      RC_ASSERT((index.bytes() <= rules.max_bytes + 16 * 200));
      RC_ASSERT((index.size() <= index.max_entries()));
    }
    index.advance(now);
    // All that is not due is there, with its state; all that is long due is not.
    for (const auto& [n, plain] : model) {
      const auto state = index.state(key_of(n));
      if (now < plain.due) RC_ASSERT((state == plain.state));
      if (now > plain.due + 2 * tick) RC_ASSERT((!state));
    }
    now += minutes{10};
    index.advance(now);
    RC_ASSERT((index.size() == 0u));
  }));
}
