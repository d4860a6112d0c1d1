// Fuzz target: reads arbitrary bytes as ISO 8583 frames and messages. A message that is read without an error
// must be read back unchanged after it is written.
#include <cstdlib>
#include <string>

#include "iso8583/codec.hpp"

using namespace amberknot::iso8583;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  std::string_view rest(reinterpret_cast<const char*>(data), size);
  for (;;) {
    const auto frame = read_frame(rest, 16 * 1024);
    if (frame.state != Frame::State::kComplete) return 0;
    Message message;
    const auto error = read(frame.body, message);
    // A message can be described even after an error, and its description must not contain the account
    // number.
    const auto description = describe(message);
    if (message.text(2).size() >= 8 &&
        description.find("2=" + std::string(message.text(2))) != std::string::npos)
      std::abort();
    if (!error) {
      const auto written = write(message);
      Message reread;
      if (written.empty() || read(std::string_view(written).substr(2), reread)) std::abort();
      for (std::size_t i = 2; i <= kElementCount; ++i) {
        if (reread.has(i) != message.has(i) || reread.text(i) != message.text(i)) std::abort();
      }
      if (!(reread.mti == message.mti)) std::abort();
    }
    rest.remove_prefix(frame.size);
  }
}
