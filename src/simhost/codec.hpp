// Wire format of the simulator: frames of fixed-size records and a tail that holds their variable parts. All
// numbers are little-endian.
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

/// A frame is truncated, too long or inconsistent.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Sizes in bytes.
inline constexpr std::size_t kBatchHeaderSize = 16;
inline constexpr std::size_t kReplyHeaderSize = 8;
inline constexpr std::size_t kEventSize = 48;
inline constexpr std::size_t kActionSize = 24;
inline constexpr std::size_t kEntrySize = 22;
inline constexpr std::size_t kMaxReportValues = 4;
inline constexpr std::size_t kMaxFrameBytes = 1U << 30U;

/// Header of a batch of events.
struct BatchHeader {
  std::uint32_t body_bytes = 0;  ///< size of the records and the tail
  Instant now{};
  std::uint32_t records = 0;  ///< number of records
};

/// The values of a load report, in the order of the report columns in the settings.
struct RawReport {
  std::size_t count = 0;
  std::array<float, kMaxReportValues> values{};
};

/// The records that follow are for the instance `node`.
struct SelectInstance {
  std::uint32_t node = 0;
};
/// Starts the selected instance, or restarts it.
struct StartInstance {
  std::uint64_t seed = 0;
  std::string settings;
};
/// Stops the selected instance.
struct StopInstance {};
/// Defines an endpoint list, to which later records refer by its number.
struct DefineEndpointList {
  std::uint16_t number = 0;
  std::vector<EndpointEntry> entries;
};
/// Delivers an endpoint list to the selected instance.
struct ApplyEndpointList {
  EndpointUpdateScope scope = EndpointUpdateScope::kFull;
  std::uint16_t number = 0;
};
/// An attempt's end; the report's columns are still to be matched with the settings.
struct RawAttemptEnded {
  AttemptEnded event;
  std::uint32_t reason = 0;  ///< code in the low 4 bits, wait in milliseconds above them
  RawReport report;
};
/// A health check's result; the report's columns are still to be matched with the settings.
struct RawHealthCheckResult {
  HealthCheckResult event;
  RawReport report;
};

using WireEvent = std::variant<SelectInstance, StartInstance, StopInstance, DefineEndpointList,
                               ApplyEndpointList, RawAttemptEnded, RawHealthCheckResult, NewCall, Established,
                               CallAbandoned, TimerExpired, PeerMessage>;

/// Throws WireError if the header is too short, its time is out of range, its length exceeds kMaxFrameBytes,
/// or its length does not hold its records.
BatchHeader decode_header(std::span<const std::uint8_t> bytes);
/// Throws WireError if the body does not fit the header or a record is invalid.
std::vector<WireEvent> decode_body(const BatchHeader& header, std::span<const std::uint8_t> body);

/// Collects the records and the tail of one reply.
class ReplyWriter {
 public:
  /// Selects the instance of the records that follow; selecting the same one again writes nothing.
  void select_instance(std::uint32_t node);
  void add(const Action& action);
  /// Reports that the instance has failed.
  void add_panic(std::string_view text);
  [[nodiscard]] std::vector<std::uint8_t> finish() const;

 private:
  std::vector<std::uint8_t> records_;
  std::vector<std::uint8_t> tail_;
  std::uint32_t count_ = 0;
  std::uint32_t node_ = 0;
  bool has_node_ = false;
};

}  // namespace amberknot::simhost
