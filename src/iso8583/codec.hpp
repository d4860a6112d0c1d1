// ISO 8583:1987 as old tills speak it: a length of two bytes, high one first, then the message type in four
// digits, bitmaps of eight bytes each and the data elements in ASCII. Pure functions over a buffer; texts are
// views into it.
#pragma once

#include <array>
#include <bitset>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace amberknot::iso8583 {

inline constexpr std::size_t kElements = 128;

/// How a data element is written (ISO 8583:1987, table 2).
struct Element {
  enum class Kind : std::uint8_t {
    kDigits,  ///< n
    kAlnum,   ///< a, an: letters, digits and blanks
    kText,    ///< ans: printable, blanks included
    kTrack,   ///< z: digits and separators of a magnetic stripe
    kSigned,  ///< x + n: C or D, then digits
    kBytes,   ///< b
    kNone,    ///< not of this standard, or a bitmap
  };
  Kind kind = Kind::kNone;
  std::uint8_t prefix = 0;  ///< digits of the length in front; zero: fixed
  std::uint16_t most = 0;   ///< characters; for a fixed one just so many
};
const Element& element(std::size_t number);

/// Elements that hold a card number or a track, and are never logged, counted or shown: 2, 35, 36, 45; 34 is
/// an extended account number; 52 a PIN block.
bool is_secret(std::size_t number);

/// The message type: version 0 (1987), class, function, origin.
struct Mti {
  std::uint16_t code = 0;  ///< as 0x0200

  [[nodiscard]] unsigned message_class() const { return code >> 8U & 0xfU; }
  [[nodiscard]] unsigned function() const { return code >> 4U & 0xfU; }
  /// xxx1: the same message sent again.
  [[nodiscard]] bool is_repeat() const { return (code & 1U) != 0; }
  [[nodiscard]] bool is_request() const { return function() % 2 == 0; }
  /// Of the answer to this request, a repeat's too.
  [[nodiscard]] Mti answer() const { return {static_cast<std::uint16_t>((code & 0xfffeU) + 0x10U)}; }
  friend bool operator==(Mti, Mti) = default;
};
inline constexpr Mti kAuthorization{0x0100}, kAuthorizationAnswer{0x0110}, kFinancial{0x0200},
    kFinancialAnswer{0x0210}, kReversal{0x0400}, kReversalAnswer{0x0410}, kReversalAdvice{0x0420},
    kReversalAdviceAnswer{0x0430}, kNetwork{0x0800}, kNetworkAnswer{0x0810};

class Message {
 public:
  Mti mti;

  [[nodiscard]] bool has(std::size_t number) const { return present_.test(number); }
  [[nodiscard]] std::string_view text(std::size_t number) const {
    return has(number) ? texts_[number] : std::string_view();
  }
  void set(std::size_t number, std::string_view text) {
    texts_[number] = text;
    present_.set(number);
  }
  void clear(std::size_t number) { present_.reset(number); }

 private:
  std::bitset<kElements + 1> present_;
  std::array<std::string_view, kElements + 1> texts_{};
};

/// A frame out of a stream of bytes.
struct Frame {
  enum class State : std::uint8_t { kMore, kWhole, kBad };
  State state = State::kMore;
  std::string_view body;  ///< kWhole; empty: a sign of life, which wants no answer
  std::size_t size = 0;   ///< of the whole frame
};
/// kBad: longer than `most`, of which nothing more can be believed.
Frame read_frame(std::string_view bytes, std::size_t most);

/// What is wrong with a message.
struct Fault {
  std::size_t element = 0;  ///< zero: the type; one: a bitmap
  enum class What : std::uint8_t { kCutShort, kNotOfTheStandard, kTooLong, kBadCharacter, kRest } what{};
};
std::string_view text_of(Fault::What what);

/// Empty: `to` holds the message. With a fault it holds what was read before it, so that the sender may be
/// told.
std::optional<Fault> read(std::string_view body, Message& to);

/// The whole frame. Fixed elements are filled up: digits with zeros in front, texts with blanks behind.
/// Empty: an element cannot hold what was set (a fault of the caller), or the message would be longer than a
/// length can say.
std::string write(const Message& message);

/// The message for a log: its type and elements with their lengths, and the values of those that are no
/// secret.
std::string describe(const Message& message);

}  // namespace amberknot::iso8583
