#include "iso8583/codec.hpp"

#include <algorithm>

namespace amberknot::iso8583 {
namespace {

using Kind = Element::Kind;

// Formats of the element table; the last argument is the fixed or maximum length in characters.
constexpr Element fixed_digits(std::uint16_t max_length) {
  return {Kind::kDigits, 0, max_length};
}
constexpr Element two_digit_length(Kind kind, std::uint16_t max_length) {
  return {kind, 2, max_length};
}
constexpr Element three_digit_length(Kind kind, std::uint16_t max_length) {
  return {kind, 3, max_length};
}
constexpr Element fixed_alnum(std::uint16_t max_length) {
  return {Kind::kAlnum, 0, max_length};
}
constexpr Element fixed_text(std::uint16_t max_length) {
  return {Kind::kText, 0, max_length};
}
constexpr Element fixed_bytes(std::uint16_t max_length) {
  return {Kind::kBytes, 0, max_length};
}
constexpr Element fixed_signed(std::uint16_t max_length) {
  return {Kind::kSigned, 0, max_length};
}

constexpr std::array<Element, kElementCount + 1> make_element_table() {
  std::array<Element, kElementCount + 1> table{};
  table[2] = two_digit_length(Kind::kDigits, 19);
  table[3] = fixed_digits(6);
  table[4] = table[5] = table[6] = fixed_digits(12);
  table[7] = fixed_digits(10);
  table[8] = table[9] = table[10] = fixed_digits(8);
  table[11] = table[12] = fixed_digits(6);
  table[13] = table[14] = table[15] = table[16] = table[17] = table[18] = fixed_digits(4);
  table[19] = table[20] = table[21] = table[22] = table[23] = table[24] = fixed_digits(3);
  table[25] = table[26] = fixed_digits(2);
  table[27] = fixed_digits(1);
  table[28] = table[29] = table[30] = table[31] = fixed_signed(9);
  table[32] = table[33] = two_digit_length(Kind::kDigits, 11);
  table[34] = two_digit_length(Kind::kText, 28);
  table[35] = two_digit_length(Kind::kTrack, 37);
  table[36] = three_digit_length(Kind::kTrack, 104);
  table[37] = fixed_alnum(12);
  table[38] = fixed_alnum(6);
  table[39] = fixed_alnum(2);
  table[40] = fixed_alnum(3);
  table[41] = fixed_text(8);
  table[42] = fixed_text(15);
  table[43] = fixed_text(40);
  table[44] = two_digit_length(Kind::kText, 25);
  table[45] = two_digit_length(Kind::kText, 76);
  table[46] = table[47] = table[48] = three_digit_length(Kind::kText, 999);
  table[49] = table[50] = table[51] = fixed_alnum(3);
  table[52] = fixed_bytes(8);
  table[53] = fixed_digits(16);
  table[54] = three_digit_length(Kind::kText, 120);
  for (std::size_t i = 55; i <= 63; ++i) table[i] = three_digit_length(Kind::kText, 999);
  table[64] = fixed_bytes(8);
  table[66] = fixed_digits(1);
  table[67] = fixed_digits(2);
  table[68] = table[69] = table[70] = fixed_digits(3);
  table[71] = table[72] = fixed_digits(4);
  table[73] = fixed_digits(6);
  for (std::size_t i = 74; i <= 81; ++i) table[i] = fixed_digits(10);
  for (std::size_t i = 82; i <= 85; ++i) table[i] = fixed_digits(12);
  for (std::size_t i = 86; i <= 89; ++i) table[i] = fixed_digits(16);
  table[90] = fixed_digits(42);
  table[91] = fixed_alnum(1);
  table[92] = fixed_alnum(2);
  table[93] = fixed_alnum(5);
  table[94] = fixed_alnum(7);
  table[95] = fixed_alnum(42);
  table[96] = fixed_bytes(8);
  table[97] = fixed_signed(17);
  table[98] = fixed_text(25);
  table[99] = table[100] = two_digit_length(Kind::kDigits, 11);
  table[101] = two_digit_length(Kind::kText, 17);
  table[102] = table[103] = two_digit_length(Kind::kText, 28);
  table[104] = three_digit_length(Kind::kText, 100);
  for (std::size_t i = 105; i <= 127; ++i) table[i] = three_digit_length(Kind::kText, 999);
  table[128] = fixed_bytes(8);
  return table;
}
constexpr auto kElementTable = make_element_table();

bool is_digit(char c) {
  return c >= '0' && c <= '9';
}

bool is_allowed(Kind kind, std::string_view text) {
  switch (kind) {
    case Kind::kDigits:
      return std::all_of(text.begin(), text.end(), is_digit);
    case Kind::kAlnum:
      return std::all_of(text.begin(), text.end(), [](char c) {
        return is_digit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == ' ';
      });
    case Kind::kText:
      // Descriptions hold line breaks and letters of other alphabets, so these are allowed. describe()
      // shows only the length of texts of variable length.
      return std::none_of(text.begin(), text.end(), [](char c) { return c == '\0' || c == '\x7f'; });
    case Kind::kTrack:
      return std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '?'; });
    case Kind::kSigned:
      return !text.empty() && (text[0] == 'C' || text[0] == 'D') &&
             std::all_of(text.begin() + 1, text.end(), is_digit);
    case Kind::kBytes:
      return true;
    case Kind::kNone:
      return false;
  }
  return false;
}

bool is_bit_set(std::string_view bitmap, std::size_t number) {
  const auto byte = static_cast<unsigned char>(bitmap[(number - 1) / 8]);
  return (byte >> (7U - (number - 1) % 8U) & 1U) != 0;
}

}  // namespace

const Element& element(std::size_t number) {
  return kElementTable[std::min(number, kElementCount)];
}

bool is_secret(std::size_t number) {
  return number == 2 || number == 34 || number == 35 || number == 36 || number == 45 || number == 52;
}

Frame read_frame(std::string_view bytes, std::size_t max_length) {
  Frame frame;
  if (bytes.size() < 2) return frame;
  const std::size_t length = static_cast<std::size_t>(static_cast<unsigned char>(bytes[0])) << 8U |
                             static_cast<unsigned char>(bytes[1]);
  if (length > max_length) {
    frame.state = Frame::State::kTooLong;
    return frame;
  }
  if (bytes.size() < 2 + length) return frame;
  return {Frame::State::kComplete, bytes.substr(2, length), 2 + length};
}

std::string_view text_of(Fault::Reason reason) {
  switch (reason) {
    case Fault::Reason::kTruncated:
      return "is truncated";
    case Fault::Reason::kUndefined:
      return "is not defined by ISO 8583:1987";
    case Fault::Reason::kTooLong:
      return "is longer than allowed";
    case Fault::Reason::kInvalidCharacter:
      return "contains a character that its format does not allow";
    case Fault::Reason::kTrailingData:
      return "is followed by unexpected data";
  }
  return "";
}

std::optional<Fault> read(std::string_view body, Message& to) {
  using Reason = Fault::Reason;
  to = Message();
  if (body.size() < 4) return Fault{0, Reason::kTruncated};
  if (!is_allowed(Kind::kDigits, body.substr(0, 4))) return Fault{0, Reason::kInvalidCharacter};
  std::uint16_t code = 0;
  for (const char c : body.substr(0, 4))
    code = static_cast<std::uint16_t>(code << 4U | static_cast<unsigned>(c - '0'));
  to.mti = {code};
  // Version 0 is ISO 8583:1987.
  if (code >> 12U != 0) return Fault{0, Reason::kUndefined};
  body.remove_prefix(4);
  if (body.size() < 8) return Fault{1, Reason::kTruncated};
  std::size_t bitmap_size = 8;
  if (is_bit_set(body, 1)) bitmap_size = 16;
  if (body.size() < bitmap_size) return Fault{1, Reason::kTruncated};
  const auto bitmap = body.substr(0, bitmap_size);
  body.remove_prefix(bitmap_size);
  for (std::size_t number = 2; number <= bitmap_size * 8; ++number) {
    if (!is_bit_set(bitmap, number)) continue;
    const auto& format = kElementTable[number];
    // The length of an undefined element is unknown, so that nothing after it can be read.
    if (format.kind == Kind::kNone) return Fault{number, Reason::kUndefined};
    std::size_t length = format.max_length;
    if (format.length_digits > 0) {
      if (body.size() < format.length_digits) return Fault{number, Reason::kTruncated};
      const auto digits = body.substr(0, format.length_digits);
      if (!is_allowed(Kind::kDigits, digits)) return Fault{number, Reason::kInvalidCharacter};
      length = 0;
      for (const char c : digits) length = length * 10 + static_cast<std::size_t>(c - '0');
      if (length > format.max_length) return Fault{number, Reason::kTooLong};
      body.remove_prefix(format.length_digits);
    }
    if (body.size() < length) return Fault{number, Reason::kTruncated};
    const auto text = body.substr(0, length);
    if (!is_allowed(format.kind, text)) return Fault{number, Reason::kInvalidCharacter};
    to.set(number, text);
    body.remove_prefix(length);
  }
  if (!body.empty()) return Fault{kElementCount, Reason::kTrailingData};
  return std::nullopt;
}

std::string write(const Message& message) {
  std::string output(2, '\0');
  for (int shift = 12; shift >= 0; shift -= 4) {
    output += static_cast<char>('0' + (message.mti.code >> static_cast<unsigned>(shift) & 0xfU));
  }
  std::size_t last_element = 64;
  for (std::size_t number = 65; number <= kElementCount; ++number) {
    if (message.has(number)) last_element = kElementCount;
  }
  std::string bitmap(last_element / 8, '\0');
  const auto set_bit = [&bitmap](std::size_t number) {
    bitmap[(number - 1) / 8] = static_cast<char>(static_cast<unsigned char>(bitmap[(number - 1) / 8]) |
                                                 1U << (7U - (number - 1) % 8U));
  };
  if (last_element > 64) set_bit(1);
  std::string elements;
  for (std::size_t number = 2; number <= last_element; ++number) {
    if (!message.has(number)) continue;
    const auto& format = kElementTable[number];
    const auto text = message.text(number);
    if (format.kind == Kind::kNone || text.size() > format.max_length || !is_allowed(format.kind, text))
      return {};
    set_bit(number);
    if (format.length_digits > 0) {
      const auto length = std::to_string(text.size());
      elements.append(format.length_digits - length.size(), '0');
      elements += length;
      elements += text;
    } else if (format.kind == Kind::kDigits) {
      elements.append(format.max_length - text.size(), '0');
      elements += text;
    } else if (format.kind == Kind::kAlnum || format.kind == Kind::kText) {
      elements += text;
      elements.append(format.max_length - text.size(), ' ');
    } else if (text.size() == format.max_length) {
      elements += text;
    } else {
      return {};
    }
  }
  output += bitmap;
  output += elements;
  const std::size_t length = output.size() - 2;
  if (length > 0xffff) return {};
  output[0] = static_cast<char>(length >> 8U);
  output[1] = static_cast<char>(length & 0xffU);
  return output;
}

std::string describe(const Message& message) {
  std::string output;
  for (int shift = 12; shift >= 0; shift -= 4) {
    output += static_cast<char>('0' + (message.mti.code >> static_cast<unsigned>(shift) & 0xfU));
  }
  for (std::size_t number = 2; number <= kElementCount; ++number) {
    if (!message.has(number)) continue;
    const auto text = message.text(number);
    output += ' ';
    output += std::to_string(number);
    output += '=';
    // A terminal may also write a card number into a text of variable length, so only elements of fixed
    // length are shown.
    const auto& format = kElementTable[number];
    const bool is_shown = !is_secret(number) && format.kind != Kind::kBytes && format.length_digits == 0;
    if (is_shown) {
      output += text;
    } else {
      output += '<';
      output += std::to_string(text.size());
      output += '>';
    }
  }
  return output;
}

}  // namespace amberknot::iso8583
