#include "iso8583/codec.hpp"

#include <algorithm>

namespace amberknot::iso8583 {
namespace {

using Kind = Element::Kind;

constexpr Element n(std::uint16_t most) {
  return {Kind::kDigits, 0, most};
}
constexpr Element ll(Kind kind, std::uint16_t most) {
  return {kind, 2, most};
}
constexpr Element lll(Kind kind, std::uint16_t most) {
  return {kind, 3, most};
}
constexpr Element an(std::uint16_t most) {
  return {Kind::kAlnum, 0, most};
}
constexpr Element ans(std::uint16_t most) {
  return {Kind::kText, 0, most};
}
constexpr Element bytes(std::uint16_t most) {
  return {Kind::kBytes, 0, most};
}
constexpr Element sign(std::uint16_t most) {
  return {Kind::kSigned, 0, most};
}

constexpr std::array<Element, kElements + 1> make_table() {
  std::array<Element, kElements + 1> t{};
  t[2] = ll(Kind::kDigits, 19);
  t[3] = n(6);
  t[4] = t[5] = t[6] = n(12);
  t[7] = n(10);
  t[8] = t[9] = t[10] = n(8);
  t[11] = t[12] = n(6);
  t[13] = t[14] = t[15] = t[16] = t[17] = t[18] = n(4);
  t[19] = t[20] = t[21] = t[22] = t[23] = t[24] = n(3);
  t[25] = t[26] = n(2);
  t[27] = n(1);
  t[28] = t[29] = t[30] = t[31] = sign(9);
  t[32] = t[33] = ll(Kind::kDigits, 11);
  t[34] = ll(Kind::kText, 28);
  t[35] = ll(Kind::kTrack, 37);
  t[36] = lll(Kind::kTrack, 104);
  t[37] = an(12);
  t[38] = an(6);
  t[39] = an(2);
  t[40] = an(3);
  t[41] = ans(8);
  t[42] = ans(15);
  t[43] = ans(40);
  t[44] = ll(Kind::kText, 25);
  t[45] = ll(Kind::kText, 76);
  t[46] = t[47] = t[48] = lll(Kind::kText, 999);
  t[49] = t[50] = t[51] = an(3);
  t[52] = bytes(8);
  t[53] = n(16);
  t[54] = lll(Kind::kText, 120);
  for (std::size_t i = 55; i <= 63; ++i) t[i] = lll(Kind::kText, 999);
  t[64] = bytes(8);
  t[66] = n(1);
  t[67] = n(2);
  t[68] = t[69] = t[70] = n(3);
  t[71] = t[72] = n(4);
  t[73] = n(6);
  for (std::size_t i = 74; i <= 81; ++i) t[i] = n(10);
  for (std::size_t i = 82; i <= 85; ++i) t[i] = n(12);
  for (std::size_t i = 86; i <= 89; ++i) t[i] = n(16);
  t[90] = n(42);
  t[91] = an(1);
  t[92] = an(2);
  t[93] = an(5);
  t[94] = an(7);
  t[95] = an(42);
  t[96] = bytes(8);
  t[97] = sign(17);
  t[98] = ans(25);
  t[99] = t[100] = ll(Kind::kDigits, 11);
  t[101] = ll(Kind::kText, 17);
  t[102] = t[103] = ll(Kind::kText, 28);
  t[104] = lll(Kind::kText, 100);
  for (std::size_t i = 105; i <= 127; ++i) t[i] = lll(Kind::kText, 999);
  t[128] = bytes(8);
  return t;
}
constexpr auto kTable = make_table();

bool is_digit(char c) {
  return c >= '0' && c <= '9';
}

bool takes(Kind kind, std::string_view text) {
  switch (kind) {
    case Kind::kDigits:
      return std::all_of(text.begin(), text.end(), is_digit);
    case Kind::kAlnum:
      return std::all_of(text.begin(), text.end(), [](char c) {
        return is_digit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == ' ';
      });
    case Kind::kText:
      // Descriptions hold line ends and letters of other alphabets; what is read is not shown as it is.
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

bool bit(std::string_view map, std::size_t number) {
  const auto byte = static_cast<unsigned char>(map[(number - 1) / 8]);
  return (byte >> (7U - (number - 1) % 8U) & 1U) != 0;
}

}  // namespace

const Element& element(std::size_t number) {
  return kTable[std::min(number, kElements)];
}

bool is_secret(std::size_t number) {
  return number == 2 || number == 34 || number == 35 || number == 36 || number == 45 || number == 52;
}

Frame read_frame(std::string_view bytes, std::size_t most) {
  Frame frame;
  if (bytes.size() < 2) return frame;
  const std::size_t length = static_cast<std::size_t>(static_cast<unsigned char>(bytes[0])) << 8U |
                             static_cast<unsigned char>(bytes[1]);
  if (length > most) {
    frame.state = Frame::State::kBad;
    return frame;
  }
  if (bytes.size() < 2 + length) return frame;
  return {Frame::State::kWhole, bytes.substr(2, length), 2 + length};
}

std::string_view text_of(Fault::What what) {
  switch (what) {
    case Fault::What::kCutShort:
      return "is cut short";
    case Fault::What::kNotOfTheStandard:
      return "is not of this standard";
    case Fault::What::kTooLong:
      return "is too long";
    case Fault::What::kBadCharacter:
      return "holds what it may not";
    case Fault::What::kRest:
      return "something is left behind the last element";
  }
  return "";
}

std::optional<Fault> read(std::string_view body, Message& to) {
  using What = Fault::What;
  to = Message();
  if (body.size() < 4) return Fault{0, What::kCutShort};
  if (!takes(Kind::kDigits, body.substr(0, 4))) return Fault{0, What::kBadCharacter};
  std::uint16_t code = 0;
  for (const char c : body.substr(0, 4))
    code = static_cast<std::uint16_t>(code << 4U | static_cast<unsigned>(c - '0'));
  to.mti = {code};
  // Version 0 is the standard of 1987.
  if (code >> 12U != 0) return Fault{0, What::kNotOfTheStandard};
  body.remove_prefix(4);
  if (body.size() < 8) return Fault{1, What::kCutShort};
  std::size_t maps = 8;
  if (bit(body, 1)) maps = 16;
  if (body.size() < maps) return Fault{1, What::kCutShort};
  const auto map = body.substr(0, maps);
  body.remove_prefix(maps);
  for (std::size_t number = 2; number <= maps * 8; ++number) {
    if (!bit(map, number)) continue;
    const auto& spec = kTable[number];
    // What is not known has no length: nothing behind it can be read.
    if (spec.kind == Kind::kNone) return Fault{number, What::kNotOfTheStandard};
    std::size_t length = spec.most;
    if (spec.prefix > 0) {
      if (body.size() < spec.prefix) return Fault{number, What::kCutShort};
      const auto digits = body.substr(0, spec.prefix);
      if (!takes(Kind::kDigits, digits)) return Fault{number, What::kBadCharacter};
      length = 0;
      for (const char c : digits) length = length * 10 + static_cast<std::size_t>(c - '0');
      if (length > spec.most) return Fault{number, What::kTooLong};
      body.remove_prefix(spec.prefix);
    }
    if (body.size() < length) return Fault{number, What::kCutShort};
    const auto text = body.substr(0, length);
    if (!takes(spec.kind, text)) return Fault{number, What::kBadCharacter};
    to.set(number, text);
    body.remove_prefix(length);
  }
  if (!body.empty()) return Fault{kElements, What::kRest};
  return std::nullopt;
}

std::string write(const Message& message) {
  std::string out(2, '\0');
  for (int shift = 12; shift >= 0; shift -= 4) {
    out += static_cast<char>('0' + (message.mti.code >> static_cast<unsigned>(shift) & 0xfU));
  }
  std::size_t last = 64;
  for (std::size_t number = 65; number <= kElements; ++number) {
    if (message.has(number)) last = kElements;
  }
  std::string map(last / 8, '\0');
  const auto mark = [&map](std::size_t number) {
    map[(number - 1) / 8] =
        static_cast<char>(static_cast<unsigned char>(map[(number - 1) / 8]) | 1U << (7U - (number - 1) % 8U));
  };
  if (last > 64) mark(1);
  std::string elements;
  for (std::size_t number = 2; number <= last; ++number) {
    if (!message.has(number)) continue;
    const auto& spec = kTable[number];
    const auto text = message.text(number);
    if (spec.kind == Kind::kNone || text.size() > spec.most || !takes(spec.kind, text)) return {};
    mark(number);
    if (spec.prefix > 0) {
      const auto length = std::to_string(text.size());
      elements.append(spec.prefix - length.size(), '0');
      elements += length;
      elements += text;
    } else if (spec.kind == Kind::kDigits) {
      elements.append(spec.most - text.size(), '0');
      elements += text;
    } else if (spec.kind == Kind::kAlnum || spec.kind == Kind::kText) {
      elements += text;
      elements.append(spec.most - text.size(), ' ');
    } else if (text.size() == spec.most) {
      elements += text;
    } else {
      return {};
    }
  }
  out += map;
  out += elements;
  const std::size_t length = out.size() - 2;
  if (length > 0xffff) return {};
  out[0] = static_cast<char>(length >> 8U);
  out[1] = static_cast<char>(length & 0xffU);
  return out;
}

std::string describe(const Message& message) {
  std::string out;
  for (int shift = 12; shift >= 0; shift -= 4) {
    out += static_cast<char>('0' + (message.mti.code >> static_cast<unsigned>(shift) & 0xfU));
  }
  for (std::size_t number = 2; number <= kElements; ++number) {
    if (!message.has(number)) continue;
    const auto text = message.text(number);
    out += ' ';
    out += std::to_string(number);
    out += '=';
    // What a till writes into a free text may be a card number too: only short fields of the table's are
    // shown.
    const auto& spec = kTable[number];
    const bool shown = !is_secret(number) && spec.kind != Kind::kBytes && spec.prefix == 0;
    if (shown) {
      out += text;
    } else {
      out += '<';
      out += std::to_string(text.size());
      out += '>';
    }
  }
  return out;
}

}  // namespace amberknot::iso8583
