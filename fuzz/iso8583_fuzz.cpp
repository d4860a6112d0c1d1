// Any bytes are read as frames and messages. What is read without a fault is written, read again and the
// same.
#include <cstdlib>
#include <string>

#include "iso8583/codec.hpp"

using namespace amberknot::iso8583;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  std::string_view rest(reinterpret_cast<const char*>(data), size);
  for (;;) {
    const auto frame = read_frame(rest, 16 * 1024);
    if (frame.state != Frame::State::kWhole) return 0;
    Message message;
    const auto fault = read(frame.body, message);
    // Whatever was read, also before a fault, can be shown, and shows no secret.
    const auto shown = describe(message);
    if (message.text(2).size() >= 8 && shown.find("2=" + std::string(message.text(2))) != std::string::npos)
      std::abort();
    if (!fault) {
      const auto written = write(message);
      Message again;
      if (written.empty() || read(std::string_view(written).substr(2), again)) std::abort();
      for (std::size_t i = 2; i <= kElements; ++i) {
        if (again.has(i) != message.has(i) || again.text(i) != message.text(i)) std::abort();
      }
      if (!(again.mti == message.mti)) std::abort();
    }
    rest.remove_prefix(frame.size);
  }
}
