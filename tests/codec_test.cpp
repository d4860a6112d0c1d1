// Simulator wire format. Guards against fields read from or written to the wrong offset, and against
// malformed frames that are accepted or read out of bounds.
#include "codec.hpp"

#include <gtest/gtest.h>

#include <random>

#include "wire_bytes.hpp"

namespace amberknot::simhost {
namespace {

using namespace std::chrono_literals;
using testing::append_little_endian;
using testing::Bytes;
using testing::bytes_from_hex;
using testing::FrameBuilder;

std::vector<WireEvent> decode(const FrameBuilder& frame) {
  return decode_body(decode_header(frame.header(1000)), frame.body());
}
template <typename T>
T decode_single(const FrameBuilder& frame) {
  const auto events = decode(frame);
  EXPECT_EQ(events.size(), 1U);
  return std::get<T>(events.at(0));
}

TEST(Decode, EmptyBatch) {
  const auto header = decode_header(bytes_from_hex("000000005a5c80000000000000000000"));
  EXPECT_EQ(header.now, Instant{Duration{0x805c5a}});
  EXPECT_TRUE(decode_body(header, {}).empty());
}

TEST(Decode, NewCall) {
  Bytes fields{3};
  append_little_endian(fields, 77, 4);
  append_little_endian(fields, 123, 8);
  append_little_endian(fields, 0x40000000, 4);  // 2.0
  append_little_endian(fields, 5'000'000, 8);
  append_little_endian(fields, 2 | 8 | 16, 1);
  append_little_endian(fields, 0x40400000, 4);  // 3.0
  append_little_endian(fields, 9, 2);
  append_little_endian(fields, 1, 1);
  const auto call = decode_single<NewCall>(FrameBuilder{}.record(fields));
  EXPECT_EQ(call.call, CallId{77});
  EXPECT_EQ(call.width, 2.0);
  EXPECT_EQ(call.expires, Instant{5s});
  EXPECT_TRUE(call.is_redial && call.is_in_transit && call.was_aborted);
  EXPECT_EQ(call.destination, PoolId{3});
  EXPECT_EQ(call.tenant, 9U);
  EXPECT_EQ(call.call_class, 1U);
}

TEST(Decode, AttemptEnded) {
  Bytes fields{5};
  append_little_endian(fields, 77, 4);
  append_little_endian(fields, 2, 1);
  append_little_endian(fields, 5, 4);
  append_little_endian(fields, 2, 2);
  append_little_endian(fields, 900, 4);
  append_little_endian(fields, 1, 1);
  append_little_endian(fields, 3 + 16 * 250, 4);
  append_little_endian(fields, 2, 1);
  append_little_endian(fields, 0x40000000, 4);
  append_little_endian(fields, 0xbf800000, 4);
  const auto raw = decode_single<RawAttemptEnded>(FrameBuilder{}.record(fields));
  EXPECT_EQ(raw.event.call, CallId{77});
  EXPECT_EQ(raw.event.attempt, 2U);
  EXPECT_EQ(raw.event.server, ServerId{5});
  EXPECT_EQ(raw.event.outcome, Outcome::kFull);
  EXPECT_EQ(raw.event.elapsed, 900us);
  EXPECT_TRUE(raw.event.call_ended);
  EXPECT_EQ(raw.reason, 3U + 16U * 250U);
  ASSERT_EQ(raw.report.count, 2U);
  EXPECT_EQ(raw.report.values[0], 2.0F);
  EXPECT_EQ(raw.report.values[1], -1.0F);
}

TEST(Decode, EstablishedHealthCheckResultTimerAndPeerMessage) {
  Bytes established{4};
  append_little_endian(established, 7, 4);
  append_little_endian(established, 8, 4);
  append_little_endian(established, 900, 4);
  append_little_endian(established, 1, 1);
  Bytes health_check_result{8};
  append_little_endian(health_check_result, 250, 4);
  append_little_endian(health_check_result, 8, 4);
  append_little_endian(health_check_result, 3, 2);
  Bytes timer_expired{7};
  append_little_endian(timer_expired, 99, 8);
  FrameBuilder frame;
  frame.tail = {1, 2, 3};
  Bytes peer_message{9};
  append_little_endian(peer_message, 4, 4);
  append_little_endian(peer_message, 1, 4);
  append_little_endian(peer_message, 2, 4);
  const auto events = decode(
      frame.record(established).record(health_check_result).record(timer_expired).record(peer_message));
  EXPECT_EQ(std::get<Established>(events.at(0)).elapsed, 900us);
  EXPECT_EQ(std::get<Established>(events.at(0)).attempt, 1U);
  EXPECT_EQ(std::get<RawHealthCheckResult>(events.at(1)).event.outcome, Outcome::kTimeout);
  EXPECT_EQ(std::get<RawHealthCheckResult>(events.at(1)).event.server, ServerId{8});
  EXPECT_EQ(std::get<TimerExpired>(events.at(2)).handle, TimerHandle{99});
  EXPECT_EQ(std::get<PeerMessage>(events.at(3)).from, PeerId{4});
  EXPECT_EQ(std::get<PeerMessage>(events.at(3)).bytes, (Bytes{2, 3}));
}

TEST(Decode, EndpointList) {
  const auto list = decode_single<DefineEndpointList>(FrameBuilder{}.define_endpoint_list(3, {11, 12}));
  EXPECT_EQ(list.number, 3U);
  ASSERT_EQ(list.entries.size(), 2U);
  EXPECT_EQ(list.entries[1].server, ServerId{12});
  EXPECT_EQ(list.entries[1].pool, PoolId{1});
  EXPECT_FALSE(list.entries[1].started.has_value());
}

TEST(Rejects, UnknownCodesAndValues) {
  EXPECT_THROW(decode(FrameBuilder{}.record({13})), WireError);
  EXPECT_THROW(decode(FrameBuilder{}.record({0})), WireError);
  EXPECT_THROW(decode(FrameBuilder{}.apply_endpoint_list(4, 0)), WireError);
  Bytes ended{5};
  ended.resize(10);
  EXPECT_THROW(decode(FrameBuilder{}.record(append_little_endian(ended, 8, 2))), WireError);
  Bytes report{8};
  report.resize(11);
  EXPECT_THROW(decode(FrameBuilder{}.record(append_little_endian(report, 5, 1))), WireError);
}

TEST(Rejects, InvalidPoolNumbers) {
  for (const std::uint32_t bits : {0x7fc00000U, 0x7f800000U, 0xbf800000U, 0x7f000000U}) {
    Bytes fields{3};
    fields.resize(26);
    EXPECT_THROW(decode(FrameBuilder{}.record(append_little_endian(fields, bits, 4))), WireError);
  }
}

TEST(Rejects, TailReferencesOutOfRange) {
  for (const auto& [offset, length] : {std::pair{0U, 4U}, {4U, 0U}, {0xffffffffU, 2U}, {2U, 0xffffffffU}}) {
    Bytes fields{9};
    append_little_endian(fields, 1, 4);
    append_little_endian(fields, offset, 4);
    append_little_endian(fields, length, 4);
    FrameBuilder frame;
    frame.tail = {1, 2, 3};
    EXPECT_THROW(decode(frame.record(fields)), WireError);
  }
  Bytes list{11};
  append_little_endian(list, 1, 2);
  append_little_endian(list, 0, 4);
  append_little_endian(list, 200'000'000, 4);  // the number of entries times their size would overflow
  EXPECT_THROW(decode(FrameBuilder{}.record(list)), WireError);
}

TEST(Rejects, HeadersThatDoNotMatchTheBody) {
  FrameBuilder frame;
  frame.select_instance(1);
  auto header = decode_header(frame.header(1));
  auto body = frame.body();
  body.pop_back();
  EXPECT_THROW(decode_body(header, body), WireError);
  frame.count = 2;
  EXPECT_THROW(decode_header(frame.header(1)), WireError);
  EXPECT_THROW(decode_header(bytes_from_hex("ffffffff000000000000000000000000")), WireError);
  EXPECT_THROW(decode_header(bytes_from_hex("00000000ffffffffffffffff00000000")), WireError);
  EXPECT_THROW(decode_header(bytes_from_hex("0000")), WireError);
}

// Random bytes are either decoded or rejected with WireError; out-of-bounds reads show under sanitizers.
TEST(Rejects, RandomBytesWithoutReadingOutOfBounds) {
  std::mt19937 random(7);
  for (int round = 0; round < 20'000; ++round) {
    Bytes body(48 * (1 + random() % 3) + random() % 60);
    for (auto& byte : body) byte = static_cast<std::uint8_t>(random() % 4 == 0 ? random() : 0);
    body[0] = static_cast<std::uint8_t>(random() % 14);
    const BatchHeader header{static_cast<std::uint32_t>(body.size()), Instant{}, 1};
    try {
      EXPECT_EQ(decode_body(header, body).size(), 1U);
    } catch (const WireError&) {
    }
  }
}

TEST(Encode, ActionsAndTail) {
  ReplyWriter reply;
  reply.select_instance(3);
  reply.add(ForwardCall{CallId{0x5d3a91c4}, ServerId{0x03124a07}, 80'000us});
  reply.select_instance(3);
  reply.add(SetTimer{Instant{Duration{0x87fd7a}}, TimerHandle{0x4d}});
  reply.select_instance(5);
  reply.add(LogMessage{"two servers known"});
  const auto bytes = reply.finish();
  const auto expected = bytes_from_hex(
      "8900000005000000"
      "0d0300000000000000000000000000000000000000000000"
      "01c4913a5d074a1203803801000000000000000000000000"
      "057afd8700000000004d0000000000000000000000000000"
      "0d0500000000000000000000000000000000000000000000"
      "090000000011000000000000000000000000000000000000"
      "74776f2073657276657273206b6e6f776e");
  EXPECT_EQ(bytes, expected);
}

TEST(Encode, AllOtherActions) {
  ReplyWriter reply;
  reply.add(RejectCall{CallId{1}, 250ms});
  reply.add(FailCall{CallId{2}});
  reply.add(CancelAttempt{CallId{3}, 1});
  reply.add(CheckHealth{ServerId{4}});
  reply.add(BroadcastGossip{{0x68, 0x69}});
  reply.add(WatchEndpoints{});
  reply.add_panic("no");
  const auto bytes = reply.finish();
  const auto expected = bytes_from_hex(
      "ac00000007000000"
      "020100000090d00300000000000000000000000000000000"
      "030200000000000000000000000000000000000000000000"
      "040300000001000000000000000000000000000000000000"
      "060400000000000000000000000000000000000000000000"
      "08ffffffff00000000020000000000000000000000000000"
      "0b0100000000000000000000000000000000000000000000"
      "0a0200000002000000000000000000000000000000000000"
      "68696e6f");
  EXPECT_EQ(bytes, expected);
}

}  // namespace
}  // namespace amberknot::simhost
