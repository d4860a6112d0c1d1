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
using testing::default_setting_values;
using testing::FrameBuilder;
using testing::settings_text;

Bytes answer(Host& host, const FrameBuilder& frame, std::uint64_t now = 1000) {
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
  EXPECT_EQ(answer(host, FrameBuilder{}), Bytes(8));
}

TEST(Host, InstancesDecideSeparatelyAndRepliesNameThem) {
  Host host;
  const auto text = settings_text();
  FrameBuilder frame;
  frame.select_instance(3)
      .start_instance(1, text)
      .define_endpoint_list(0, {70})
      .apply_endpoint_list(2, 0)
      .new_call(1, 3'000'000);
  frame.select_instance(8)
      .start_instance(2, text)
      .define_endpoint_list(0, {80})
      .apply_endpoint_list(2, 0)
      .new_call(1, 3'000'000);
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
    FrameBuilder frame;
    frame.select_instance(node)
        .start_instance(node, text)
        .define_endpoint_list(0, {70, 71})
        .apply_endpoint_list(2, 0);
    for (std::uint32_t id = 0; id < 40; ++id) frame.new_call(id, 3'000'000);
    return answer(host, frame);
  };
  Host host;
  FrameBuilder both_instances;
  for (const std::uint32_t node : {1U, 2U}) {
    both_instances.select_instance(node)
        .start_instance(node, text)
        .define_endpoint_list(0, {70, 71})
        .apply_endpoint_list(2, 0);
    for (std::uint32_t id = 0; id < 40; ++id) both_instances.new_call(id, 3'000'000);
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
  FrameBuilder first;
  first.select_instance(1).start_instance(1, text).define_endpoint_list(0, {70}).apply_endpoint_list(2, 0);
  for (std::uint32_t id = 0; id < 20; ++id) first.new_call(id, 3'000'000);
  const auto before = forwarded_calls(answer(host, first)).size();
  FrameBuilder after_restart;
  after_restart.select_instance(1)
      .record({10})
      .start_instance(2, text)
      .define_endpoint_list(0, {70})
      .apply_endpoint_list(2, 0);
  for (std::uint32_t id = 100; id < 120; ++id) after_restart.new_call(id, 3'000'000);
  EXPECT_EQ(forwarded_calls(answer(host, after_restart, 2000)).size(), before);
}

TEST(Host, MissingSettingIsReportedAsPanicWithItsKey) {
  Host host;
  auto keys = default_setting_values();
  keys.erase("limits.most_tries");
  const auto reply = answer(host, FrameBuilder{}.select_instance(1).start_instance(1, settings_text(keys)));
  const auto found = records(reply);
  ASSERT_EQ(found.size(), 1U);
  EXPECT_EQ(found[0].code, 10);
  EXPECT_NE(std::string(reply.begin(), reply.end()).find("limits.most_tries"), std::string::npos);
}

TEST(Host, ExceptionInModuleIsReportedAsPanicWithItsMessage) {
  Host host;
  FrameBuilder frame;
  frame.select_instance(1)
      .start_instance(1, settings_text())
      .define_endpoint_list(0, {70})
      .apply_endpoint_list(2, 0);
  Bytes call{3};
  call.resize(32);
  testing::append_little_endian(call, 200, 1);  // a class that the settings do not have
  const auto reply = answer(host, frame.record(call));
  EXPECT_EQ(records(reply).back().code, 10);
  EXPECT_NE(std::string(reply.begin(), reply.end()).find("class"), std::string::npos);
}

TEST(Host, RejectsUndefinedEndpointList) {
  Host host;
  EXPECT_THROW(
      answer(host,
             FrameBuilder{}.select_instance(1).start_instance(1, settings_text()).apply_endpoint_list(1, 5)),
      WireError);
}

TEST(Host, IgnoresEventsForInstanceThatIsNotRunning) {
  Host host;
  EXPECT_EQ(answer(host, FrameBuilder{}.select_instance(1).new_call(1, 1000)), Bytes(8));
}

TEST(Host, LoadReportSetsTheWaitOfTheServer) {
  Host host;
  FrameBuilder frame;
  frame.select_instance(1)
      .start_instance(1, settings_text())
      .define_endpoint_list(0, {70})
      .apply_endpoint_list(2, 0);
  Bytes ended{5};
  testing::append_little_endian(ended, 99, 4);
  testing::append_little_endian(ended, 0, 1);
  testing::append_little_endian(ended, 70, 4);
  ended.resize(21);
  testing::append_little_endian(ended, 3, 1);
  testing::append_little_endian(ended, 0x447a0000, 4);  // 1000 free lines
  testing::append_little_endian(ended, 0x447a0000, 4);
  testing::append_little_endian(ended, 0x453b8000, 4);  // a wait of 3000 ms
  frame.record(ended).new_call(1, 3'000'000);
  EXPECT_TRUE(forwarded_calls(answer(host, frame)).empty());
}

}  // namespace
}  // namespace amberknot::simhost
