// Codec for ISO 8583:1987 messages as older payment terminals send them: a length of two bytes in network
// byte order, the message type in four digits, bitmaps of eight bytes each and the data elements in ASCII.
// All functions are pure; the texts of a parsed message are views of the buffer.
#pragma once

#include <array>
#include <bitset>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace amberknot::iso8583 {

/// The highest number of a data element.
inline constexpr std::size_t kElementCount = 128;

/// The format of a data element (ISO 8583:1987, table 2).
struct Element {
  enum class Kind : std::uint8_t {
    kDigits,  ///< n: digits
    kAlnum,   ///< a, an: letters, digits and spaces
    kText,    ///< ans: any character but NUL and DEL
    kTrack,   ///< z: track data of a magnetic stripe
    kSigned,  ///< x + n: C or D, then digits
    kBytes,   ///< b: binary
    kNone,    ///< not defined by the standard, or a bitmap
  };
  Kind kind = Kind::kNone;
  std::uint8_t length_digits = 0;  ///< digits of the length field; zero if the length is fixed
  std::uint16_t max_length = 0;    ///< maximum length in characters, or the fixed length
};
/// Returns the format of an element; a number above kElementCount gives that of the last element.
const Element& element(std::size_t number);

/// Returns true for elements with confidential data, which must not appear in logs, counters or other output:
/// card number (2), extended account number (34), tracks (35, 36, 45) and PIN block (52).
bool is_secret(std::size_t number);

/// The message type indicator: one digit each for version (0 for 1987), class, function and origin.
struct Mti {
  std::uint16_t code = 0;  ///< one digit per four bits, for example 0x0200

  [[nodiscard]] unsigned message_class() const { return code >> 8U & 0xfU; }
  [[nodiscard]] unsigned function() const { return code >> 4U & 0xfU; }
  /// Returns true for xxx1, a repeated message.
  [[nodiscard]] bool is_repeat() const { return (code & 1U) != 0; }
  [[nodiscard]] bool is_request() const { return function() % 2 == 0; }
  /// Returns the type of the answer to this request; it is the same for a repeated request.
  [[nodiscard]] Mti answer() const { return {static_cast<std::uint16_t>((code & 0xfffeU) + 0x10U)}; }
  friend bool operator==(Mti, Mti) = default;
};
inline constexpr Mti kAuthorization{0x0100}, kAuthorizationAnswer{0x0110}, kFinancial{0x0200},
    kFinancialAnswer{0x0210}, kReversal{0x0400}, kReversalAnswer{0x0410}, kReversalAdvice{0x0420},
    kReversalAdviceAnswer{0x0430}, kNetwork{0x0800}, kNetworkAnswer{0x0810};

/// A message: its type and the texts of its elements. The texts are views, whose bytes the caller keeps
/// alive.
class Message {
 public:
  Mti mti;

  [[nodiscard]] bool has(std::size_t number) const { return present_.test(number); }
  /// Returns the text of an element, empty if it is absent.
  [[nodiscard]] std::string_view text(std::size_t number) const {
    return has(number) ? texts_[number] : std::string_view();
  }
  void set(std::size_t number, std::string_view text) {
    texts_[number] = text;
    present_.set(number);
  }
  void clear(std::size_t number) { present_.reset(number); }

 private:
  std::bitset<kElementCount + 1> present_;
  std::array<std::string_view, kElementCount + 1> texts_{};
};

/// The result of read_frame().
struct Frame {
  enum class State : std::uint8_t { kIncomplete, kComplete, kTooLong };
  State state = State::kIncomplete;
  std::string_view body;  ///< set if kComplete; an empty body is a keep-alive, which is not answered
  std::size_t size = 0;   ///< bytes of the whole frame, with its length field
};
/// Reads the first frame of a stream. The state is kIncomplete if the frame is incomplete, and kTooLong if
/// its body is longer than `max_length` bytes: then the stream cannot be read any further.
Frame read_frame(std::string_view bytes, std::size_t max_length);

/// An error in a message.
struct Fault {
  std::size_t element = 0;  ///< zero for the message type, one for a bitmap
  enum class Reason : std::uint8_t {
    kTruncated,
    kUndefined,
    kTooLong,
    kInvalidCharacter,
    kTrailingData
  } reason{};
};
/// Returns a description of the error, to be put after the name of the element.
std::string_view text_of(Fault::Reason reason);

/// Parses a message and returns nullopt if it is valid. If there is a fault, `to` holds the elements before
/// it, so that the sender can be answered.
std::optional<Fault> read(std::string_view body, Message& to);

/// Returns the message as a frame with its length field. Elements of fixed length are padded: digits with
/// leading zeros, texts with trailing spaces. Returns an empty string if an element does not allow its text,
/// which is an error of the caller, or if the message is too long for the length field.
std::string write(const Message& message);

/// Describes a message for the log: its type and, for each element, the value or only its length. The values
/// of elements that are or may be confidential are not shown.
std::string describe(const Message& message);

}  // namespace amberknot::iso8583
