// Bytes of every action that the simulator adapter writes. Guards against a change of the wire format, for
// example by a renamed or reordered field.
#include <doctest/doctest.h>

#include "simhost/codec.hpp"
#include "wire_format.hpp"

namespace amberknot::tests {
namespace {

using std::chrono::microseconds;

std::string reply_of(const std::vector<Action>& actions) {
  simhost::ReplyWriter writer;
  for (const auto& action : actions) writer.add(action);
  const auto bytes = writer.finish();
  return to_hex({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
}

}  // namespace

TEST_CASE("simulator reply bytes: an empty reply") {
  CHECK(reply_of({}) == "0000000000000000");
}

TEST_CASE("simulator reply bytes: each action") {
  CHECK(reply_of({ForwardCall{CallId{0x5d3a91c4}, ServerId{0x03124a07}, microseconds{80'000}}}) ==
        "1800000001000000"
        "01c4913a5d074a1203803801000000000000000000000000");
  CHECK(reply_of({RejectCall{CallId{0x5d3a91c4}, microseconds{250'000}}}) ==
        "1800000001000000"
        "02c4913a5d90d00300000000000000000000000000000000");
  CHECK(reply_of({FailCall{CallId{0x5d3a91c4}}}) ==
        "1800000001000000"
        "03c4913a5d00000000000000000000000000000000000000");
  CHECK(reply_of({CancelAttempt{CallId{0x5d3a91c4}, 2}}) ==
        "1800000001000000"
        "04c4913a5d02000000000000000000000000000000000000");
  CHECK(reply_of({SetTimer{Instant{microseconds{0x0102030405060708}}, TimerHandle{0x1112131415161718}}}) ==
        "1800000001000000"
        "050807060504030201181716151413121100000000000000");
  CHECK(reply_of({CheckHealth{ServerId{0x03124a07}}}) ==
        "1800000001000000"
        "06074a120300000000000000000000000000000000000000");
  CHECK(reply_of({WatchEndpoints{}}) ==
        "1800000001000000"
        "0b0100000000000000000000000000000000000000000000");
}

TEST_CASE("simulator reply bytes: durations are clamped to 0 to 2^31 - 1 us") {
  CHECK(reply_of({RejectCall{CallId{1}, microseconds{-1}}, RejectCall{CallId{1}, std::chrono::hours{2}}}) ==
        "3000000002000000"
        "020100000000000000000000000000000000000000000000"
        "0201000000ffffff7f000000000000000000000000000000");
}

TEST_CASE("simulator reply bytes: selected instances and parts of variable length") {
  simhost::ReplyWriter writer;
  writer.select_instance(3);
  writer.add(BroadcastGossip{{0x68, 0x69}});
  writer.select_instance(3);
  writer.add(LogMessage{"two servers known"});
  writer.select_instance(0x04030201);
  writer.add_panic("no");
  const auto bytes = writer.finish();
  CHECK(to_hex({reinterpret_cast<const char*>(bytes.data()), bytes.size()}) ==
        "8d00000005000000"
        "0d0300000000000000000000000000000000000000000000"
        "08ffffffff00000000020000000000000000000000000000"
        "090200000011000000000000000000000000000000000000"
        "0d0102030400000000000000000000000000000000000000"
        "0a1300000002000000000000000000000000000000000000"
        "6869"
        "74776f2073657276657273206b6e6f776e"
        "6e6f");
}

}  // namespace amberknot::tests
