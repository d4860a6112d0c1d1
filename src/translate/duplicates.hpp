// Recent requests by their identity, so that an old till's repeat is the same call and has the same answer,
// and a reversal that overtakes its request ends it. Bounded in bytes; what is over is forgotten by a wheel
// of time.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "amberknot/admission.hpp"

namespace amberknot::translate {

/// What makes two requests one: who sent it and its own number of it. The parts are hashed together; 128
/// bits, so that two requests of a day do not meet.
struct RequestKey {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  friend bool operator==(const RequestKey&, const RequestKey&) = default;
};
/// Of acquirer, terminal, trace and local time (ISO 8583:1987 fields 32, 41, 11, 7). Seeded, so that nobody
/// can make keys that fall into one place.
RequestKey request_key(std::uint64_t seed, std::string_view acquirer, std::string_view terminal,
                       std::string_view trace, std::string_view local_time);

enum class RequestState : std::uint8_t {
  kOpen,      ///< its set-up is not answered yet
  kAnswered,  ///< its answer is kept, to be said again
  kReversed,  ///< a reversal has ended it, or came before it
};

struct DuplicateRules {
  std::size_t max_bytes = 1 << 20;           ///< of the whole index, answers included
  std::size_t max_answer = 1024;             ///< bytes of one kept answer; longer ones are not kept
  Duration open = std::chrono::seconds{60};  ///< an open one is forgotten after that at the latest
  Duration over = std::chrono::minutes{5};   ///< an answered or reversed one
};

class DuplicateIndex {
 public:
  DuplicateIndex(Instant now, DuplicateRules rules);

  /// A request, first or repeat.
  struct Seen {
    enum class What : std::uint8_t {
      kNew,        ///< entered as open: it is to be set up
      kSame,       ///< it is open: the repeat waits for the same answer
      kAnswered,   ///< `answer` is to be said again
      kForgotten,  ///< answered, and its answer could not be kept: never set up twice, it is failed
      kReversed,   ///< its reversal was here first: it is answered as reversed, and never set up
      kNoRoom,     ///< all that is held is open: refused, with a time to stay away
    };
    What what{};
    CallId call{};            ///< kSame, kAnswered
    std::string_view answer;  ///< kAnswered; until the next change
  };
  Seen request(Instant now, const RequestKey& key, CallId call);

  /// The answer of an open one. False: it is not open.
  bool answered(Instant now, const RequestKey& key, std::string_view answer);
  /// It ended without being set up anywhere, and may be asked again as a new one: an open one is forgotten.
  bool dropped(const RequestKey& key);

  /// A reversal, first or repeat.
  struct Reversal {
    enum class What : std::uint8_t {
      kEarly,    ///< its request has not come: it will be answered as reversed
      kEndOpen,  ///< `call` is to be given up
      kRelease,  ///< `call` stands, or stood: it is to be released
      kAgain,    ///< it was reversed already
      kNoRoom,   ///< it cannot be remembered
    };
    What what{};
    CallId call{};
  };
  Reversal reverse(Instant now, const RequestKey& key);

  [[nodiscard]] std::optional<RequestState> state(const RequestKey& key) const;
  [[nodiscard]] std::size_t size() const { return used_; }
  [[nodiscard]] std::size_t bytes() const { return slots_.size() * sizeof(Slot) + answers_; }
  [[nodiscard]] std::size_t max_entries() const { return most_; }

  struct Counts {
    std::uint64_t fresh = 0, same = 0, again = 0, reversed = 0, early = 0, expired = 0, evicted = 0,
                  no_room = 0;
  };
  [[nodiscard]] const Counts& counts() const { return counts_; }

  /// Forgets what is due.
  void advance(Instant now);

 private:
  static constexpr std::uint32_t kNone = 0xffffffff;
  static constexpr std::size_t kWheel = 512;
  struct Slot {
    RequestKey key;
    std::int64_t due = 0;                        ///< in ticks
    std::uint32_t next = kNone, before = kNone;  ///< in the list of its tick
    std::uint32_t older = kNone, newer = kNone;  ///< in the list of what is over
    CallId call{};
    RequestState state{};
    bool used = false;
    bool kept = false;  ///< its answer is
    std::string answer;
  };

  [[nodiscard]] std::uint32_t find(const RequestKey& key) const;
  std::uint32_t enter(Instant now, const RequestKey& key);
  void erase(std::uint32_t at);
  void move(std::uint32_t from, std::uint32_t to);
  void schedule(std::uint32_t at, Instant due);
  void unschedule(std::uint32_t at);
  void join_over(std::uint32_t at);
  void leave_over(std::uint32_t at);
  bool evict_oldest();
  void drop_answer(Slot& slot);
  [[nodiscard]] std::uint32_t home(const RequestKey& key) const {
    return static_cast<std::uint32_t>(key.low & (slots_.size() - 1));
  }
  [[nodiscard]] std::int64_t tick_of(Instant when) const { return when.time_since_epoch() / tick_; }

  DuplicateRules rules_;
  Duration tick_{};
  std::vector<Slot> slots_;  ///< open addressing, linear, closed up on erasing: no tombstones
  std::size_t most_ = 0;
  std::size_t used_ = 0;
  std::size_t answers_ = 0;  ///< bytes
  std::vector<std::uint32_t> wheel_;
  std::int64_t ticks_ = 0;
  std::uint32_t oldest_ = kNone, newest_ = kNone;
  Counts counts_;
};

}  // namespace amberknot::translate
