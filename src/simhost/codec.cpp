#include "codec.hpp"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>
#include <type_traits>

namespace amberknot::simhost {
namespace {

template <typename T>
T load(std::span<const std::uint8_t> bytes, std::size_t at) {
  if (at > bytes.size() || bytes.size() - at < sizeof(T)) throw WireError("record too short");
  if constexpr (std::is_floating_point_v<T>) {
    static_assert(sizeof(T) == sizeof(std::uint32_t));
    return std::bit_cast<T>(load<std::uint32_t>(bytes, at));
  } else {
    std::uint64_t value = 0;
    for (std::size_t i = sizeof(T); i-- > 0;) value = (value << 8U) | bytes[at + i];
    return static_cast<T>(value);
  }
}

template <typename T>
void store(std::vector<std::uint8_t>& bytes, T value) {
  auto rest = static_cast<std::uint64_t>(value);
  for (std::size_t i = 0; i < sizeof(T); ++i, rest >>= 8U) bytes.push_back(static_cast<std::uint8_t>(rest));
}

Instant instant(std::uint64_t micros) {
  constexpr auto kMax = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max() / 4);
  if (micros > kMax) throw WireError("clock time out of range");
  return Instant{Duration{static_cast<std::int64_t>(micros)}};
}

/// A whole number that travels as a float, such as a cell.
std::uint32_t whole(float value) {
  constexpr float kMax = 4e9F;
  if (!(value >= 0.0F && value < kMax)) throw WireError("number out of range");
  return static_cast<std::uint32_t>(value);
}

/// Part of the tail, checked: `count` pieces of `size` bytes from `offset`.
std::span<const std::uint8_t> tail_part(std::span<const std::uint8_t> tail, std::uint32_t offset,
                                        std::uint32_t count, std::size_t size) {
  if (offset > tail.size() || (tail.size() - offset) / size < count) {
    throw WireError("tail reference out of range");
  }
  return tail.subspan(offset, count * size);
}

std::span<const std::uint8_t> tail_ref(std::span<const std::uint8_t> tail,
                                       std::span<const std::uint8_t> record, std::size_t at,
                                       std::size_t size = 1) {
  return tail_part(tail, load<std::uint32_t>(record, at), load<std::uint32_t>(record, at + 4), size);
}

template <typename E>
E checked_enum(std::uint32_t value, E last, const char* what) {
  if (value > static_cast<std::uint32_t>(last)) throw WireError(std::string("unknown ") + what);
  return static_cast<E>(value);
}

RawReport report_at(std::span<const std::uint8_t> record, std::size_t at) {
  RawReport report;
  report.count = load<std::uint8_t>(record, at);
  if (report.count > kMaxReportValues) throw WireError("load report too long");
  for (std::size_t i = 0; i < report.count; ++i) report.values[i] = load<float>(record, at + 1 + 4 * i);
  return report;
}

DefineList list_at(std::span<const std::uint8_t> record, std::span<const std::uint8_t> tail) {
  DefineList list;
  list.number = load<std::uint16_t>(record, 1);
  const auto bytes = tail_ref(tail, record, 3, kEntrySize);
  for (std::size_t at = 0; at < bytes.size(); at += kEntrySize) {
    const auto piece = bytes.subspan(at, kEntrySize);
    EndpointEntry entry;
    entry.server = ServerId{load<std::uint32_t>(piece, 0)};
    entry.pool = PoolId{load<std::uint16_t>(piece, 7)};
    entry.state = checked_enum(load<std::uint8_t>(piece, 9), EndpointState::kDraining, "list state");
    if (const auto born = load<std::uint64_t>(piece, 14); born != 0) entry.started = instant(born);
    list.entries.push_back(entry);
  }
  return list;
}

NewCall call_at(std::span<const std::uint8_t> record) {
  constexpr std::uint8_t kIsRedial = 2;
  constexpr std::uint8_t kInTransit = 8;
  constexpr std::uint8_t kWasCut = 16;
  NewCall call;
  call.call = CallId{load<std::uint32_t>(record, 1)};
  call.width = load<float>(record, 13);
  if (!std::isfinite(call.width)) throw WireError("call width out of range");
  call.expires = instant(load<std::uint64_t>(record, 17));
  const auto flags = load<std::uint8_t>(record, 25);
  call.is_redial = (flags & kIsRedial) != 0;
  call.is_in_transit = (flags & kInTransit) != 0;
  call.was_aborted = (flags & kWasCut) != 0;
  call.destination = PoolId{whole(load<float>(record, 26))};
  call.tenant = load<std::uint16_t>(record, 30);
  call.call_class = load<std::uint8_t>(record, 32);
  return call;
}

RawAttemptEnded ended_at(std::span<const std::uint8_t> record) {
  RawAttemptEnded raw;
  raw.event.call = CallId{load<std::uint32_t>(record, 1)};
  raw.event.attempt = load<std::uint8_t>(record, 5);
  raw.event.server = ServerId{load<std::uint32_t>(record, 6)};
  raw.event.outcome = checked_enum(load<std::uint16_t>(record, 10), Outcome::kNotSent, "outcome");
  raw.event.elapsed = Duration{load<std::uint32_t>(record, 12)};
  raw.event.call_ended = load<std::uint8_t>(record, 16) != 0;
  raw.reason = load<std::uint32_t>(record, 17);
  raw.report = report_at(record, 21);
  return raw;
}

RawHealthCheckResult pong_at(std::span<const std::uint8_t> record) {
  RawHealthCheckResult raw;
  raw.event.elapsed = Duration{load<std::uint32_t>(record, 1)};
  raw.event.server = ServerId{load<std::uint32_t>(record, 5)};
  raw.event.outcome = checked_enum(load<std::uint16_t>(record, 9), Outcome::kNotSent, "probe outcome");
  raw.event.is_unsolicited = raw.event.outcome == Outcome::kOk && raw.event.elapsed == Duration::zero();
  raw.report = report_at(record, 11);
  return raw;
}

WireEvent event_at(std::span<const std::uint8_t> record, std::span<const std::uint8_t> tail) {
  switch (load<std::uint8_t>(record, 0)) {
    case 1: {
      const auto text = tail_ref(tail, record, 9);
      return Launch{load<std::uint64_t>(record, 1), std::string(text.begin(), text.end())};
    }
    case 2:
      return Sync{checked_enum(load<std::uint8_t>(record, 9), EndpointUpdateScope::kFailed, "list scope"),
                  load<std::uint16_t>(record, 10)};
    case 3:
      return call_at(record);
    case 4:
      return Established{CallId{load<std::uint32_t>(record, 1)}, ServerId{load<std::uint32_t>(record, 5)},
                         load<std::uint8_t>(record, 13), Duration{load<std::uint32_t>(record, 9)}};
    case 5:
      return ended_at(record);
    case 6:
      return CallAbandoned{CallId{load<std::uint32_t>(record, 1)}};
    case 7:
      return TimerExpired{TimerHandle{load<std::uint64_t>(record, 1)}};
    case 8:
      return pong_at(record);
    case 9: {
      const auto bytes = tail_ref(tail, record, 5);
      return PeerMessage{PeerId{load<std::uint32_t>(record, 1)}, {bytes.begin(), bytes.end()}};
    }
    case 10:
      return Retire{};
    case 11:
      return list_at(record, tail);
    case 12:
      return SwitchTo{load<std::uint32_t>(record, 1)};
    default:
      throw WireError("unknown event code");
  }
}

std::uint32_t micros32(Duration duration) {
  constexpr std::int64_t kMax = std::numeric_limits<std::int32_t>::max();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(duration.count(), 0, kMax));
}

/// Writes one action's code and fields; variable parts go to the tail.
struct ActionEncoder {
  std::vector<std::uint8_t>& record;
  std::vector<std::uint8_t>& tail;

  void code(std::uint8_t value) const { record.push_back(value); }
  template <typename Bytes>
  void part(const Bytes& bytes) const {
    store(record, static_cast<std::uint32_t>(tail.size()));
    store(record, static_cast<std::uint32_t>(bytes.size()));
    tail.insert(tail.end(), bytes.begin(), bytes.end());
  }

  void operator()(const ForwardCall& send) const {
    code(1);
    store(record, static_cast<std::uint32_t>(send.call));
    store(record, static_cast<std::uint32_t>(send.server));
    store(record, micros32(send.attempt_timeout));
  }
  void operator()(const RejectCall& refuse) const {
    code(2);
    store(record, static_cast<std::uint32_t>(refuse.call));
    store(record, micros32(refuse.retry_after));
  }
  void operator()(const FailCall& fail) const {
    code(3);
    store(record, static_cast<std::uint32_t>(fail.call));
  }
  void operator()(const CancelAttempt& cancel) const {
    code(4);
    store(record, static_cast<std::uint32_t>(cancel.call));
    store(record, static_cast<std::uint8_t>(cancel.attempt));
  }
  void operator()(const SetTimer& timer) const {
    code(5);
    store(record, static_cast<std::uint64_t>(timer.when.time_since_epoch().count()));
    store(record, static_cast<std::uint64_t>(timer.handle));
  }
  void operator()(const CheckHealth& probe) const {
    code(6);
    store(record, static_cast<std::uint32_t>(probe.server));
  }
  void operator()(const BroadcastGossip& tell) const {
    code(8);
    store(record, std::numeric_limits<std::uint32_t>::max());
    part(tell.bytes);
  }
  void operator()(const LogMessage& log) const {
    code(9);
    part(log.text);
  }
  void operator()(const WatchEndpoints& /*watch*/) const {
    code(11);
    store(record, std::uint8_t{1});
  }
};

constexpr std::uint8_t kPanicCode = 10;
constexpr std::uint8_t kSpeakingCode = 13;

}  // namespace

BatchHeader decode_header(std::span<const std::uint8_t> bytes) {
  BatchHeader header{load<std::uint32_t>(bytes, 0), instant(load<std::uint64_t>(bytes, 4)),
                     load<std::uint32_t>(bytes, 12)};
  if (header.body_bytes > kMaxFrameBytes) throw WireError("frame too long");
  if (header.body_bytes / kEventSize < header.records) throw WireError("more records than bytes");
  return header;
}

std::vector<WireEvent> decode_body(const BatchHeader& header, std::span<const std::uint8_t> body) {
  if (body.size() != header.body_bytes) throw WireError("frame truncated");
  if (body.size() / kEventSize < header.records) throw WireError("more records than bytes");
  const auto tail = body.subspan(header.records * kEventSize);
  std::vector<WireEvent> events;
  events.reserve(header.records);
  for (std::size_t i = 0; i < header.records; ++i) {
    events.push_back(event_at(body.subspan(i * kEventSize, kEventSize), tail));
  }
  return events;
}

void ReplyWriter::speak_for(std::uint32_t node) {
  if (node_named_ && node == node_) return;
  node_ = node;
  node_named_ = true;
  records_.push_back(kSpeakingCode);
  store(records_, node);
  records_.resize(++count_ * kActionSize);
}

void ReplyWriter::add(const Action& action) {
  std::visit(ActionEncoder{records_, tail_}, action);
  records_.resize(++count_ * kActionSize);
}

void ReplyWriter::add_panic(std::string_view text) {
  const ActionEncoder encoder{records_, tail_};
  encoder.code(kPanicCode);
  encoder.part(text);
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
