#include "diameter/codec.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace amberknot::diameter {
namespace {

constexpr std::size_t kHeaderSize = 20;
constexpr std::size_t kAvpHeaderSize = 8;
constexpr std::size_t kVendorIdSize = 4;
constexpr std::size_t kMaxAvps = 256;

constexpr std::uint8_t kRequestBit = 0x80;
constexpr std::uint8_t kProxiableBit = 0x40;
constexpr std::uint8_t kErrorBit = 0x20;
constexpr std::uint8_t kRetransmittedBit = 0x10;

constexpr std::uint8_t kMandatoryBit = 0x40;
constexpr std::uint8_t kReservedBits = 0x1f;

enum class AvpType { kOctetString, kUnsigned32, kUnsigned64, kGrouped };
struct KnownAvp {
  std::uint32_t code;
  AvpType type;
};
// AVPs of the base protocol and of Credit-Control. The M bit on any other AVP is rejected with
// DIAMETER_AVP_UNSUPPORTED.
constexpr std::array kKnownAvps = {
    KnownAvp{1, AvpType::kOctetString},   KnownAvp{25, AvpType::kOctetString},
    KnownAvp{33, AvpType::kOctetString},  KnownAvp{55, AvpType::kUnsigned32},
    KnownAvp{257, AvpType::kOctetString}, KnownAvp{258, AvpType::kUnsigned32},
    KnownAvp{259, AvpType::kUnsigned32},  KnownAvp{260, AvpType::kGrouped},
    KnownAvp{263, AvpType::kOctetString}, KnownAvp{264, AvpType::kOctetString},
    KnownAvp{265, AvpType::kUnsigned32},  KnownAvp{266, AvpType::kUnsigned32},
    KnownAvp{267, AvpType::kUnsigned32},  KnownAvp{268, AvpType::kUnsigned32},
    KnownAvp{269, AvpType::kOctetString}, KnownAvp{273, AvpType::kUnsigned32},
    KnownAvp{277, AvpType::kUnsigned32},  KnownAvp{278, AvpType::kUnsigned32},
    KnownAvp{279, AvpType::kGrouped},     KnownAvp{280, AvpType::kOctetString},
    KnownAvp{281, AvpType::kOctetString}, KnownAvp{282, AvpType::kOctetString},
    KnownAvp{283, AvpType::kOctetString}, KnownAvp{284, AvpType::kGrouped},
    KnownAvp{293, AvpType::kOctetString}, KnownAvp{294, AvpType::kOctetString},
    KnownAvp{295, AvpType::kUnsigned32},  KnownAvp{296, AvpType::kOctetString},
    KnownAvp{297, AvpType::kGrouped},     KnownAvp{298, AvpType::kUnsigned32},
    KnownAvp{299, AvpType::kUnsigned32},  KnownAvp{411, AvpType::kOctetString},
    KnownAvp{415, AvpType::kUnsigned32},  KnownAvp{416, AvpType::kUnsigned32},
    KnownAvp{418, AvpType::kUnsigned32},  KnownAvp{419, AvpType::kUnsigned64},
    KnownAvp{420, AvpType::kUnsigned32},  KnownAvp{427, AvpType::kUnsigned32},
    KnownAvp{431, AvpType::kGrouped},     KnownAvp{432, AvpType::kUnsigned32},
    KnownAvp{436, AvpType::kUnsigned32},  KnownAvp{437, AvpType::kGrouped},
    KnownAvp{439, AvpType::kUnsigned32},  KnownAvp{440, AvpType::kGrouped},
    KnownAvp{441, AvpType::kUnsigned32},  KnownAvp{442, AvpType::kOctetString},
    KnownAvp{443, AvpType::kGrouped},     KnownAvp{444, AvpType::kOctetString},
    KnownAvp{446, AvpType::kGrouped},     KnownAvp{448, AvpType::kUnsigned32},
    KnownAvp{450, AvpType::kUnsigned32},  KnownAvp{455, AvpType::kUnsigned32},
    KnownAvp{456, AvpType::kGrouped},     KnownAvp{458, AvpType::kGrouped},
    KnownAvp{461, AvpType::kOctetString},
};

const KnownAvp* find_known_avp(std::uint32_t code) {
  const auto found = std::find_if(kKnownAvps.begin(), kKnownAvps.end(),
                                  [&](const KnownAvp& avp) { return avp.code == code; });
  return found == kKnownAvps.end() ? nullptr : &*found;
}

std::uint32_t read_integer(std::string_view bytes, std::size_t offset, std::size_t size) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < size; ++i) value = (value << 8U) | static_cast<std::uint8_t>(bytes[offset + i]);
  return value;
}

void append_integer(std::string& bytes, std::uint32_t value, std::size_t size) {
  for (std::size_t i = size; i-- > 0;) bytes.push_back(static_cast<char>((value >> (8 * i)) & 0xffU));
}

void append_padding(std::string& bytes) {
  while (bytes.size() % 4 != 0) bytes.push_back('\0');
}

/// Returns an AVP with a zero-filled value, for an AVP whose own value cannot be reported.
std::string zero_filled_avp(std::uint32_t code, std::uint8_t flags) {
  const auto* definition = find_known_avp(code);
  const std::size_t size = definition == nullptr                      ? 0
                           : definition->type == AvpType::kUnsigned32 ? 4
                           : definition->type == AvpType::kUnsigned64 ? 8
                                                                      : 0;
  std::string avp;
  append_integer(avp, code, 4);
  append_integer(avp, flags & kMandatoryBit, 1);
  append_integer(avp, static_cast<std::uint32_t>(kAvpHeaderSize + size), 3);
  avp.resize(avp.size() + size, '\0');
  return avp;
}

Fault check_avp(const Avp& avp, int depth);

constexpr int kMaxGroupDepth = 8;  // nesting of Grouped AVPs

/// Reads AVPs up to the first fault. Without `check_contents` only their lengths are checked, not flags and
/// values.
Fault read_avps(std::string_view bytes, std::vector<Avp>& avps, bool check_contents, int depth = 0) {
  std::size_t offset = 0;
  while (offset < bytes.size()) {
    if (bytes.size() - offset < kAvpHeaderSize || avps.size() >= kMaxAvps)
      return {ResultCode::kInvalidAvpLength, {}};
    Avp avp;
    avp.code = read_integer(bytes, offset, 4);
    avp.flags = static_cast<std::uint8_t>(bytes[offset + 4]);
    const std::size_t length = read_integer(bytes, offset + 5, 3);
    const std::size_t header_size = kAvpHeaderSize + (avp.is_vendor_specific() ? kVendorIdSize : 0);
    if (length < header_size || length > bytes.size() - offset)
      return {ResultCode::kInvalidAvpLength, zero_filled_avp(avp.code, avp.flags)};
    if (avp.is_vendor_specific()) avp.vendor = read_integer(bytes, offset + kAvpHeaderSize, 4);
    avp.encoded = bytes.substr(offset, length);
    avp.data = avp.encoded.substr(header_size);
    if (check_contents) {
      if (auto fault = check_avp(avp, depth); fault.is_set()) return fault;
    }
    avps.push_back(avp);
    offset += (length + 3) / 4 * 4;
  }
  return {};
}

/// Checks the flags and the value of an AVP whose length field is valid.
Fault check_avp(const Avp& avp, int depth) {
  const auto* definition = avp.is_vendor_specific() ? nullptr : find_known_avp(avp.code);
  const auto fault = [&](ResultCode result) { return Fault{result, std::string(avp.encoded)}; };
  if ((avp.flags & kReservedBits) != 0) return fault(ResultCode::kInvalidAvpBits);
  if (definition == nullptr)
    return (avp.flags & kMandatoryBit) != 0 ? fault(ResultCode::kAvpUnsupported) : Fault{};
  if (definition->type == AvpType::kUnsigned32 && avp.data.size() != 4)
    return fault(ResultCode::kInvalidAvpLength);
  if (definition->type == AvpType::kUnsigned64 && avp.data.size() != 8)
    return fault(ResultCode::kInvalidAvpLength);
  // The members of Failed-AVP are not checked: they are invalid by definition.
  if (definition->type != AvpType::kGrouped || avp.code == static_cast<std::uint32_t>(AvpCode::kFailedAvp))
    return {};
  if (depth >= kMaxGroupDepth) return fault(ResultCode::kInvalidAvpLength);
  std::vector<Avp> members;
  const auto member_fault = read_avps(avp.data, members, true, depth + 1);
  return member_fault.is_set() ? fault(member_fault.result) : Fault{};  // reported with the enclosing group
}

const Avp* find_in(const std::vector<Avp>& avps, AvpCode code) {
  const auto found =
      std::find_if(avps.begin(), avps.end(), [code](const Avp& avp) { return avp.has_code(code); });
  return found == avps.end() ? nullptr : &*found;
}

/// Returns the value of an Unsigned32 or Enumerated AVP, or nullopt if it is null or not 4 bytes long.
std::optional<std::uint32_t> number_of(const Avp* avp) {
  if (avp == nullptr || avp->data.size() != 4) return std::nullopt;
  return read_integer(avp->data, 0, 4);
}

}  // namespace

const Avp* Message::find(AvpCode code) const {
  return find_in(avps, code);
}

std::string_view Message::text(AvpCode code) const {
  const auto* avp = find(code);
  return avp != nullptr ? avp->data : std::string_view();
}

std::optional<std::uint32_t> Message::number(AvpCode code) const {
  return number_of(find(code));
}

std::optional<std::string_view> Message::parameter(ServiceParameter type) const {
  for (const auto& avp : avps) {
    if (!avp.has_code(AvpCode::kServiceParameterInfo)) continue;
    const auto group = read_group(avp.data);
    if (!group) continue;
    const auto type_found = number_of(find_in(*group, AvpCode::kServiceParameterType));
    const auto* value = find_in(*group, AvpCode::kServiceParameterValue);
    if (type_found == static_cast<std::uint32_t>(type) && value != nullptr) return value->data;
  }
  return std::nullopt;
}

std::optional<std::vector<Avp>> read_group(std::string_view data) {
  std::vector<Avp> avps;
  if (read_avps(data, avps, false).is_set()) return std::nullopt;
  return avps;
}

ReadResult read_message(std::string_view bytes, std::size_t max_size) {
  ReadResult read;
  if (bytes.size() < 4) return read;
  const std::size_t length = read_integer(bytes, 1, 3);
  if (length > max_size) {
    read.state = ReadResult::State::kTooLong;
    return read;
  }
  const bool has_invalid_length = length < kHeaderSize || length % 4 != 0;
  if (bytes.size() < std::max(kHeaderSize, has_invalid_length ? 0 : length)) return read;
  read.state = ReadResult::State::kComplete;
  read.size = has_invalid_length ? bytes.size() : length;
  auto& message = read.message;
  const auto flags = static_cast<std::uint8_t>(bytes[4]);
  message.is_request = (flags & kRequestBit) != 0;
  message.is_proxiable = (flags & kProxiableBit) != 0;
  message.is_error = (flags & kErrorBit) != 0;
  message.is_retransmitted = (flags & kRetransmittedBit) != 0;
  message.command = read_integer(bytes, 5, 3);
  message.application = read_integer(bytes, 8, 4);
  message.hop_by_hop = read_integer(bytes, 12, 4);
  message.end_to_end = read_integer(bytes, 16, 4);
  if (has_invalid_length) {
    read.fault = {ResultCode::kInvalidMessageLength, {}};
  } else if (bytes[0] != 1) {
    read.fault = {ResultCode::kUnsupportedVersion, {}};
  } else if (message.is_request && message.is_error) {
    read.fault = {ResultCode::kInvalidHeaderBits, {}};
  } else {
    read.fault = read_avps(bytes.substr(kHeaderSize, length - kHeaderSize), message.avps, true);
  }
  return read;
}

std::string missing_avp(AvpCode code) {
  return zero_filled_avp(static_cast<std::uint32_t>(code), kMandatoryBit);
}

Writer Writer::request(Command command, std::uint32_t application, std::uint32_t hop_by_hop,
                       std::uint32_t end_to_end) {
  Writer writer;
  append_integer(writer.bytes_, 1U << 24U, 4);
  const bool is_application_message = application != kBaseApplication;
  append_integer(writer.bytes_, is_application_message ? kRequestBit | kProxiableBit : kRequestBit, 1);
  append_integer(writer.bytes_, static_cast<std::uint32_t>(command), 3);
  append_integer(writer.bytes_, application, 4);
  append_integer(writer.bytes_, hop_by_hop, 4);
  append_integer(writer.bytes_, end_to_end, 4);
  return writer;
}

Writer Writer::answer(const Message& to, ResultCode result) {
  Writer writer;
  const auto code = static_cast<std::uint32_t>(result);
  const bool protocol_error = code / 1000 == 3;
  append_integer(writer.bytes_, 1U << 24U, 4);
  append_integer(writer.bytes_, (to.is_proxiable ? kProxiableBit : 0U) | (protocol_error ? kErrorBit : 0U),
                 1);
  append_integer(writer.bytes_, to.command, 3);
  append_integer(writer.bytes_, to.application, 4);
  append_integer(writer.bytes_, to.hop_by_hop, 4);
  append_integer(writer.bytes_, to.end_to_end, 4);
  if (const auto session = to.text(AvpCode::kSessionId); !session.empty())
    writer.add(AvpCode::kSessionId, session);
  writer.add(AvpCode::kResultCode, code);
  for (const auto& avp : to.avps) {
    if (avp.has_code(AvpCode::kProxyInfo)) writer.add_raw(avp.encoded);
  }
  return writer;
}

Writer& Writer::add(AvpCode code, std::string_view data) {
  // Product-Name and Error-Message must not be marked as mandatory.
  const bool is_optional = code == AvpCode::kProductName || code == AvpCode::kErrorMessage;
  append_integer(bytes_, static_cast<std::uint32_t>(code), 4);
  append_integer(bytes_, is_optional ? 0U : kMandatoryBit, 1);
  append_integer(bytes_, static_cast<std::uint32_t>(kAvpHeaderSize + data.size()), 3);
  bytes_ += data;
  append_padding(bytes_);
  return *this;
}

Writer& Writer::add(AvpCode code, std::uint32_t value) {
  std::string data;
  append_integer(data, value, 4);
  return add(code, data);
}

Writer& Writer::add_address(AvpCode code, std::string_view dotted_address) {
  std::string data;
  append_integer(data, 1, 2);  // IPv4
  while (!dotted_address.empty()) {
    const auto octet = dotted_address.substr(0, dotted_address.find('.'));
    unsigned value = 0;
    std::from_chars(octet.data(), octet.data() + octet.size(), value);
    append_integer(data, value, 1);
    dotted_address.remove_prefix(std::min(octet.size() + 1, dotted_address.size()));
  }
  return add(code, data);
}

Writer& Writer::add_group(AvpCode code, const std::function<void(Writer&)>& fill) {
  Writer inner;
  fill(inner);
  return add(code, inner.bytes_);
}

Writer& Writer::add_parameter(ServiceParameter type, std::string_view value) {
  return add_group(AvpCode::kServiceParameterInfo, [&](Writer& group) {
    group.add(AvpCode::kServiceParameterType, static_cast<std::uint32_t>(type));
    group.add(AvpCode::kServiceParameterValue, value);
  });
}

Writer& Writer::add_raw(std::string_view encoded_avp) {
  bytes_ += encoded_avp;
  append_padding(bytes_);
  return *this;
}

std::string Writer::finish() {
  std::string length;
  append_integer(length, static_cast<std::uint32_t>(bytes_.size()), 3);
  std::copy(length.begin(), length.end(), bytes_.begin() + 1);
  return std::move(bytes_);
}

}  // namespace amberknot::diameter
