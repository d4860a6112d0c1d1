// Tests the tracking of the servers' dialects and the index of duplicate requests with single cases, and each
// against a simple model under random events.
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

constexpr DialectIndex kSip{0};
constexpr DialectIndex kSession1{1};
constexpr DialectIndex kSession2{2};
const std::vector<std::uint32_t> kRanks = {0, 1, 2};
constexpr ServerId kServer{7};

/// A Versions object with one server, a clock and the actions that were not checked yet.
struct Fixture {
  Versions versions{VersionRules{}, kRanks};
  Versions::Actions actions;
  Instant now{seconds{100}};

  /// Returns the actions since the last call.
  Versions::Actions take_actions() { return std::exchange(actions, {}); }
  void listed(const std::string& address = "a", std::int64_t started = 0,
              std::optional<DialectIndex> configured = std::nullopt) {
    versions.on_server_listed(now, kServer, address, started, configured, actions);
  }
  void connected(std::uint64_t connection) { versions.on_connected(now, kServer, connection, actions); }
  void receive_versions(std::uint64_t connection, const std::string& process,
                        std::vector<DialectIndex> supported) {
    versions.on_versions_received(now, kServer, connection, process, supported, actions);
  }
  void advance(Duration time) {
    now += time;
    versions.on_timer(now, actions);
  }
  [[nodiscard]] std::optional<DialectIndex> current_dialect() const { return versions.dialect_of(kServer); }
  [[nodiscard]] VersionState state() const { return versions.state(kServer); }
};

VersionAction request_action(std::uint64_t connection) {
  return {VersionAction::Kind::kRequest, kServer, connection, std::nullopt};
}
VersionAction changed_action(std::optional<DialectIndex> dialect) {
  return {VersionAction::Kind::kChanged, kServer, 0, dialect};
}

}  // namespace

TEST_CASE("a server's dialects are requested on connection and the one with the highest rank is used") {
  Fixture fixture;
  fixture.listed();
  CHECK(fixture.take_actions().empty());
  CHECK(fixture.state() == VersionState::kUnknown);
  fixture.connected(1);
  CHECK(fixture.take_actions() == Versions::Actions{request_action(1)});
  fixture.receive_versions(1, "p1", {kSession1, kSession2, kSip});
  CHECK(fixture.take_actions() == Versions::Actions{changed_action(kSession2)});
  CHECK(fixture.versions.dialects_in_use() == version_set(kSession2));
  // SIP can only be configured: its rank is zero.
  fixture.receive_versions(1, "p1", {kSip});
  CHECK(fixture.take_actions() == Versions::Actions{changed_action(std::nullopt)});
  CHECK(fixture.state() == VersionState::kUnsupported);
}

TEST_CASE("the versions of a replaced process are requested again, and calls keep their dialect") {
  Fixture fixture;
  fixture.listed("a", 1);
  fixture.connected(1);
  fixture.receive_versions(1, "p1", {kSession1});
  fixture.versions.pin(CallId{5}, *fixture.current_dialect());
  fixture.take_actions();
  SUBCASE("the list announces the new process after a connection to it is established") {
    fixture.versions.on_disconnected(fixture.now, kServer, 1);
    fixture.connected(2);
    CHECK(fixture.take_actions() == Versions::Actions{request_action(2)});
    CHECK(fixture.current_dialect() == kSession1);  // until the new process has answered
    fixture.receive_versions(2, "p2", {kSession1, kSession2});
    CHECK(fixture.take_actions() == Versions::Actions{changed_action(kSession2)});
    fixture.listed("a", 2);
    CHECK(fixture.take_actions() == Versions::Actions{changed_action(std::nullopt), request_action(2)});
    fixture.receive_versions(2, "p2", {kSession1, kSession2});
    CHECK(fixture.current_dialect() == kSession2);
  }
  SUBCASE("the list announces the new process first") {
    fixture.listed("a", 2);
    CHECK(fixture.take_actions() == Versions::Actions{changed_action(std::nullopt), request_action(1)});
    fixture.versions.on_disconnected(fixture.now, kServer, 1);
    fixture.advance(milliseconds{1});
    CHECK(fixture.state() == VersionState::kUnknown);
    fixture.connected(2);
    CHECK(fixture.take_actions() == Versions::Actions{request_action(2)});
    fixture.receive_versions(1, "p1", {kSession1});  // late answer of the previous process
    CHECK(fixture.take_actions().empty());
    CHECK(fixture.versions.counts().stale_answers == 1);
    fixture.receive_versions(2, "p2", {kSession2});
    CHECK(fixture.take_actions() == Versions::Actions{changed_action(kSession2)});
  }
  SUBCASE("the server moves to another address") {
    fixture.listed("b", 1);
    CHECK(fixture.take_actions() == Versions::Actions{changed_action(std::nullopt)});
    fixture.receive_versions(1, "p1", {kSession1});
    CHECK(fixture.take_actions().empty());
    CHECK(fixture.state() == VersionState::kUnknown);
  }
  SUBCASE("the server is removed") {
    fixture.versions.on_server_removed(kServer);
    fixture.receive_versions(1, "p1", {kSession1});
    CHECK_FALSE(fixture.current_dialect());
    CHECK(fixture.versions.server_count() == 0);
  }
  CHECK(fixture.versions.pinned(CallId{5}) == kSession1);
  fixture.versions.unpin(CallId{5});
  CHECK(fixture.versions.pins() == 0);
}

TEST_CASE("an upgrade in place is detected by the server's rejection of the dialect") {
  Fixture fixture;
  fixture.listed();
  fixture.connected(1);
  fixture.receive_versions(1, "p1", {kSession1});
  fixture.take_actions();
  fixture.versions.on_version_rejected(fixture.now, kServer, 1, kSession1, fixture.actions);
  CHECK(fixture.take_actions() == Versions::Actions{changed_action(std::nullopt), request_action(1)});
  // A dialect that this process has rejected is not used again, even if the process announces it.
  fixture.receive_versions(1, "p1", {kSession1});
  CHECK(fixture.state() == VersionState::kUnsupported);
  fixture.receive_versions(1, "p2", {kSession1});
  CHECK(fixture.current_dialect() == kSession1);
  // Rejecting an earlier dialect does not affect the current one.
  fixture.receive_versions(1, "p3", {kSession2});
  fixture.take_actions();
  fixture.versions.on_version_rejected(fixture.now, kServer, 1, kSession1, fixture.actions);
  CHECK(fixture.take_actions().empty());
  CHECK(fixture.current_dialect() == kSession2);
}

TEST_CASE("a server that does not answer is asked again after a delay that doubles up to its maximum") {
  Fixture fixture;
  fixture.listed();
  fixture.connected(1);
  fixture.take_actions();
  Duration delay = milliseconds{500};
  for (int i = 0; i < 10; ++i) {
    CHECK(fixture.state() == VersionState::kRequesting);
    fixture.advance(VersionRules{}.answer_timeout);
    CHECK(fixture.state() == VersionState::kUnsupported);
    CHECK(fixture.take_actions().empty());
    fixture.advance(delay - milliseconds{1});
    CHECK(fixture.take_actions().empty());
    fixture.advance(milliseconds{1});
    CHECK(fixture.take_actions() == Versions::Actions{request_action(1)});
    delay = std::min<Duration>(delay * 2, VersionRules{}.max_retry_delay);
  }
  fixture.receive_versions(1, "", {kSession1});  // late, but on the same connection
  CHECK(fixture.current_dialect() == kSession1);
}

TEST_CASE("a configured dialect overrides the server's answers until it is removed") {
  Fixture fixture;
  fixture.listed("a", 0, kSip);
  CHECK(fixture.take_actions() == Versions::Actions{changed_action(kSip)});
  fixture.connected(1);
  fixture.receive_versions(1, "p", {kSession2});
  fixture.versions.on_version_rejected(fixture.now, kServer, 1, kSip, fixture.actions);
  CHECK(fixture.take_actions().empty());
  CHECK(fixture.current_dialect() == kSip);
  fixture.listed("b", 3, kSip);
  CHECK(fixture.take_actions().empty());
  fixture.listed("b", 3);
  CHECK(fixture.take_actions() == Versions::Actions{changed_action(std::nullopt), request_action(1)});
}

TEST_CASE("a learned dialect expires without a connection and is requested again with one") {
  Fixture fixture;
  fixture.listed();
  fixture.connected(1);
  fixture.receive_versions(1, "p", {kSession1});
  fixture.take_actions();
  fixture.advance(VersionRules{}.learned_version_ttl);
  CHECK(fixture.take_actions() == Versions::Actions{request_action(1)});
  CHECK(fixture.current_dialect() == kSession1);
  fixture.versions.on_disconnected(fixture.now, kServer, 1);
  fixture.advance(VersionRules{}.learned_version_ttl);
  CHECK(fixture.take_actions() == Versions::Actions{changed_action(std::nullopt)});
  CHECK_FALSE(fixture.versions.next_timer());
}

// The model knows which process is behind each connection and which dialects that process speaks. Servers are
// replaced, reject dialects and leave requests unanswered at random, and the list announces replacements late
// or never.
TEST_CASE("only dialects announced on an established connection are used, and every request ends") {
  CHECK(rc::check("versions", [] {
    struct Process {
      std::string name;
      std::vector<DialectIndex> supported;
    };
    Fixture fixture;
    std::vector<Process> processes = {{"p0", {kSession1}}};
    std::map<std::uint64_t, std::size_t> connections;  // established connections and the process behind each
    std::uint64_t next_connection = 1;
    std::set<DialectIndex> announced;  // by any process in an answer on an established connection
    std::deque<std::uint64_t> requests;
    std::int64_t started = 1;
    fixture.listed("a", started);
    const int steps = *rc::gen::inRange(5, 60);
    for (int i = 0; i < steps; ++i) {
      switch (*rc::gen::inRange(0, 8)) {
        case 0:  // the process is replaced; its connections close, the list may announce it
          connections.clear();
          processes.push_back(
              {std::to_string(processes.size()), *rc::gen::elementOf(std::vector<std::vector<DialectIndex>>{
                                                     {kSession1}, {kSession2}, {kSession1, kSession2}, {}})});
          for (std::uint64_t c = 1; c < next_connection; ++c)
            fixture.versions.on_disconnected(fixture.now, kServer, c);
          if (*rc::gen::arbitrary<bool>()) fixture.listed("a", ++started);
          break;
        case 1:
          connections[next_connection] = processes.size() - 1;
          fixture.connected(next_connection++);
          break;
        case 2:
          if (!connections.empty()) {
            const auto at = connections.begin()->first;
            connections.erase(at);
            fixture.versions.on_disconnected(fixture.now, kServer, at);
          }
          break;
        case 3:
        case 4:  // an answer on an established or a closed connection
          if (!requests.empty()) {
            const auto at = requests.front();
            requests.pop_front();
            const auto up = connections.find(at);
            const auto& process = processes[up != connections.end() ? up->second : 0];
            const auto before = fixture.current_dialect();
            fixture.receive_versions(at, process.name, process.supported);
            if (up == connections.end()) {
              RC_ASSERT((fixture.current_dialect() == before));
            } else {
              for (const auto dialect : process.supported) announced.insert(dialect);
            }
          }
          break;
        case 5:
          fixture.advance(milliseconds{*rc::gen::inRange(0, 40'000)});
          break;
        case 6:
          if (fixture.current_dialect() && !connections.empty()) {
            const auto previous = *fixture.current_dialect();
            fixture.versions.on_version_rejected(fixture.now, kServer, connections.begin()->first, previous,
                                                 fixture.actions);
            RC_ASSERT((!fixture.current_dialect()));
          }
          break;
        default:
          fixture.listed("a", started);  // listed again without a change
          break;
      }
      std::optional<DialectIndex> last;
      for (const auto& action : fixture.take_actions()) {
        if (action.kind == VersionAction::Kind::kRequest) {
          RC_ASSERT((connections.contains(action.connection)));
          requests.push_back(action.connection);
        } else {
          last = action.dialect;
        }
      }
      if (const auto now = fixture.current_dialect()) {
        RC_ASSERT((announced.contains(*now)));
        RC_ASSERT((fixture.state() == VersionState::kKnown));
      }
      // Every request has a timeout, and every delay ends.
      if (fixture.state() == VersionState::kRequesting || fixture.state() == VersionState::kUnsupported) {
        RC_ASSERT((fixture.versions.next_timer().has_value()));
        RC_ASSERT((*fixture.versions.next_timer() <= fixture.now + VersionRules{}.max_retry_delay));
      }
      if (fixture.state() == VersionState::kUnknown) RC_ASSERT((connections.empty()));
    }
  }));
}

// ---- duplicates -----------------------------------------------------------------------------------------

namespace {

RequestKey key(std::uint64_t number) {
  return {number * 0x9e3779b97f4a7c15ULL, number};
}

}  // namespace

TEST_CASE("a request key depends on each part, on the lengths and on the seed") {
  const auto made = request_key(1, "12", "3", "000001", "1201093000");
  CHECK(made == request_key(1, "12", "3", "000001", "1201093000"));
  CHECK_FALSE(made == request_key(2, "12", "3", "000001", "1201093000"));
  CHECK_FALSE(made == request_key(1, "1", "23", "000001", "1201093000"));
  CHECK_FALSE(made == request_key(1, "12", "3", "000002", "1201093000"));
  CHECK_FALSE(made == request_key(1, "12", "3", "000001", "1201093001"));
}

TEST_CASE("a repeated request gets the call and the answer of the first one") {
  using Status = DuplicateIndex::RequestResult::Status;
  Instant now{seconds{50}};
  DuplicateIndex index(now, {});
  CHECK(index.on_request(now, key(1), CallId{10}).status == Status::kNew);
  auto result = index.on_request(now, key(1), CallId{11});
  CHECK(result.status == Status::kPending);
  CHECK(result.call == CallId{10});
  CHECK(index.on_answer(now, key(1), "0110 approved"));
  CHECK_FALSE(index.on_answer(now, key(1), "twice"));
  result = index.on_request(now, key(1), CallId{12});
  CHECK(result.status == Status::kAnswered);
  CHECK(result.answer == "0110 approved");
  // The answer is too long to keep, but the request is not set up twice.
  index.on_request(now, key(2), CallId{13});
  CHECK(index.on_answer(now, key(2), std::string(5000, 'x')));
  CHECK(index.on_request(now, key(2), CallId{14}).status == Status::kAnswerNotStored);
  // A request that was not set up at any server may be repeated as a new one.
  index.on_request(now, key(3), CallId{15});
  CHECK(index.remove_open(key(3)));
  CHECK(index.on_request(now, key(3), CallId{16}).status == Status::kNew);
  now += minutes{6};
  CHECK(index.on_request(now, key(1), CallId{17}).status == Status::kNew);
}

TEST_CASE("a reversal ends its request, even if it arrives first") {
  using RequestStatus = DuplicateIndex::RequestResult::Status;
  using Status = DuplicateIndex::ReversalResult::Status;
  const Instant now{seconds{50}};
  DuplicateIndex index(now, {});
  CHECK(index.reverse(now, key(1)).status == Status::kBeforeRequest);
  CHECK(index.reverse(now, key(1)).status == Status::kAlreadyReversed);
  CHECK(index.on_request(now, key(1), CallId{1}).status == RequestStatus::kReversed);
  CHECK(index.on_request(now, key(1), CallId{2}).status == RequestStatus::kReversed);
  index.on_request(now, key(2), CallId{3});
  const auto open_reversal = index.reverse(now, key(2));
  CHECK(open_reversal.status == Status::kGiveUp);
  CHECK(open_reversal.call == CallId{3});
  CHECK_FALSE(index.on_answer(now, key(2), "crossed"));
  index.on_request(now, key(3), CallId{4});
  index.on_answer(now, key(3), "yes");
  const auto answered_reversal = index.reverse(now, key(3));
  CHECK(answered_reversal.status == Status::kRelease);
  CHECK(answered_reversal.call == CallId{4});
  CHECK(index.reverse(now, key(3)).status == Status::kAlreadyReversed);
}

TEST_CASE("an index full of open requests rejects new ones, and evicts only completed ones, oldest first") {
  using Status = DuplicateIndex::RequestResult::Status;
  const Instant now{seconds{50}};
  DuplicateRules rules;
  rules.max_bytes = 16 * 1024;
  DuplicateIndex index(now, rules);
  const auto max_entries = index.max_entries();
  for (std::size_t i = 0; i < max_entries; ++i) {
    REQUIRE(index.on_request(now, key(i), CallId{static_cast<std::uint32_t>(i)}).status == Status::kNew);
  }
  CHECK(index.on_request(now, key(max_entries), CallId{0}).status == Status::kIndexFull);
  CHECK(index.reverse(now, key(max_entries)).status == DuplicateIndex::ReversalResult::Status::kIndexFull);
  CHECK(index.on_answer(now, key(3), "a"));
  CHECK(index.on_answer(now, key(1), "b"));
  CHECK(index.on_request(now, key(max_entries), CallId{0}).status == Status::kNew);
  CHECK_FALSE(index.state(key(3)));  // completed first, so evicted first
  CHECK(index.state(key(1)) == RequestState::kAnswered);
  for (std::size_t i = 0; i < max_entries; ++i) {
    if (i != 3 && i != 1) CHECK(index.state(key(i)) == RequestState::kOpen);
  }
  CHECK(index.counts().index_full == 2);
  CHECK(index.counts().evicted == 1);
}

TEST_CASE("the index behaves as a plain map under random events and stays within its bytes") {
  using Status = DuplicateIndex::RequestResult::Status;
  CHECK(rc::check("duplicates", [] {
    struct Entry {
      RequestState state;
      CallId call;
      std::string answer;
      Instant due;
      std::uint64_t order;
    };
    DuplicateRules rules;
    rules.max_bytes = std::size_t{1} << *rc::gen::inRange(13, 18);
    rules.max_answer_bytes = 200;
    Instant now{seconds{*rc::gen::inRange(1, 100'000)}};
    DuplicateIndex index(now, rules);
    std::map<std::uint64_t, Entry> model;
    std::uint64_t order = 0;
    // Few keys, so that they repeat often. Adjacent home slots give long probe sequences, which erasing has
    // to shift back.
    const auto keys = *rc::gen::elementOf(std::vector<std::uint64_t>{4, 60, 4000});
    const auto adjacent = *rc::gen::arbitrary<bool>();
    const auto key_of = [&](std::uint64_t n) { return adjacent ? RequestKey{n, n / 8} : key(n); };
    const Duration tick = rules.finished_ttl / 500;
    const int steps = *rc::gen::inRange(10, 900);
    std::uint32_t next_call = 1;
    const auto evicted = [&] { return index.counts().evicted; };
    for (int i = 0; i < steps; ++i) {
      const std::uint64_t n = *rc::gen::inRange<std::uint64_t>(0, keys);
      const auto before = evicted();
      // The index may remove an expired entry up to a tick later than the model.
      const auto found = model.find(n);
      const int event = *rc::gen::inRange(0, 10);
      if (event < 5) {
        const CallId call{next_call++};
        const auto result = index.on_request(now, key_of(n), call);
        const std::string answer(result.answer);
        const auto state = index.state(key_of(n));
        if (found != model.end() && result.status == Status::kNew) {
          RC_ASSERT((now >= found->second.due));
          model.erase(n);
        }
        const auto expected = model.find(n);
        if (expected == model.end()) {
          RC_ASSERT((result.status == Status::kNew || result.status == Status::kIndexFull));
          if (result.status == Status::kNew) {
            RC_ASSERT((state == RequestState::kOpen));
            model[n] = {RequestState::kOpen, call, {}, now + rules.open_ttl, order++};
          }
        } else {
          RC_ASSERT((now < expected->second.due + 2 * tick));
          RC_ASSERT((result.call == expected->second.call));
          switch (expected->second.state) {
            case RequestState::kOpen:
              RC_ASSERT((result.status == Status::kPending));
              break;
            case RequestState::kAnswered:
              RC_ASSERT((result.status == Status::kAnswered || result.status == Status::kAnswerNotStored));
              if (result.status == Status::kAnswered) RC_ASSERT((answer == expected->second.answer));
              break;
            case RequestState::kReversed:
              RC_ASSERT((result.status == Status::kReversed));
              break;
          }
        }
      } else if (event < 7) {
        const std::string answer(*rc::gen::inRange<std::size_t>(0, 260), static_cast<char>('a' + n % 26));
        const bool accepted = index.on_answer(now, key_of(n), answer);
        if (accepted) {
          RC_ASSERT((found != model.end() && found->second.state == RequestState::kOpen));
          found->second = {RequestState::kAnswered, found->second.call, answer, now + rules.finished_ttl,
                           order++};
        } else if (found != model.end() && found->second.state == RequestState::kOpen) {
          RC_ASSERT((now >= found->second.due));
          model.erase(found);
        }
      } else if (event == 7) {
        using Reversal = DuplicateIndex::ReversalResult::Status;
        const auto reversal = index.reverse(now, key_of(n));
        if (reversal.status == Reversal::kBeforeRequest) {
          RC_ASSERT((found == model.end() || now >= found->second.due));
          model[n] = {RequestState::kReversed, CallId{}, {}, now + rules.finished_ttl, order++};
        } else if (reversal.status != Reversal::kIndexFull) {
          RC_ASSERT((found != model.end()));
          const auto state = found->second.state;
          RC_ASSERT(((reversal.status == Reversal::kGiveUp) == (state == RequestState::kOpen)));
          RC_ASSERT(((reversal.status == Reversal::kRelease) == (state == RequestState::kAnswered)));
          if (state != RequestState::kReversed) {
            found->second = {
                RequestState::kReversed, found->second.call, {}, now + rules.finished_ttl, order++};
          }
        }
      } else if (event == 8) {
        if (index.remove_open(key_of(n))) {
          RC_ASSERT((found != model.end() && found->second.state == RequestState::kOpen));
          model.erase(found);
        }
      } else {
        now += milliseconds{*rc::gen::inRange(0, *rc::gen::elementOf(std::vector<int>{10, 5000, 400'000}))};
      }
      std::erase_if(model, [&](const auto& item) {
        return now >= item.second.due && !index.state(key_of(item.first));
      });
      // The evicted entries are the ones that were completed first.
      for (auto evictions = evicted() - before; evictions > 0; --evictions) {
        auto oldest = model.end();
        for (auto at = model.begin(); at != model.end(); ++at) {
          if (at->second.state == RequestState::kOpen || index.state(key_of(at->first))) continue;
          if (oldest == model.end() || at->second.order < oldest->second.order) oldest = at;
        }
        if (oldest == model.end()) break;
        for (const auto& [other, entry] : model) {
          if (entry.state != RequestState::kOpen && entry.order < oldest->second.order) {
            RC_ASSERT((!index.state(key_of(other))));
          }
        }
        model.erase(oldest);
      }
      RC_ASSERT((index.bytes() <= rules.max_bytes + 16 * 200));
      RC_ASSERT((index.size() <= index.max_entries()));
    }
    index.advance(now);
    // Entries that have not expired are present with their state; those long expired are not.
    for (const auto& [n, entry] : model) {
      const auto state = index.state(key_of(n));
      if (now < entry.due) RC_ASSERT((state == entry.state));
      if (now > entry.due + 2 * tick) RC_ASSERT((!state));
    }
    now += minutes{10};
    index.advance(now);
    RC_ASSERT((index.size() == 0u));
  }));
}
