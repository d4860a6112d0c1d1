// Tests of the ISO 8583 codec: examples of valid and invalid messages, and random messages that are written
// and read back.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "iso8583/codec.hpp"

using namespace amberknot::iso8583;

namespace {

std::string body_of(const std::string& frame) {
  return frame.substr(2);
}

/// Converts hex digits to bytes.
std::string bytes_from_hex(const std::string& hex) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
    bytes += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16));
  return bytes;
}

}  // namespace

TEST_CASE("a terminal's request is read in the format of the standard") {
  // Elements 3, 4, 11, 41 and 102: bits 3, 4, 11, 41 of the first map, 102 of the second.
  const std::string body = "0200" + bytes_from_hex("b020000000800000") + bytes_from_hex("0000000004000000") +
                           "310000" + "000000050000" + "000123" + "TERM0001" + "0677aabb";
  Message message;
  REQUIRE_FALSE(read(body, message));
  CHECK(message.mti == kFinancial);
  CHECK(message.text(3) == "310000");
  CHECK(message.text(4) == "000000050000");
  CHECK(message.text(11) == "000123");
  CHECK(message.text(41) == "TERM0001");
  CHECK(message.text(102) == "77aabb");
  CHECK_FALSE(message.has(39));
  CHECK(body_of(write(message)) == body);
}

TEST_CASE("message types tell class, function and answer type") {
  CHECK(kFinancial.answer() == kFinancialAnswer);
  CHECK(Mti{0x0201}.answer() == kFinancialAnswer);
  CHECK(Mti{0x0421}.answer() == kReversalAdviceAnswer);
  CHECK(Mti{0x0421}.is_repeat());
  CHECK(Mti{0x0421}.is_request());
  CHECK_FALSE(kNetworkAnswer.is_request());
  CHECK(kReversalAdvice.message_class() == 4);
  CHECK(kNetwork.answer() == kNetworkAnswer);
}

TEST_CASE("an invalid message is rejected with the element that is wrong") {
  using Reason = Fault::Reason;
  struct Case {
    const char* name;
    std::string body;
    std::size_t element;
    Reason fault;
  };
  const std::string empty_bitmap = bytes_from_hex("0000000000000000");
  const std::vector<Case> cases = {
      {"empty message", "", 0, Reason::kTruncated},
      {"incomplete type", "02", 0, Reason::kTruncated},
      {"letters in the type", "02A0" + empty_bitmap, 0, Reason::kInvalidCharacter},
      {"another version of the standard", "1200" + empty_bitmap, 0, Reason::kUndefined},
      {"no bitmap", "0200", 1, Reason::kTruncated},
      {"incomplete second bitmap", "0200" + bytes_from_hex("8000000000000000") + "abc", 1,
       Reason::kTruncated},
      {"undefined element", "0200" + bytes_from_hex("8000000000000000") + bytes_from_hex("8000000000000000"),
       65, Reason::kUndefined},
      {"letter in a digits element", "0200" + bytes_from_hex("2000000000000000") + "31000x", 3,
       Reason::kInvalidCharacter},
      {"truncated element of fixed length", "0200" + bytes_from_hex("2000000000000000") + "3100", 3,
       Reason::kTruncated},
      {"letter in a length", "0200" + bytes_from_hex("0000000100000000") + "x1" + "1", 32,
       Reason::kInvalidCharacter},
      {"length over the maximum", "0200" + bytes_from_hex("0000000100000000") + "12" + "123456789012", 32,
       Reason::kTooLong},
      {"length over the remaining bytes", "0200" + bytes_from_hex("0000000100000000") + "11" + "1234", 32,
       Reason::kTruncated},
      {"truncated length", "0200" + bytes_from_hex("0000000100000000") + "1", 32, Reason::kTruncated},
      {"a zero byte in a text", "0200" + bytes_from_hex("0000000000800000") + std::string("TERM\0001xx", 8),
       41, Reason::kInvalidCharacter},
      {"data after the last element", "0200" + bytes_from_hex("2000000000000000") + "310000!", 128,
       Reason::kTrailingData},
  };
  for (const auto& test_case : cases) {
    CAPTURE(test_case.name);
    Message message;
    const auto fault = read(test_case.body, message);
    REQUIRE(fault);
    CHECK(fault->element == test_case.element);
    CHECK(fault->reason == test_case.fault);
    CHECK_FALSE(text_of(fault->reason).empty());
  }
  // The elements before the fault are kept, so that the answer can name the request.
  Message message;
  const std::string truncated = "0200" + bytes_from_hex("0020000000800000") + "000123" + "TERM";
  REQUIRE(read(truncated, message));
  CHECK(message.text(11) == "000123");
}

TEST_CASE("frames are read from a stream of bytes") {
  using State = Frame::State;
  const std::string frame = std::string("\x00\x03", 2) + "abc";
  for (std::size_t i = 0; i < frame.size(); ++i)
    CHECK(read_frame(frame.substr(0, i), 100).state == State::kIncomplete);
  const std::string more = frame + "rest";
  const auto whole = read_frame(more, 100);
  CHECK(whole.state == State::kComplete);
  CHECK(whole.body == "abc");
  CHECK(whole.size == 5);
  CHECK(read_frame(std::string("\x00\x00", 2), 100).state == State::kComplete);
  CHECK(read_frame(std::string("\x00\x65", 2), 100).state == State::kTooLong);
  CHECK(read_frame("GET / HTTP/1.1", 16 * 1024).state == State::kTooLong);
}

TEST_CASE("elements are padded, and a message with an invalid element is not written") {
  Message message;
  message.mti = kFinancialAnswer;
  message.set(4, "500");
  message.set(41, "T1");
  message.set(39, "00");
  Message decoded;
  const auto body = body_of(write(message));
  REQUIRE_FALSE(read(body, decoded));
  CHECK(decoded.text(4) == "000000000500");
  CHECK(decoded.text(41) == "T1      ");
  for (const auto& [number, text] :
       std::vector<std::pair<std::size_t, std::string>>{{4, "1234567890123"},
                                                        {4, "12a"},
                                                        {52, "1234567"},
                                                        {65, "1"},
                                                        {28, "50000000"},
                                                        {48, std::string(1000, 'x')}}) {
    CAPTURE(number);
    auto invalid = message;
    invalid.set(number, text);
    CHECK(write(invalid).empty());
  }
}

TEST_CASE("a description shows no card number, track or PIN") {
  Message message;
  message.mti = kFinancial;
  const std::string card = "4111111111111111";
  message.set(2, card);
  message.set(35, card + "=30011010000");
  message.set(45, "B" + card + "^NAME^3001");
  message.set(48, "card " + card);
  message.set(52, "12345678");
  message.set(102, card);
  message.set(11, "000123");
  const auto text = describe(message);
  CHECK(text.find(card) == std::string::npos);
  CHECK(text.find("12345678") == std::string::npos);
  CHECK(text.find("11=000123") != std::string::npos);
  CHECK(text.rfind("0200 2=<16>", 0) == 0);
}

TEST_CASE("a written message is read back unchanged, and arbitrary bytes are read or rejected") {
  CHECK(rc::check("round trip", [] {
    Message message;
    message.mti = *rc::gen::element(kAuthorization, kFinancial, kReversal, kReversalAdvice, kNetwork);
    std::vector<std::string> texts(kElementCount + 1);
    for (std::size_t number = 2; number <= kElementCount; ++number) {
      const auto& format = element(number);
      if (format.kind == Element::Kind::kNone || *rc::gen::inRange(0, 8) != 0) continue;
      const bool has_fixed_length = format.length_digits == 0;
      const auto size = has_fixed_length ? format.max_length
                                         : *rc::gen::inRange<std::size_t>(
                                               0, std::min<std::size_t>(format.max_length, 60) + 1);
      texts[number] = *rc::gen::container<std::string>(size, rc::gen::inRange('0', ':'));
      if (format.kind == Element::Kind::kSigned) texts[number][0] = 'D';
      message.set(number, texts[number]);
    }
    const auto frame = write(message);
    RC_ASSERT((!frame.empty()));
    const auto read_back = read_frame(frame, 0xffff);
    RC_ASSERT((read_back.state == Frame::State::kComplete));
    RC_ASSERT((read_back.size == frame.size()));
    Message decoded;
    RC_ASSERT((!read(read_back.body, decoded).has_value()));
    for (std::size_t number = 2; number <= kElementCount; ++number) {
      RC_ASSERT((decoded.has(number) == message.has(number)));
      RC_ASSERT((decoded.text(number) == message.text(number)));
    }
    // After a change of one byte and of the length, the bytes are read or rejected; a message that is read
    // can be written again.
    auto changed_body = body_of(frame);
    changed_body[*rc::gen::inRange<std::size_t>(0, changed_body.size())] =
        static_cast<char>(*rc::gen::inRange(0, 256));
    changed_body.resize(*rc::gen::inRange<std::size_t>(0, changed_body.size() + 1));
    Message changed_message;
    if (!read(changed_body, changed_message))
      RC_ASSERT((body_of(write(changed_message)).size() <= changed_body.size() + 8));
  }));
}
