// The simulator's wire: frames of fixed-size records with a shared tail. Types and bytes only.
#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "amberknot/admission.hpp"

namespace amberknot::simhost {

/// A frame that is truncated, over-long or inconsistent.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

inline constexpr std::size_t kBatchHeaderSize = 16;
inline constexpr std::size_t kReplyHeaderSize = 8;
inline constexpr std::size_t kEventSize = 48;
inline constexpr std::size_t kActionSize = 24;
inline constexpr std::size_t kEntrySize = 22;
inline constexpr std::size_t kMaxReportValues = 4;
inline constexpr std::size_t kMaxFrameBytes = 1U << 30U;

struct BatchHeader {
  std::uint32_t body_bytes = 0;
  Instant now{};
  std::uint32_t records = 0;
};

/// The values of a load report in the order of the settings' columns.
struct RawReport {
  std::size_t count = 0;
  std::array<float, kMaxReportValues> values{};
};

struct SwitchTo {
  std::uint32_t node = 0;
};
struct Launch {
  std::uint64_t seed = 0;
  std::string settings;
};
struct Retire {};
struct DefineList {
  std::uint16_t number = 0;
  std::vector<EndpointEntry> entries;
};
struct Sync {
  EndpointUpdateScope scope = EndpointUpdateScope::kFull;
  std::uint16_t number = 0;
};
struct RawAttemptEnded {
  AttemptEnded event;
  std::uint32_t reason = 0;
  RawReport report;
};
struct RawHealthCheckResult {
  HealthCheckResult event;
  RawReport report;
};

using WireEvent =
    std::variant<SwitchTo, Launch, Retire, DefineList, Sync, RawAttemptEnded, RawHealthCheckResult, NewCall,
                 Established, CallAbandoned, TimerExpired, PeerMessage>;

BatchHeader decode_header(std::span<const std::uint8_t> bytes);
std::vector<WireEvent> decode_body(const BatchHeader& header, std::span<const std::uint8_t> body);

/// Collects the records and the tail of one reply.
class ReplyWriter {
 public:
  /// Names the instance of the records that follow; repeated names are written once.
  void speak_for(std::uint32_t node);
  void add(const Action& action);
  void add_panic(std::string_view text);
  [[nodiscard]] std::vector<std::uint8_t> finish() const;

 private:
  std::vector<std::uint8_t> records_;
  std::vector<std::uint8_t> tail_;
  std::uint32_t count_ = 0;
  std::uint32_t node_ = 0;
  bool node_named_ = false;
};

}  // namespace amberknot::simhost
