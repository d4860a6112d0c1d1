// Whole batches through the adapter: several instances, restarts, list numbers, panics.
#include "host.hpp"

#include <gtest/gtest.h>

#include "settings_text.hpp"
#include "wire_bytes.hpp"

namespace amberknot::simhost {
namespace {

using testing::Bytes;
using testing::Frame;
using testing::settings_keys;
using testing::settings_text;

Bytes answer(Host& host, const Frame& frame, std::uint64_t now = 1000) {
  return host.answer(decode_header(frame.header(now)), frame.body());
}

struct Record {
  std::uint32_t node;
  std::uint8_t code;
  std::uint32_t server;
};

std::vector<Record> records(const Bytes& reply) {
  const auto u32 = [&](std::size_t at) {
    return reply[at] | reply[at + 1] << 8U | reply[at + 2] << 16U |
           static_cast<std::uint32_t>(reply[at + 3]) << 24U;
  };
  std::vector<Record> found;
  std::uint32_t node = 0;
  for (std::size_t i = 0; i < u32(4); ++i) {
    const std::size_t at = kReplyHeaderSize + i * kActionSize;
    if (reply[at] == 13) {
      node = u32(at + 1);
    } else {
      found.push_back({node, reply[at], u32(at + 5)});
    }
  }
  return found;
}

std::vector<Record> sends(const Bytes& reply) {
  auto found = records(reply);
  std::erase_if(found, [](const Record& record) { return record.code != 1; });
  return found;
}

TEST(Host, EmptyBatchGetsAnEmptyReply) {
  Host host;
  EXPECT_EQ(answer(host, Frame{}), Bytes(8));
}

TEST(Host, InstancesDecideForThemselvesAndSpeakInTheirOwnName) {
  Host host;
  const auto text = settings_text();
  Frame frame;
  frame.switch_to(3).launch(1, text).define_list(0, {70}).sync(2, 0).ingress(1, 3'000'000);
  frame.switch_to(8).launch(2, text).define_list(0, {80}).sync(2, 0).ingress(1, 3'000'000);
  const auto sent = sends(answer(host, frame));
  ASSERT_EQ(sent.size(), 2U);
  EXPECT_EQ(sent[0].node, 3U);
  EXPECT_EQ(sent[0].server, 70U);  // its list number was reused later in the same batch
  EXPECT_EQ(sent[1].node, 8U);
  EXPECT_EQ(sent[1].server, 80U);
}

TEST(Host, SharingAProcessChangesNothing) {
  const auto text = settings_text();
  const auto alone = [&](std::uint32_t node) {
    Host host;
    Frame frame;
    frame.switch_to(node).launch(node, text).define_list(0, {70, 71}).sync(2, 0);
    for (std::uint32_t id = 0; id < 40; ++id) frame.ingress(id, 3'000'000);
    return answer(host, frame);
  };
  Host host;
  Frame both;
  for (const std::uint32_t node : {1U, 2U}) {
    both.switch_to(node).launch(node, text).define_list(0, {70, 71}).sync(2, 0);
    for (std::uint32_t id = 0; id < 40; ++id) both.ingress(id, 3'000'000);
  }
  const auto together = sends(answer(host, both));
  auto apart = sends(alone(1));
  for (const auto& record : sends(alone(2))) apart.push_back(record);
  ASSERT_EQ(together.size(), apart.size());
  ASSERT_FALSE(apart.empty());
  for (std::size_t i = 0; i < apart.size(); ++i) {
    EXPECT_EQ(together[i].node, apart[i].node);
    EXPECT_EQ(together[i].server, apart[i].server);
  }
}

TEST(Host, ARestartForgetsEverything) {
  Host host;
  const auto text = settings_text();
  Frame first;
  first.switch_to(1).launch(1, text).define_list(0, {70}).sync(2, 0);
  for (std::uint32_t id = 0; id < 20; ++id) first.ingress(id, 3'000'000);
  const auto before = sends(answer(host, first)).size();
  Frame again;
  again.switch_to(1).record({10}).launch(2, text).define_list(0, {70}).sync(2, 0);
  for (std::uint32_t id = 100; id < 120; ++id) again.ingress(id, 3'000'000);
  EXPECT_EQ(sends(answer(host, again, 2000)).size(), before);
}

TEST(Host, AMissingSettingPanicsNamingTheKey) {
  Host host;
  auto keys = settings_keys();
  keys.erase("limits.most_tries");
  const auto reply = answer(host, Frame{}.switch_to(1).launch(1, settings_text(keys)));
  const auto found = records(reply);
  ASSERT_EQ(found.size(), 1U);
  EXPECT_EQ(found[0].code, 10);
  EXPECT_NE(std::string(reply.begin(), reply.end()).find("limits.most_tries"), std::string::npos);
}

TEST(Host, AnExceptionInTheModulePanicsWithItsText) {
  Host host;
  Frame frame;
  frame.switch_to(1).launch(1, settings_text()).define_list(0, {70}).sync(2, 0);
  Bytes call{3};
  call.resize(32);
  testing::put(call, 200, 1);  // a class that the settings do not have
  const auto reply = answer(host, frame.record(call));
  EXPECT_EQ(records(reply).back().code, 10);
  EXPECT_NE(std::string(reply.begin(), reply.end()).find("class"), std::string::npos);
}

TEST(Host, AnUndefinedListIsInconsistent) {
  Host host;
  EXPECT_THROW(answer(host, Frame{}.switch_to(1).launch(1, settings_text()).sync(1, 5)), WireError);
}

TEST(Host, EventsForAnInstanceNotRunningAreIgnored) {
  Host host;
  EXPECT_EQ(answer(host, Frame{}.switch_to(1).ingress(1, 1000)), Bytes(8));
}

TEST(Host, AReportMeasuresTheWaitOfTheServer) {
  Host host;
  Frame frame;
  frame.switch_to(1).launch(1, settings_text()).define_list(0, {70}).sync(2, 0);
  Bytes ended{5};
  testing::put(ended, 99, 4);
  testing::put(ended, 0, 1);
  testing::put(ended, 70, 4);
  ended.resize(21);
  testing::put(ended, 3, 1);
  testing::put(ended, 0x447a0000, 4);  // 1000 free lines
  testing::put(ended, 0x447a0000, 4);
  testing::put(ended, 0x453b8000, 4);  // a wait of 3000 ms
  frame.record(ended).ingress(1, 3'000'000);
  EXPECT_TRUE(sends(answer(host, frame)).empty());
}

}  // namespace
}  // namespace amberknot::simhost
