// Codec for Diameter messages (RFC 6733) with the AVPs of Credit-Control (RFC 8506). A parsed message refers
// to the bytes of the receive buffer; a written message is a string of its own.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amberknot::diameter {

/// Command codes.
enum class Command : std::uint32_t {
  kCapabilitiesExchange = 257,
  kCreditControl = 272,
  kAbortSession = 274,
  kWatchdog = 280,
  kDisconnect = 282,
};

/// Application ids of the message header.
inline constexpr std::uint32_t kBaseApplication = 0;
inline constexpr std::uint32_t kCreditControlApplication = 4;

/// AVP codes.
enum class AvpCode : std::uint32_t {
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

/// Values of the Result-Code AVP.
enum class ResultCode : std::uint32_t {
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

/// Values of the CC-Request-Type AVP.
enum class RequestType : std::uint32_t { kInitial = 1, kUpdate = 2, kTermination = 3, kEvent = 4 };

/// Service-Parameter-Type values that this router assigns in Service-Parameter-Info.
enum class ServiceParameter : std::uint32_t { kDescription = 1, kWaitMs = 2, kRetryAfterMs = 3 };

/// One attribute-value pair. Its views refer to the buffer that it was read from.
struct Avp {
  std::uint32_t code = 0;
  std::uint8_t flags = 0;
  std::uint32_t vendor = 0;
  std::string_view data;
  std::string_view encoded;  ///< the AVP with its header, without padding

  /// Whether the V bit is set, which gives the code another meaning, whatever the vendor id.
  [[nodiscard]] bool is_vendor_specific() const {
    constexpr std::uint8_t kVendorSpecificBit = 0x80;
    return (flags & kVendorSpecificBit) != 0;
  }
  /// Whether this is the AVP of that code that the RFCs define.
  [[nodiscard]] bool has_code(AvpCode expected) const {
    return code == static_cast<std::uint32_t>(expected) && !is_vendor_specific();
  }
};

/// A parsed message: the header fields and the top-level AVPs.
struct Message {
  bool is_request = false;
  bool is_proxiable = false;
  bool is_error = false;
  bool is_retransmitted = false;
  std::uint32_t command = 0;
  std::uint32_t application = 0;
  std::uint32_t hop_by_hop = 0;
  std::uint32_t end_to_end = 0;
  std::vector<Avp> avps;

  [[nodiscard]] bool has_command(Command expected) const {
    return command == static_cast<std::uint32_t>(expected);
  }
  /// Returns the first AVP with this code that is not vendor-specific, or null.
  [[nodiscard]] const Avp* find(AvpCode code) const;
  /// Returns the data of that AVP, empty if it is absent.
  [[nodiscard]] std::string_view text(AvpCode code) const;
  /// Returns the value of that Unsigned32 or Enumerated AVP, or nullopt if it is absent or not 4 bytes long.
  [[nodiscard]] std::optional<std::uint32_t> number(AvpCode code) const;
  /// Returns the Service-Parameter-Value of that type, or nullopt if there is none. A group without a type of
  /// four bytes has none.
  [[nodiscard]] std::optional<std::string_view> parameter(ServiceParameter type) const;
};

/// An error in a message, with the Result-Code that RFC 6733 prescribes for the answer.
struct Fault {
  ResultCode result = ResultCode::kSuccess;
  std::string failed_avp;  ///< the AVP to report in Failed-AVP, with its header; empty if there is none
  [[nodiscard]] bool is_set() const { return result != ResultCode::kSuccess; }
};

/// The result of read_message().
struct ReadResult {
  enum class State {
    kIncomplete,  ///< the buffer does not hold a whole message yet
    kTooLong,     ///< the message is longer than the limit
    kComplete     ///< a message was read, possibly with a fault
  };
  State state = State::kIncomplete;
  std::size_t size = 0;  ///< bytes of the buffer that the message takes up
  Message message;
  Fault fault;  ///< after kInvalidMessageLength the start of the next message is unknown
};

/// Reads the first message in the buffer, of at most `max_size` bytes. The views in the result refer to
/// the buffer.
ReadResult read_message(std::string_view bytes, std::size_t max_size);

/// Returns the AVPs of a Grouped AVP, or nullopt if it is malformed. Only lengths are checked.
std::optional<std::vector<Avp>> read_group(std::string_view data);

/// Returns the example of a missing AVP that Failed-AVP carries: its header and a zero-filled value of the
/// minimum length (RFC 6733, section 7.5).
std::string missing_avp(AvpCode code);

/// Builds the bytes of one message.
class Writer {
 public:
  static Writer request(Command command, std::uint32_t application, std::uint32_t hop_by_hop,
                        std::uint32_t end_to_end);
  /// Starts an answer with the ids, the P bit, the Session-Id and the Proxy-Info of the request `to`. A 3xxx
  /// result sets the error bit.
  static Writer answer(const Message& to, ResultCode result);

  Writer& add(AvpCode code, std::string_view data);
  Writer& add(AvpCode code, std::uint32_t value);
  /// Adds an IPv4 address given in dotted decimal notation.
  Writer& add_address(AvpCode code, std::string_view dotted_address);
  /// Adds a Grouped AVP, whose members `fill` writes.
  Writer& add_group(AvpCode code, const std::function<void(Writer&)>& fill);
  /// Adds a Service-Parameter-Info with this type and value.
  Writer& add_parameter(ServiceParameter type, std::string_view value);
  /// Adds an AVP that is already encoded with its header, and pads it.
  Writer& add_raw(std::string_view encoded_avp);
  /// Sets the message length and returns the bytes; the writer is empty afterwards.
  [[nodiscard]] std::string finish();

 private:
  Writer() = default;
  std::string bytes_;
};

}  // namespace amberknot::diameter
