#include "diameter/codec.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace amberknot::diameter {
namespace {

constexpr std::size_t kHeader = 20;
constexpr std::size_t kAvpHeader = 8;
constexpr std::size_t kVendorSize = 4;
constexpr std::size_t kMaxAvps = 256;

constexpr std::uint8_t kRequestBit = 0x80;
constexpr std::uint8_t kProxiableBit = 0x40;
constexpr std::uint8_t kErrorBit = 0x20;
constexpr std::uint8_t kAgainBit = 0x10;

constexpr std::uint8_t kVendorBit = 0x80;
constexpr std::uint8_t kMandatoryBit = 0x40;
constexpr std::uint8_t kReservedBits = 0x1f;

enum class Kind { kBytes, kNumber, kWideNumber, kGroup };
struct Known {
  std::uint32_t code;
  Kind kind;
};
// The AVPs that a sender may mark as mandatory: of the base protocol and of Credit-Control.
constexpr std::array kKnown = {
    Known{1, Kind::kBytes},    Known{25, Kind::kBytes},   Known{33, Kind::kBytes},
    Known{55, Kind::kNumber},  Known{257, Kind::kBytes},  Known{258, Kind::kNumber},
    Known{259, Kind::kNumber}, Known{260, Kind::kGroup},  Known{263, Kind::kBytes},
    Known{264, Kind::kBytes},  Known{265, Kind::kNumber}, Known{266, Kind::kNumber},
    Known{267, Kind::kNumber}, Known{268, Kind::kNumber}, Known{269, Kind::kBytes},
    Known{273, Kind::kNumber}, Known{277, Kind::kNumber}, Known{278, Kind::kNumber},
    Known{279, Kind::kGroup},  Known{280, Kind::kBytes},  Known{281, Kind::kBytes},
    Known{282, Kind::kBytes},  Known{283, Kind::kBytes},  Known{284, Kind::kGroup},
    Known{293, Kind::kBytes},  Known{294, Kind::kBytes},  Known{295, Kind::kNumber},
    Known{296, Kind::kBytes},  Known{297, Kind::kGroup},  Known{298, Kind::kNumber},
    Known{299, Kind::kNumber}, Known{411, Kind::kBytes},  Known{415, Kind::kNumber},
    Known{416, Kind::kNumber}, Known{418, Kind::kNumber}, Known{419, Kind::kWideNumber},
    Known{420, Kind::kNumber}, Known{427, Kind::kNumber}, Known{431, Kind::kGroup},
    Known{432, Kind::kNumber}, Known{436, Kind::kNumber}, Known{437, Kind::kGroup},
    Known{439, Kind::kNumber}, Known{440, Kind::kGroup},  Known{441, Kind::kNumber},
    Known{442, Kind::kBytes},  Known{443, Kind::kGroup},  Known{444, Kind::kBytes},
    Known{446, Kind::kGroup},  Known{448, Kind::kNumber}, Known{450, Kind::kNumber},
    Known{455, Kind::kNumber}, Known{456, Kind::kGroup},  Known{458, Kind::kGroup},
    Known{461, Kind::kBytes},
};

const Known* known(std::uint32_t code) {
  const auto found =
      std::find_if(kKnown.begin(), kKnown.end(), [&](const Known& one) { return one.code == code; });
  return found == kKnown.end() ? nullptr : &*found;
}

std::uint32_t load(std::string_view bytes, std::size_t at, std::size_t size) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < size; ++i) value = (value << 8U) | static_cast<std::uint8_t>(bytes[at + i]);
  return value;
}

void store(std::string& bytes, std::uint32_t value, std::size_t size) {
  for (std::size_t i = size; i-- > 0;) bytes.push_back(static_cast<char>((value >> (8 * i)) & 0xffU));
}

void pad(std::string& bytes) {
  while (bytes.size() % 4 != 0) bytes.push_back('\0');
}

/// An AVP's header with a value of zeros, for one whose own value cannot be shown.
std::string blank(std::uint32_t code, std::uint8_t flags) {
  const auto* one = known(code);
  const std::size_t size = one == nullptr                   ? 0
                           : one->kind == Kind::kNumber     ? 4
                           : one->kind == Kind::kWideNumber ? 8
                                                            : 0;
  std::string avp;
  store(avp, code, 4);
  store(avp, flags & kMandatoryBit, 1);
  store(avp, static_cast<std::uint32_t>(kAvpHeader + size), 3);
  avp.resize(avp.size() + size, '\0');
  return avp;
}

Fault judge_avp(const Avp& avp, int depth);

constexpr int kMaxDepth = 8;  // of groups within groups

/// Reads AVPs up to the first fault. Without `judge` only their lengths count, not what they mean.
Fault read_avps(std::string_view bytes, std::vector<Avp>& avps, bool judge, int depth = 0) {
  std::size_t at = 0;
  while (at < bytes.size()) {
    if (bytes.size() - at < kAvpHeader || avps.size() >= kMaxAvps) return {Result::kInvalidAvpLength, {}};
    Avp avp;
    avp.code = load(bytes, at, 4);
    avp.flags = static_cast<std::uint8_t>(bytes[at + 4]);
    const std::size_t length = load(bytes, at + 5, 3);
    const bool of_vendor = (avp.flags & kVendorBit) != 0;
    const std::size_t head = kAvpHeader + (of_vendor ? kVendorSize : 0);
    if (length < head || length > bytes.size() - at)
      return {Result::kInvalidAvpLength, blank(avp.code, avp.flags)};
    if (of_vendor) avp.vendor = load(bytes, at + kAvpHeader, 4);
    avp.whole = bytes.substr(at, length);
    avp.data = avp.whole.substr(head);
    if (judge) {
      if (auto fault = judge_avp(avp, depth); fault.any()) return fault;
    }
    avps.push_back(avp);
    at += (length + 3) / 4 * 4;
  }
  return {};
}

/// What is wrong with an AVP whose length is right.
Fault judge_avp(const Avp& avp, int depth) {
  const auto* one = (avp.flags & kVendorBit) != 0 ? nullptr : known(avp.code);
  const auto fault = [&](Result result) { return Fault{result, std::string(avp.whole)}; };
  if ((avp.flags & kReservedBits) != 0) return fault(Result::kInvalidAvpBits);
  if (one == nullptr) return (avp.flags & kMandatoryBit) != 0 ? fault(Result::kAvpUnsupported) : Fault{};
  if (one->kind == Kind::kNumber && avp.data.size() != 4) return fault(Result::kInvalidAvpLength);
  if (one->kind == Kind::kWideNumber && avp.data.size() != 8) return fault(Result::kInvalidAvpLength);
  // Failed-AVP shows what was wrong, so its inside is not judged.
  if (one->kind != Kind::kGroup || avp.code == static_cast<std::uint32_t>(Code::kFailedAvp)) return {};
  if (depth >= kMaxDepth) return fault(Result::kInvalidAvpLength);
  std::vector<Avp> inside;
  const auto within = read_avps(avp.data, inside, true, depth + 1);
  return within.any() ? fault(within.result) : Fault{};  // shown with the group round it
}

const Avp* find_in(const std::vector<Avp>& avps, Code code) {
  const auto found = std::find_if(avps.begin(), avps.end(), [&](const Avp& avp) {
    return avp.code == static_cast<std::uint32_t>(code) && avp.vendor == 0;
  });
  return found == avps.end() ? nullptr : &*found;
}

}  // namespace

const Avp* Message::find(Code code) const {
  return find_in(avps, code);
}

std::string_view Message::text(Code code) const {
  const auto* avp = find(code);
  return avp != nullptr ? avp->data : std::string_view();
}

std::optional<std::uint32_t> Message::number(Code code) const {
  const auto* avp = find(code);
  if (avp == nullptr || avp->data.size() != 4) return std::nullopt;
  return load(avp->data, 0, 4);
}

std::optional<std::string_view> Message::parameter(Parameter type) const {
  for (const auto& avp : avps) {
    if (avp.code != static_cast<std::uint32_t>(Code::kServiceParameterInfo)) continue;
    const auto group = read_group(avp.data);
    if (!group) continue;
    const auto* kind = find_in(*group, Code::kServiceParameterType);
    const auto* value = find_in(*group, Code::kServiceParameterValue);
    if (kind != nullptr && value != nullptr && load(kind->data, 0, 4) == static_cast<std::uint32_t>(type)) {
      return value->data;
    }
  }
  return std::nullopt;
}

std::optional<std::vector<Avp>> read_group(std::string_view data) {
  std::vector<Avp> avps;
  if (read_avps(data, avps, false).any()) return std::nullopt;
  return avps;
}

Read read_message(std::string_view bytes, std::size_t most) {
  Read read;
  if (bytes.size() < 4) return read;
  const std::size_t length = load(bytes, 1, 3);
  if (length > most) {
    read.state = Read::State::kBad;
    return read;
  }
  const bool odd = length < kHeader || length % 4 != 0;
  if (bytes.size() < std::max(kHeader, odd ? 0 : length)) return read;
  read.state = Read::State::kWhole;
  read.size = odd ? bytes.size() : length;
  auto& message = read.message;
  const auto flags = static_cast<std::uint8_t>(bytes[4]);
  message.request = (flags & kRequestBit) != 0;
  message.proxiable = (flags & kProxiableBit) != 0;
  message.error = (flags & kErrorBit) != 0;
  message.sent_again = (flags & kAgainBit) != 0;
  message.command = load(bytes, 5, 3);
  message.application = load(bytes, 8, 4);
  message.hop_by_hop = load(bytes, 12, 4);
  message.end_to_end = load(bytes, 16, 4);
  if (odd) {
    read.fault = {Result::kInvalidMessageLength, {}};
  } else if (bytes[0] != 1) {
    read.fault = {Result::kUnsupportedVersion, {}};
  } else if (message.request && message.error) {
    read.fault = {Result::kInvalidHeaderBits, {}};
  } else {
    read.fault = read_avps(bytes.substr(kHeader, length - kHeader), message.avps, true);
  }
  return read;
}

std::string missing(Code code) {
  return blank(static_cast<std::uint32_t>(code), kMandatoryBit);
}

Writer Writer::request(Command command, std::uint32_t application, std::uint32_t hop_by_hop,
                       std::uint32_t end_to_end) {
  Writer writer;
  store(writer.bytes_, 1U << 24U, 4);
  const bool of_session = application != kBaseApplication;
  store(writer.bytes_, of_session ? kRequestBit | kProxiableBit : kRequestBit, 1);
  store(writer.bytes_, static_cast<std::uint32_t>(command), 3);
  store(writer.bytes_, application, 4);
  store(writer.bytes_, hop_by_hop, 4);
  store(writer.bytes_, end_to_end, 4);
  return writer;
}

Writer Writer::answer(const Message& to, Result result) {
  Writer writer;
  const auto code = static_cast<std::uint32_t>(result);
  const bool protocol_error = code / 1000 == 3;
  store(writer.bytes_, 1U << 24U, 4);
  store(writer.bytes_, (to.proxiable ? kProxiableBit : 0U) | (protocol_error ? kErrorBit : 0U), 1);
  store(writer.bytes_, to.command, 3);
  store(writer.bytes_, to.application, 4);
  store(writer.bytes_, to.hop_by_hop, 4);
  store(writer.bytes_, to.end_to_end, 4);
  if (const auto session = to.text(Code::kSessionId); !session.empty()) writer.add(Code::kSessionId, session);
  writer.add(Code::kResultCode, code);
  for (const auto& avp : to.avps) {
    if (avp.code == static_cast<std::uint32_t>(Code::kProxyInfo)) writer.add_raw(avp.whole);
  }
  return writer;
}

Writer& Writer::add(Code code, std::string_view data) {
  // Product-Name and Error-Message must not be marked as mandatory.
  const bool optional = code == Code::kProductName || code == Code::kErrorMessage;
  store(bytes_, static_cast<std::uint32_t>(code), 4);
  store(bytes_, optional ? 0U : kMandatoryBit, 1);
  store(bytes_, static_cast<std::uint32_t>(kAvpHeader + data.size()), 3);
  bytes_ += data;
  pad(bytes_);
  return *this;
}

Writer& Writer::add(Code code, std::uint32_t value) {
  std::string data;
  store(data, value, 4);
  return add(code, data);
}

Writer& Writer::add_address(Code code, std::string_view dotted) {
  std::string data;
  store(data, 1, 2);  // IPv4
  while (!dotted.empty()) {
    const auto part = dotted.substr(0, dotted.find('.'));
    unsigned value = 0;
    std::from_chars(part.data(), part.data() + part.size(), value);
    store(data, value, 1);
    dotted.remove_prefix(std::min(part.size() + 1, dotted.size()));
  }
  return add(code, data);
}

Writer& Writer::add_group(Code code, const std::function<void(Writer&)>& fill) {
  Writer inner;
  fill(inner);
  return add(code, inner.bytes_);
}

Writer& Writer::add_parameter(Parameter type, std::string_view value) {
  return add_group(Code::kServiceParameterInfo, [&](Writer& group) {
    group.add(Code::kServiceParameterType, static_cast<std::uint32_t>(type));
    group.add(Code::kServiceParameterValue, value);
  });
}

Writer& Writer::add_raw(std::string_view whole) {
  bytes_ += whole;
  pad(bytes_);
  return *this;
}

std::string Writer::finish() {
  std::string length;
  store(length, static_cast<std::uint32_t>(bytes_.size()), 3);
  std::copy(length.begin(), length.end(), bytes_.begin() + 1);
  return std::move(bytes_);
}

}  // namespace amberknot::diameter
