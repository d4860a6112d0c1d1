// Index of recent requests. It lets a request that a payment terminal repeats get the answer of the original
// call, and a reversal that arrives before its request cancel that request. The index is bounded in bytes,
// and a timer wheel removes expired entries.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "amberknot/admission.hpp"

namespace amberknot::translate {

/// Identity of a request: a hash over its sender and the sender's number for it. It has 128 bits, so that no
/// two requests of a day collide.
struct RequestKey {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  friend bool operator==(const RequestKey&, const RequestKey&) = default;
};
/// Hashes acquirer, terminal, trace and local time (ISO 8583:1987 fields 32, 41, 11, 7). The seed keeps a
/// client from choosing keys that collide in the hash table.
RequestKey request_key(std::uint64_t seed, std::string_view acquirer, std::string_view terminal,
                       std::string_view trace, std::string_view local_time);

/// State of a request in the index. A request that is answered or reversed is completed.
enum class RequestState : std::uint8_t {
  kOpen,      ///< the set-up is not answered yet
  kAnswered,  ///< answered; the answer is kept for repeats if it fits
  kReversed,  ///< a reversal ended the request or arrived before it
};

/// Size limits of the index and lifetimes of its entries.
struct DuplicateRules {
  std::size_t max_bytes = 1 << 20;                  ///< size of the index, including the kept answers
  std::size_t max_answer_bytes = 1024;              ///< longer answers are not kept
  Duration open_ttl = std::chrono::seconds{60};     ///< an open request expires after this time
  Duration finished_ttl = std::chrono::minutes{5};  ///< a completed request expires after this time
};

/// Bounded index of recent requests. Not thread-safe.
class DuplicateIndex {
 public:
  DuplicateIndex(Instant now, DuplicateRules rules);

  /// How to handle a request.
  struct RequestResult {
    enum class Status : std::uint8_t {
      kNew,       ///< first request, now open: set up the call
      kPending,   ///< repeat of an open request: it gets the same answer later
      kAnswered,  ///< repeat of an answered request: send `answer` again
      /// Repeat of an answered request whose answer was not kept: fail it, do not set it up again.
      kAnswerNotStored,
      kReversed,   ///< already reversed: answer it as reversed and do not set it up
      kIndexFull,  ///< every entry is open: reject the request with a retry time
    };
    Status status{};
    CallId call{};            ///< kNew: the given call; for a repeat: the original call
    std::string_view answer;  ///< kAnswered; valid until the index changes
  };
  /// Handles a request, first or repeated; `call` identifies it if it is new.
  RequestResult on_request(Instant now, const RequestKey& key, CallId call);

  /// Records the answer of an open request. Returns false if the request is not open.
  bool on_answer(Instant now, const RequestKey& key, std::string_view answer);
  /// Removes an open request that was not set up at any server, so that a repeat counts as new. Returns false
  /// if the request is not open.
  bool remove_open(const RequestKey& key);

  /// How to handle a reversal.
  struct ReversalResult {
    enum class Status : std::uint8_t {
      kBeforeRequest,    ///< the request has not arrived: it will be answered as reversed
      kGiveUp,           ///< the request is open: give up `call`
      kRelease,          ///< the request was answered: release `call`, unless it has ended
      kAlreadyReversed,  ///< the request was reversed before
      kIndexFull,        ///< every entry is open: the reversal cannot be recorded
    };
    Status status{};
    CallId call{};
  };
  /// Handles a reversal, first or repeated.
  ReversalResult reverse(Instant now, const RequestKey& key);

  /// Returns nullopt if the request is not in the index.
  [[nodiscard]] std::optional<RequestState> state(const RequestKey& key) const;
  [[nodiscard]] std::size_t size() const { return used_; }
  /// Bytes of the hash table and the kept answers.
  [[nodiscard]] std::size_t bytes() const { return slots_.size() * sizeof(Slot) + answer_bytes_; }
  [[nodiscard]] std::size_t max_entries() const { return max_entries_; }

  /// Event counts since the start.
  struct Counts {
    std::uint64_t new_requests = 0, pending_repeats = 0, completed_repeats = 0, reversed = 0,
                  early_reversals = 0, expired = 0, evicted = 0, index_full = 0;
  };
  [[nodiscard]] const Counts& counts() const { return counts_; }

  /// Removes the entries that have expired.
  void advance(Instant now);

 private:
  static constexpr std::uint32_t kNone = 0xffffffff;  ///< index of no slot
  static constexpr std::size_t kWheelSlots = 512;
  struct Slot {
    RequestKey key;
    std::int64_t due_tick = 0;                     ///< tick at which the entry expires
    std::uint32_t next = kNone, previous = kNone;  ///< list of the entries in the same wheel slot
    std::uint32_t older = kNone, newer = kNone;    ///< list of completed requests
    CallId call{};
    RequestState state{};
    bool in_use = false;
    bool has_answer = false;  ///< whether the answer is kept
    std::string answer;
  };

  [[nodiscard]] std::uint32_t find(const RequestKey& key) const;
  /// Returns kNone if the index is full of open requests.
  std::uint32_t insert(Instant now, const RequestKey& key);
  void erase(std::uint32_t at);
  /// Moves an entry to another slot and updates the links to it.
  void move(std::uint32_t from, std::uint32_t to);
  void schedule(std::uint32_t at, Instant due);
  void unschedule(std::uint32_t at);
  void append_completed(std::uint32_t at);
  void remove_completed(std::uint32_t at);
  /// Removes the request that was completed first. Returns false if none is completed.
  bool evict_oldest();
  void drop_answer(Slot& slot);
  [[nodiscard]] std::uint32_t home_slot(const RequestKey& key) const {
    return static_cast<std::uint32_t>(key.low & (slots_.size() - 1));
  }
  [[nodiscard]] std::int64_t tick_of(Instant when) const { return when.time_since_epoch() / tick_length_; }

  DuplicateRules rules_;
  Duration tick_length_{};
  /// Hash table with open addressing and linear probing. Erasing shifts entries back instead of leaving
  /// tombstones.
  std::vector<Slot> slots_;
  std::size_t max_entries_ = 0;
  std::size_t used_ = 0;
  std::size_t answer_bytes_ = 0;      ///< heap bytes of the kept answers
  std::vector<std::uint32_t> wheel_;  ///< first slot of each tick's list
  std::int64_t current_tick_ = 0;
  std::uint32_t oldest_completed_ = kNone, newest_completed_ = kNone;
  Counts counts_;
};

}  // namespace amberknot::translate
