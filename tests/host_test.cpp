// Whole batches through the simulator adapter. Guards against instances that influence each other in a shared
// process, state that survives a restart, endpoint lists taken from the wrong record, and failures that are
// not reported.
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

std::vector<Record> forwarded_calls(const Bytes& reply) {
  auto found = records(reply);
  std::erase_if(found, [](const Record& record) { return record.code != 1; });
  return found;
}

TEST(Host, EmptyBatchGetsEmptyReply) {
  Host host;
  EXPECT_EQ(answer(host, Frame{}), Bytes(8));
}

TEST(Host, InstancesDecideSeparatelyAndRepliesNameThem) {
  Host host;
  const auto text = settings_text();
  Frame frame;
  frame.switch_to(3).launch(1, text).define_list(0, {70}).sync(2, 0).ingress(1, 3'000'000);
  frame.switch_to(8).launch(2, text).define_list(0, {80}).sync(2, 0).ingress(1, 3'000'000);
  const auto sent = forwarded_calls(answer(host, frame));
  ASSERT_EQ(sent.size(), 2U);
  EXPECT_EQ(sent[0].node, 3U);
  EXPECT_EQ(sent[0].server, 70U);  // list number 0 is defined anew later in this batch
  EXPECT_EQ(sent[1].node, 8U);
  EXPECT_EQ(sent[1].server, 80U);
}

TEST(Host, InstancesInOneProcessDecideAsInSeparateProcesses) {
  const auto text = settings_text();
  const auto reply_alone = [&](std::uint32_t node) {
    Host host;
    Frame frame;
    frame.switch_to(node).launch(node, text).define_list(0, {70, 71}).sync(2, 0);
    for (std::uint32_t id = 0; id < 40; ++id) frame.ingress(id, 3'000'000);
    return answer(host, frame);
  };
  Host host;
  Frame both_instances;
  for (const std::uint32_t node : {1U, 2U}) {
    both_instances.switch_to(node).launch(node, text).define_list(0, {70, 71}).sync(2, 0);
    for (std::uint32_t id = 0; id < 40; ++id) both_instances.ingress(id, 3'000'000);
  }
  const auto shared_records = forwarded_calls(answer(host, both_instances));
  auto separate_records = forwarded_calls(reply_alone(1));
  for (const auto& record : forwarded_calls(reply_alone(2))) separate_records.push_back(record);
  ASSERT_EQ(shared_records.size(), separate_records.size());
  ASSERT_FALSE(separate_records.empty());
  for (std::size_t i = 0; i < separate_records.size(); ++i) {
    EXPECT_EQ(shared_records[i].node, separate_records[i].node);
    EXPECT_EQ(shared_records[i].server, separate_records[i].server);
  }
}

TEST(Host, RestartDropsAllState) {
  Host host;
  const auto text = settings_text();
  Frame first;
  first.switch_to(1).launch(1, text).define_list(0, {70}).sync(2, 0);
  for (std::uint32_t id = 0; id < 20; ++id) first.ingress(id, 3'000'000);
  const auto before = forwarded_calls(answer(host, first)).size();
  Frame after_restart;
  after_restart.switch_to(1).record({10}).launch(2, text).define_list(0, {70}).sync(2, 0);
  for (std::uint32_t id = 100; id < 120; ++id) after_restart.ingress(id, 3'000'000);
  EXPECT_EQ(forwarded_calls(answer(host, after_restart, 2000)).size(), before);
}

TEST(Host, MissingSettingIsReportedAsPanicWithItsKey) {
  Host host;
  auto keys = settings_keys();
  keys.erase("limits.most_tries");
  const auto reply = answer(host, Frame{}.switch_to(1).launch(1, settings_text(keys)));
  const auto found = records(reply);
  ASSERT_EQ(found.size(), 1U);
  EXPECT_EQ(found[0].code, 10);
  EXPECT_NE(std::string(reply.begin(), reply.end()).find("limits.most_tries"), std::string::npos);
}

TEST(Host, ExceptionInModuleIsReportedAsPanicWithItsMessage) {
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

TEST(Host, RejectsUndefinedEndpointList) {
  Host host;
  EXPECT_THROW(answer(host, Frame{}.switch_to(1).launch(1, settings_text()).sync(1, 5)), WireError);
}

TEST(Host, IgnoresEventsForInstanceThatIsNotRunning) {
  Host host;
  EXPECT_EQ(answer(host, Frame{}.switch_to(1).ingress(1, 1000)), Bytes(8));
}

TEST(Host, LoadReportSetsTheWaitOfTheServer) {
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
  EXPECT_TRUE(forwarded_calls(answer(host, frame)).empty());
}

}  // namespace
}  // namespace amberknot::simhost
