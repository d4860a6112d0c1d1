// Helpers of the Diameter wire format tests: they cut messages out of a stream and format them as hex digits,
// one AVP a line.
#pragma once

#include <cstdint>
#include <vector>

#include "diameter/codec.hpp"
#include "net_bench.hpp"
#include "wire_format.hpp"

namespace amberknot::tests {

/// Reads a big-endian integer of `size` bytes.
inline std::uint32_t integer_at(std::string_view bytes, std::size_t at, std::size_t size) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < size; ++i) value = value << 8U | static_cast<unsigned char>(bytes[at + i]);
  return value;
}

/// Parses a message, which must be complete. It refers to `bytes`.
inline diameter::Message parse_message(const std::string& bytes) {
  const auto read = diameter::read_message(bytes, net::kMaxMessageBytes);
  REQUIRE(read.state == diameter::ReadResult::State::kComplete);
  return read.message;
}

/// Formats the messages of one router. The router's Origin-State-Id is the time of its start. So that the
/// text does not depend on it, each occurrence is replaced by zeros, as are its twelve bits in the End-to-End
/// Identifier of a request (RFC 6733, section 3).
class DiameterFormatter {
 public:
  /// Returns the header on one line, then one line for each AVP with its padding.
  std::string format(std::string message) {
    constexpr std::size_t kHeaderSize = 20;
    constexpr std::uint8_t kRequestBit = 0x80;
    REQUIRE(message.size() >= kHeaderSize);
    if ((static_cast<std::uint8_t>(message[4]) & kRequestBit) != 0) {
      message[16] = '\0';
      message[17] = static_cast<char>(message[17] & 0x0f);
    }
    mask_state_id(message);
    std::string text = to_hex(message.substr(0, kHeaderSize));
    for (std::size_t offset = kHeaderSize; offset + 8 <= message.size();) {
      const auto size = (integer_at(message, offset + 5, 3) + 3) / 4 * 4;
      text += "\n" + to_hex(message.substr(offset, size));
      offset += std::max<std::size_t>(size, 8);
    }
    return text;
  }
  /// Returns the Origin-State-Id of the last message that had one, or zero.
  [[nodiscard]] std::uint32_t state_id() const { return state_id_; }

 private:
  void mask_state_id(std::string& message) {
    using namespace std::string_view_literals;
    constexpr auto kOriginStateIdHeader = "\0\0\x01\x16\x40\0\0\x0c"sv;
    if (const auto at = message.find(kOriginStateIdHeader); at != std::string::npos) {
      state_id_ = integer_at(message, at + kOriginStateIdHeader.size(), 4);
      message.replace(at + kOriginStateIdHeader.size(), 4, 4, '\0');
    }
    const auto decimal = std::to_string(state_id_);  // part of the Session-Id (RFC 6733, section 8.8)
    if (const auto at = message.find(";" + decimal + ";"); at != std::string::npos) {
      message.replace(at + 1, decimal.size(), decimal.size(), '0');
    }
  }
  std::uint32_t state_id_ = 0;
};

/// Returns an operator file that enables Diameter, without clients and servers.
inline app::OperatorFile diameter_operator_file(milliseconds watchdog = std::chrono::seconds{30}) {
  app::OperatorFile file;
  file.diameter.emplace();
  file.diameter->origin_host = "n0.kartu.example";
  file.diameter->origin_realm = "kartu.example";
  file.diameter->watchdog_interval = watchdog;
  return file;
}

/// Waits for the next message of the router on a connection and removes it from the received bytes.
inline std::string next_message(RouterFixture& fixture, TestConnection& end) {
  const auto size = [&] { return end.received.size() < 4 ? 4 : integer_at(end.received, 1, 3); };
  fixture.run_until([&] { return end.received.size() >= 4 && end.received.size() >= size(); });
  auto message = end.received.substr(0, size());
  end.received.erase(0, message.size());
  return message;
}

}  // namespace amberknot::tests
