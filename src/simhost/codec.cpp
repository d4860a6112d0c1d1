#include "codec.hpp"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>
#include <type_traits>

namespace amberknot::simhost {
namespace {

/// Reads a little-endian value.
template <typename T>
T load(std::span<const std::uint8_t> bytes, std::size_t at) {
  if (at > bytes.size() || bytes.size() - at < sizeof(T))
    throw WireError("record is too short for its fields");
  if constexpr (std::is_floating_point_v<T>) {
    static_assert(sizeof(T) == sizeof(std::uint32_t));
    return std::bit_cast<T>(load<std::uint32_t>(bytes, at));
  } else {
    std::uint64_t value = 0;
    for (std::size_t i = sizeof(T); i-- > 0;) value = (value << 8U) | bytes[at + i];
    return static_cast<T>(value);
  }
}

/// Appends a little-endian value.
template <typename T>
void store(std::vector<std::uint8_t>& bytes, T value) {
  auto rest = static_cast<std::uint64_t>(value);
  for (std::size_t i = 0; i < sizeof(T); ++i, rest >>= 8U) bytes.push_back(static_cast<std::uint8_t>(rest));
}

Instant instant(std::uint64_t micros) {
  constexpr auto kMax = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max() / 4);
  if (micros > kMax) throw WireError("time is out of range");
  return Instant{Duration{static_cast<std::int64_t>(micros)}};
}

/// An unsigned integer that is encoded as a float, such as a pool number.
std::uint32_t whole_number(float value) {
  constexpr float kMax = 4e9F;
  if (!(value >= 0.0F && value < kMax)) throw WireError("number is not within 0 to 4e9");
  return static_cast<std::uint32_t>(value);
}

/// Returns `count` elements of `size` bytes of the tail, from `offset` on.
std::span<const std::uint8_t> tail_range(std::span<const std::uint8_t> tail, std::uint32_t offset,
                                         std::uint32_t count, std::size_t size) {
  if (offset > tail.size() || (tail.size() - offset) / size < count) {
    throw WireError("record refers to bytes outside of the tail");
  }
  return tail.subspan(offset, count * size);
}

/// Returns the part of the tail that the record refers to by an offset and a count at `at`.
std::span<const std::uint8_t> referenced_tail(std::span<const std::uint8_t> tail,
                                              std::span<const std::uint8_t> record, std::size_t at,
                                              std::size_t size = 1) {
  return tail_range(tail, load<std::uint32_t>(record, at), load<std::uint32_t>(record, at + 4), size);
}

template <typename E>
E checked_enum(std::uint32_t value, E last, const char* what) {
  if (value > static_cast<std::uint32_t>(last)) throw WireError(std::string("unknown ") + what);
  return static_cast<E>(value);
}

RawReport decode_report(std::span<const std::uint8_t> record, std::size_t at) {
  RawReport report;
  report.count = load<std::uint8_t>(record, at);
  if (report.count > kMaxReportValues) throw WireError("load report has more than 4 values");
  for (std::size_t i = 0; i < report.count; ++i) report.values[i] = load<float>(record, at + 1 + 4 * i);
  return report;
}

DefineEndpointList decode_endpoint_list(std::span<const std::uint8_t> record,
                                        std::span<const std::uint8_t> tail) {
  DefineEndpointList list;
  list.number = load<std::uint16_t>(record, 1);
  const auto bytes = referenced_tail(tail, record, 3, kEntrySize);
  for (std::size_t at = 0; at < bytes.size(); at += kEntrySize) {
    const auto entry_bytes = bytes.subspan(at, kEntrySize);
    EndpointEntry entry;
    entry.server = ServerId{load<std::uint32_t>(entry_bytes, 0)};
    entry.pool = PoolId{load<std::uint16_t>(entry_bytes, 7)};
    entry.state =
        checked_enum(load<std::uint8_t>(entry_bytes, 9), EndpointState::kDraining, "state of an endpoint");
    if (const auto started = load<std::uint64_t>(entry_bytes, 14); started != 0)
      entry.started = instant(started);
    list.entries.push_back(entry);
  }
  return list;
}

NewCall decode_new_call(std::span<const std::uint8_t> record) {
  constexpr std::uint8_t kIsRedial = 2;
  constexpr std::uint8_t kIsInTransit = 8;
  constexpr std::uint8_t kWasAborted = 16;
  NewCall call;
  call.call = CallId{load<std::uint32_t>(record, 1)};
  call.width = load<float>(record, 13);
  if (!std::isfinite(call.width)) throw WireError("width of a call is not a finite number");
  call.expires = instant(load<std::uint64_t>(record, 17));
  const auto flags = load<std::uint8_t>(record, 25);
  call.is_redial = (flags & kIsRedial) != 0;
  call.is_in_transit = (flags & kIsInTransit) != 0;
  call.was_aborted = (flags & kWasAborted) != 0;
  call.destination = PoolId{whole_number(load<float>(record, 26))};
  call.tenant = load<std::uint16_t>(record, 30);
  call.call_class = load<std::uint8_t>(record, 32);
  return call;
}

RawAttemptEnded decode_attempt_ended(std::span<const std::uint8_t> record) {
  RawAttemptEnded raw;
  raw.event.call = CallId{load<std::uint32_t>(record, 1)};
  raw.event.attempt = load<std::uint8_t>(record, 5);
  raw.event.server = ServerId{load<std::uint32_t>(record, 6)};
  raw.event.outcome = checked_enum(load<std::uint16_t>(record, 10), Outcome::kNotSent, "outcome");
  raw.event.elapsed = Duration{load<std::uint32_t>(record, 12)};
  raw.event.call_ended = load<std::uint8_t>(record, 16) != 0;
  raw.reason = load<std::uint32_t>(record, 17);
  raw.report = decode_report(record, 21);
  return raw;
}

RawHealthCheckResult decode_health_check_result(std::span<const std::uint8_t> record) {
  RawHealthCheckResult raw;
  raw.event.elapsed = Duration{load<std::uint32_t>(record, 1)};
  raw.event.server = ServerId{load<std::uint32_t>(record, 5)};
  raw.event.outcome =
      checked_enum(load<std::uint16_t>(record, 9), Outcome::kNotSent, "outcome of a health check");
  raw.event.is_unsolicited = raw.event.outcome == Outcome::kOk && raw.event.elapsed == Duration::zero();
  raw.report = decode_report(record, 11);
  return raw;
}

WireEvent decode_event(std::span<const std::uint8_t> record, std::span<const std::uint8_t> tail) {
  switch (load<std::uint8_t>(record, 0)) {
    case 1: {
      const auto text = referenced_tail(tail, record, 9);
      return StartInstance{load<std::uint64_t>(record, 1), std::string(text.begin(), text.end())};
    }
    case 2:
      return ApplyEndpointList{checked_enum(load<std::uint8_t>(record, 9), EndpointUpdateScope::kFailed,
                                            "scope of an endpoint update"),
                               load<std::uint16_t>(record, 10)};
    case 3:
      return decode_new_call(record);
    case 4:
      return Established{CallId{load<std::uint32_t>(record, 1)}, ServerId{load<std::uint32_t>(record, 5)},
                         load<std::uint8_t>(record, 13), Duration{load<std::uint32_t>(record, 9)}};
    case 5:
      return decode_attempt_ended(record);
    case 6:
      return CallAbandoned{CallId{load<std::uint32_t>(record, 1)}};
    case 7:
      return TimerExpired{TimerHandle{load<std::uint64_t>(record, 1)}};
    case 8:
      return decode_health_check_result(record);
    case 9: {
      const auto bytes = referenced_tail(tail, record, 5);
      return PeerMessage{PeerId{load<std::uint32_t>(record, 1)}, {bytes.begin(), bytes.end()}};
    }
    case 10:
      return StopInstance{};
    case 11:
      return decode_endpoint_list(record, tail);
    case 12:
      return SelectInstance{load<std::uint32_t>(record, 1)};
    default:
      throw WireError("unknown event code");
  }
}

std::uint32_t micros32(Duration duration) {
  constexpr std::int64_t kMax = std::numeric_limits<std::int32_t>::max();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(duration.count(), 0, kMax));
}

/// Appends one action's code and fields to the records, and its variable parts to the tail.
struct ActionEncoder {
  std::vector<std::uint8_t>& record;
  std::vector<std::uint8_t>& tail;

  void put_code(std::uint8_t value) const { record.push_back(value); }
  template <typename Bytes>
  void put_tail_part(const Bytes& bytes) const {
    store(record, static_cast<std::uint32_t>(tail.size()));
    store(record, static_cast<std::uint32_t>(bytes.size()));
    tail.insert(tail.end(), bytes.begin(), bytes.end());
  }

  void operator()(const ForwardCall& forward) const {
    put_code(1);
    store(record, static_cast<std::uint32_t>(forward.call));
    store(record, static_cast<std::uint32_t>(forward.server));
    store(record, micros32(forward.attempt_timeout));
  }
  void operator()(const RejectCall& rejection) const {
    put_code(2);
    store(record, static_cast<std::uint32_t>(rejection.call));
    store(record, micros32(rejection.retry_after));
  }
  void operator()(const FailCall& fail) const {
    put_code(3);
    store(record, static_cast<std::uint32_t>(fail.call));
  }
  void operator()(const CancelAttempt& cancel) const {
    put_code(4);
    store(record, static_cast<std::uint32_t>(cancel.call));
    store(record, static_cast<std::uint8_t>(cancel.attempt));
  }
  void operator()(const SetTimer& timer) const {
    put_code(5);
    store(record, static_cast<std::uint64_t>(timer.when.time_since_epoch().count()));
    store(record, static_cast<std::uint64_t>(timer.handle));
  }
  void operator()(const CheckHealth& check) const {
    put_code(6);
    store(record, static_cast<std::uint32_t>(check.server));
  }
  void operator()(const BroadcastGossip& gossip) const {
    put_code(8);
    store(record, std::numeric_limits<std::uint32_t>::max());
    put_tail_part(gossip.bytes);
  }
  void operator()(const LogMessage& log) const {
    put_code(9);
    put_tail_part(log.text);
  }
  void operator()(const WatchEndpoints& /*watch*/) const {
    put_code(11);
    store(record, std::uint8_t{1});
  }
};

// Codes of the records that are not actions.
constexpr std::uint8_t kPanicCode = 10;
constexpr std::uint8_t kSelectInstanceCode = 13;

}  // namespace

BatchHeader decode_header(std::span<const std::uint8_t> bytes) {
  BatchHeader header{load<std::uint32_t>(bytes, 0), instant(load<std::uint64_t>(bytes, 4)),
                     load<std::uint32_t>(bytes, 12)};
  if (header.body_bytes > kMaxFrameBytes) throw WireError("frame is longer than 1 GiB");
  if (header.body_bytes / kEventSize < header.records) throw WireError("frame is too short for its records");
  return header;
}

std::vector<WireEvent> decode_body(const BatchHeader& header, std::span<const std::uint8_t> body) {
  if (body.size() != header.body_bytes) throw WireError("body and header differ in length");
  if (body.size() / kEventSize < header.records) throw WireError("frame is too short for its records");
  const auto tail = body.subspan(header.records * kEventSize);
  std::vector<WireEvent> events;
  events.reserve(header.records);
  for (std::size_t i = 0; i < header.records; ++i) {
    events.push_back(decode_event(body.subspan(i * kEventSize, kEventSize), tail));
  }
  return events;
}

void ReplyWriter::select_instance(std::uint32_t node) {
  if (has_node_ && node == node_) return;
  node_ = node;
  has_node_ = true;
  records_.push_back(kSelectInstanceCode);
  store(records_, node);
  records_.resize(++count_ * kActionSize);
}

void ReplyWriter::add(const Action& action) {
  std::visit(ActionEncoder{records_, tail_}, action);
  records_.resize(++count_ * kActionSize);
}

void ReplyWriter::add_panic(std::string_view text) {
  const ActionEncoder encoder{records_, tail_};
  encoder.put_code(kPanicCode);
  encoder.put_tail_part(text);
  records_.resize(++count_ * kActionSize);
}

std::vector<std::uint8_t> ReplyWriter::finish() const {
  std::vector<std::uint8_t> reply;
  reply.reserve(kReplyHeaderSize + records_.size() + tail_.size());
  store(reply, static_cast<std::uint32_t>(records_.size() + tail_.size()));
  store(reply, count_);
  reply.insert(reply.end(), records_.begin(), records_.end());
  reply.insert(reply.end(), tail_.begin(), tail_.end());
  return reply;
}

}  // namespace amberknot::simhost
