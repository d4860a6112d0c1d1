// ISO 8583: tables of messages, and properties of reading and writing.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "iso8583/codec.hpp"

using namespace amberknot::iso8583;

namespace {

std::string body_of(const std::string& frame) {
  return frame.substr(2);
}

/// Bytes written as hex between texts: "0200" "{7000...}".
std::string bytes(const std::string& hex) {
  std::string made;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
    made += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16));
  return made;
}

}  // namespace

TEST_CASE("a request of a till is read as the standard writes it") {
  // Elements 3, 4, 11, 41 and 102: bits 3, 4, 11, 41 of the first map, 102 of the second.
  const std::string body = "0200" + bytes("b020000000800000") + bytes("0000000004000000") + "310000" +
                           "000000050000" + "000123" + "TERM0001" + "0677aabb";
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

TEST_CASE("message types") {
  CHECK(kFinancial.answer() == kFinancialAnswer);
  CHECK(Mti{0x0201}.answer() == kFinancialAnswer);
  CHECK(Mti{0x0421}.answer() == kReversalAdviceAnswer);
  CHECK(Mti{0x0421}.is_repeat());
  CHECK(Mti{0x0421}.is_request());
  CHECK_FALSE(kNetworkAnswer.is_request());
  CHECK(kReversalAdvice.message_class() == 4);
  CHECK(kNetwork.answer() == kNetworkAnswer);
}

TEST_CASE("a message with a fault is refused, and the element named") {
  using What = Fault::What;
  struct Case {
    const char* what;
    std::string body;
    std::size_t element;
    What fault;
  };
  const std::string none = bytes("0000000000000000");
  const std::vector<Case> cases = {
      {"nothing", "", 0, What::kCutShort},
      {"half a type", "02", 0, What::kCutShort},
      {"letters in the type", "02A0" + none, 0, What::kBadCharacter},
      {"another standard", "1200" + none, 0, What::kNotOfTheStandard},
      {"no bitmap", "0200", 1, What::kCutShort},
      {"half a second bitmap", "0200" + bytes("8000000000000000") + "abc", 1, What::kCutShort},
      {"an element that is none", "0200" + bytes("8000000000000000") + bytes("8000000000000000"), 65,
       What::kNotOfTheStandard},
      {"digits that are none", "0200" + bytes("2000000000000000") + "31000x", 3, What::kBadCharacter},
      {"a fixed one cut short", "0200" + bytes("2000000000000000") + "3100", 3, What::kCutShort},
      {"a length that is none", "0200" + bytes("0000000100000000") + "x1" + "1", 32, What::kBadCharacter},
      {"a length over the most", "0200" + bytes("0000000100000000") + "12" + "123456789012", 32,
       What::kTooLong},
      {"a length over the rest", "0200" + bytes("0000000100000000") + "11" + "1234", 32, What::kCutShort},
      {"no length", "0200" + bytes("0000000100000000") + "1", 32, What::kCutShort},
      {"a zero byte in a text", "0200" + bytes("0000000000800000") + std::string("TERM\0001xx", 8), 41,
       What::kBadCharacter},
      {"something behind", "0200" + bytes("2000000000000000") + "310000!", 128, What::kRest},
  };
  for (const auto& one : cases) {
    CAPTURE(one.what);
    Message message;
    const auto fault = read(one.body, message);
    REQUIRE(fault);
    CHECK(fault->element == one.element);
    CHECK(fault->what == one.fault);
    CHECK_FALSE(text_of(fault->what).empty());
  }
  // What was read before the fault is there: the sender can be told which request it was.
  Message message;
  const std::string cut = "0200" + bytes("0020000000800000") + "000123" + "TERM";
  REQUIRE(read(cut, message));
  CHECK(message.text(11) == "000123");
}

TEST_CASE("frames are cut out of whatever arrives") {
  using State = Frame::State;
  const std::string frame = std::string("\x00\x03", 2) + "abc";
  for (std::size_t i = 0; i < frame.size(); ++i)
    CHECK(read_frame(frame.substr(0, i), 100).state == State::kMore);
  const std::string more = frame + "rest";
  const auto whole = read_frame(more, 100);
  CHECK(whole.state == State::kWhole);
  CHECK(whole.body == "abc");
  CHECK(whole.size == 5);
  CHECK(read_frame(std::string("\x00\x00", 2), 100).state == State::kWhole);
  CHECK(read_frame(std::string("\x00\x65", 2), 100).state == State::kBad);
  CHECK(read_frame("GET / HTTP/1.1", 16 * 1024).state == State::kBad);
}

TEST_CASE("elements are filled up, and what they cannot hold is not written") {
  Message message;
  message.mti = kFinancialAnswer;
  message.set(4, "500");
  message.set(41, "T1");
  message.set(39, "00");
  Message back;
  const auto body = body_of(write(message));
  REQUIRE_FALSE(read(body, back));
  CHECK(back.text(4) == "000000000500");
  CHECK(back.text(41) == "T1      ");
  for (const auto& [number, text] :
       std::vector<std::pair<std::size_t, std::string>>{{4, "1234567890123"},
                                                        {4, "12a"},
                                                        {52, "1234567"},
                                                        {65, "1"},
                                                        {28, "50000000"},
                                                        {48, std::string(1000, 'x')}}) {
    CAPTURE(number);
    auto bad = message;
    bad.set(number, text);
    CHECK(write(bad).empty());
  }
}

TEST_CASE("no card number, track or PIN is ever described") {
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

TEST_CASE("what is written is read back the same, and no bytes upset the reader") {
  CHECK(rc::check("round trip", [] {
    Message message;
    message.mti = *rc::gen::element(kAuthorization, kFinancial, kReversal, kReversalAdvice, kNetwork);
    std::vector<std::string> texts(kElements + 1);
    for (std::size_t number = 2; number <= kElements; ++number) {
      const auto& spec = element(number);
      if (spec.kind == Element::Kind::kNone || *rc::gen::inRange(0, 8) != 0) continue;
      const bool fixed = spec.prefix == 0;
      const auto size =
          fixed ? spec.most : *rc::gen::inRange<std::size_t>(0, std::min<std::size_t>(spec.most, 60) + 1);
      texts[number] = *rc::gen::container<std::string>(size, rc::gen::inRange('0', ':'));
      if (spec.kind == Element::Kind::kSigned) texts[number][0] = 'D';
      message.set(number, texts[number]);
    }
    const auto frame = write(message);
    RC_ASSERT((!frame.empty()));
    const auto read_back = read_frame(frame, 0xffff);
    RC_ASSERT((read_back.state == Frame::State::kWhole));
    RC_ASSERT((read_back.size == frame.size()));
    Message back;
    RC_ASSERT((!read(read_back.body, back).has_value()));
    for (std::size_t number = 2; number <= kElements; ++number) {
      RC_ASSERT((back.has(number) == message.has(number)));
      RC_ASSERT((back.text(number) == message.text(number)));
    }
    // Any byte changed, any length: read, or a fault; and what is read is written the same.
    auto other = body_of(frame);
    other[*rc::gen::inRange<std::size_t>(0, other.size())] = static_cast<char>(*rc::gen::inRange(0, 256));
    other.resize(*rc::gen::inRange<std::size_t>(0, other.size() + 1));
    Message odd;
    if (!read(other, odd)) RC_ASSERT((body_of(write(odd)).size() <= other.size() + 8));
  }));
}
