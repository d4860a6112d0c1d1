// What the tests of Diameter bytes share: messages cut out of a stream and shown one AVP a line, as hex
// digits.
#pragma once

#include <cstdint>
#include <vector>

#include "diameter/codec.hpp"
#include "net_bench.hpp"
#include "wire_format.hpp"

namespace amberknot::tests {

inline std::uint32_t number_at(std::string_view bytes, std::size_t at, std::size_t size) {
  std::uint32_t number = 0;
  for (std::size_t i = 0; i < size; ++i) number = number << 8U | static_cast<unsigned char>(bytes[at + i]);
  return number;
}

inline diameter::Message read_whole(const std::string& bytes) {
  const auto read = diameter::read_message(bytes, net::kMaxMessage);
  REQUIRE(read.state == diameter::ReadResult::State::kComplete);
  return read.message;
}

/// Shows messages of one router. Its Origin-State-Id is the time of its start: that number, wherever it is,
/// becomes zeros, as do the twelve bits of it in the End-to-End Identifier of a request (RFC 6733, section
/// 3).
class DiameterText {
 public:
  /// The header on a line, then each AVP with its padding.
  std::string of(std::string message) {
    constexpr std::size_t kHeaderSize = 20;
    constexpr std::uint8_t kRequestBit = 0x80;
    REQUIRE(message.size() >= kHeaderSize);
    if ((static_cast<std::uint8_t>(message[4]) & kRequestBit) != 0) {
      message[16] = '\0';
      message[17] = static_cast<char>(message[17] & 0x0f);
    }
    mask_state_id(message);
    std::string text = hex_of(message.substr(0, kHeaderSize));
    for (std::size_t at = kHeaderSize; at + 8 <= message.size();) {
      const auto size = (number_at(message, at + 5, 3) + 3) / 4 * 4;
      text += "\n" + hex_of(message.substr(at, size));
      at += std::max<std::size_t>(size, 8);
    }
    return text;
  }
  [[nodiscard]] std::uint32_t state_id() const { return state_id_; }

 private:
  void mask_state_id(std::string& message) {
    using namespace std::string_view_literals;
    constexpr auto kOriginStateIdHead = "\0\0\x01\x16\x40\0\0\x0c"sv;
    if (const auto at = message.find(kOriginStateIdHead); at != std::string::npos) {
      state_id_ = number_at(message, at + kOriginStateIdHead.size(), 4);
      message.replace(at + kOriginStateIdHead.size(), 4, 4, '\0');
    }
    const auto decimal = std::to_string(state_id_);  // in the Session-Id (RFC 6733, section 8.8)
    if (const auto at = message.find(";" + decimal + ";"); at != std::string::npos) {
      message.replace(at + 1, decimal.size(), decimal.size(), '0');
    }
  }
  std::uint32_t state_id_ = 0;
};

inline app::OperatorFile diameter_setup(milliseconds watchdog = std::chrono::seconds{30}) {
  app::OperatorFile file;
  file.diameter.emplace();
  file.diameter->origin_host = "n0.kartu.example";
  file.diameter->origin_realm = "kartu.example";
  file.diameter->watchdog = watchdog;
  return file;
}

/// The router's next message at an end, taken out of what came there.
inline std::string next_message(Bench& bench, End& end) {
  const auto size = [&] { return end.in.size() < 4 ? 4 : number_at(end.in, 1, 3); };
  bench.until([&] { return end.in.size() >= 4 && end.in.size() >= size(); });
  auto message = end.in.substr(0, size());
  end.in.erase(0, message.size());
  return message;
}

}  // namespace amberknot::tests
