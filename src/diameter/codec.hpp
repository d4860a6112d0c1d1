// Diameter messages (RFC 6733) with the AVPs of Credit-Control (RFC 8506): read in place, written whole.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amberknot::diameter {

enum class Command : std::uint32_t {
  kCapabilitiesExchange = 257,
  kCreditControl = 272,
  kAbortSession = 274,
  kWatchdog = 280,
  kDisconnect = 282,
};

inline constexpr std::uint32_t kBaseApplication = 0;
inline constexpr std::uint32_t kCreditControlApplication = 4;

enum class Code : std::uint32_t {
  kUserName = 1,
  kHostIpAddress = 257,
  kAuthApplicationId = 258,
  kSessionId = 263,
  kOriginHost = 264,
  kVendorId = 266,
  kResultCode = 268,
  kProductName = 269,
  kDisconnectCause = 273,
  kOriginStateId = 278,
  kFailedAvp = 279,
  kErrorMessage = 281,
  kDestinationRealm = 283,
  kProxyInfo = 284,
  kDestinationHost = 293,
  kOriginRealm = 296,
  kCcRequestNumber = 415,
  kCcRequestType = 416,
  kServiceParameterInfo = 440,
  kServiceParameterType = 441,
  kServiceParameterValue = 442,
  kSubscriptionId = 443,
  kSubscriptionIdData = 444,
  kSubscriptionIdType = 450,
  kServiceContextId = 461,
  kTerminationCause = 295,
};

enum class Result : std::uint32_t {
  kSuccess = 2001,
  kCommandUnsupported = 3001,
  kTooBusy = 3004,
  kApplicationUnsupported = 3007,
  kInvalidHeaderBits = 3008,
  kInvalidAvpBits = 3009,
  kUnknownPeer = 3010,
  kAvpUnsupported = 5001,
  kUnknownSession = 5002,
  kInvalidAvpValue = 5004,
  kMissingAvp = 5005,
  kNoCommonApplication = 5010,
  kUnsupportedVersion = 5011,
  kUnableToComply = 5012,
  kInvalidAvpLength = 5014,
  kInvalidMessageLength = 5015,
  kUserUnknown = 5030,
  kRatingFailed = 5031,
};

enum class RequestType : std::uint32_t { kInitial = 1, kUpdate = 2, kTermination = 3, kEvent = 4 };

/// What a Service-Parameter-Info of this router's carries, by its type.
enum class Parameter : std::uint32_t { kDescription = 1, kWaitMs = 2, kRetryAfterMs = 3 };

struct Avp {
  std::uint32_t code = 0;
  std::uint8_t flags = 0;
  std::uint32_t vendor = 0;
  std::string_view data;
  std::string_view whole;  ///< with its header, without padding
};

struct Message {
  bool request = false;
  bool proxiable = false;
  bool error = false;
  bool sent_again = false;
  std::uint32_t command = 0;
  std::uint32_t application = 0;
  std::uint32_t hop_by_hop = 0;
  std::uint32_t end_to_end = 0;
  std::vector<Avp> avps;

  [[nodiscard]] bool is(Command one) const { return command == static_cast<std::uint32_t>(one); }
  [[nodiscard]] const Avp* find(Code code) const;
  [[nodiscard]] std::string_view text(Code code) const;
  [[nodiscard]] std::optional<std::uint32_t> number(Code code) const;
  /// The Service-Parameter-Value of that type.
  [[nodiscard]] std::optional<std::string_view> parameter(Parameter type) const;
};

/// What is wrong with a message, as the RFC answers it.
struct Fault {
  Result result = Result::kSuccess;
  std::string failed;  ///< the whole AVP for Failed-AVP; empty: none
  [[nodiscard]] bool any() const { return result != Result::kSuccess; }
};

struct Read {
  enum class State { kMore, kBad, kWhole };
  State state = State::kMore;
  std::size_t size = 0;
  Message message;
  Fault fault;  ///< of a whole message; after kInvalidMessageLength the stream cannot be read on
};

/// The first message in the buffer, `most` bytes at the longest. Views lead into the buffer.
Read read_message(std::string_view bytes, std::size_t most);

/// The AVPs of a group; empty: it is malformed.
std::optional<std::vector<Avp>> read_group(std::string_view data);

/// An AVP that is missing, as Failed-AVP shows it: the header and the least value.
std::string missing(Code code);

class Writer {
 public:
  static Writer request(Command command, std::uint32_t application, std::uint32_t hop_by_hop,
                        std::uint32_t end_to_end);
  /// With the ids, the P bit and the Proxy-Info of what it answers; 3xxx sets the error bit.
  static Writer answer(const Message& to, Result result);

  Writer& add(Code code, std::string_view data);
  Writer& add(Code code, std::uint32_t value);
  Writer& add_address(Code code, std::string_view dotted);
  Writer& add_group(Code code, const std::function<void(Writer&)>& fill);
  Writer& add_parameter(Parameter type, std::string_view value);
  Writer& add_raw(std::string_view whole);
  [[nodiscard]] std::string finish();

 private:
  Writer() = default;
  std::string bytes_;
};

}  // namespace amberknot::diameter
