// Fuzz target: reads arbitrary bytes as each body of the session API. The first byte selects the body and the
// version. A set-up that is accepted must be read back unchanged after it is written.
#include <cstdlib>
#include <string>

#include "http2/body.hpp"

using namespace amberknot;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  static http2::BodyReader reader, second_reader;
  static translate::Record record, reread;
  if (size < 1) return 0;
  const std::string body(reinterpret_cast<const char*>(data) + 1, size - 1);
  std::string error;
  const auto copy_body = [&body](std::string& to) {
    to = body;
    return std::span<char>(to.data(), to.size());
  };
  std::string text;
  const std::uint32_t version = 1 + (data[0] >> 4U) % 2U;
  switch (data[0] % 5) {
    case 0: {
      if (!reader.read_set_up(version, copy_body(text), record, error)) return 0;
      const auto& fields = translate::find_dialect(version == 1 ? "session-1" : "session-2")
                               ->of(translate::MessageKind::kSetUp);
      auto written = http2::write_body(fields, record);
      if (!second_reader.read_set_up(version, {written.data(), written.size()}, reread, error)) std::abort();
      for (std::size_t i = 0; i < fields.size(); ++i) {
        if (record.has(i) != reread.has(i)) std::abort();
        if (!record.has(i)) continue;
        if (translate::is_text(fields[i].type) ? record.text(i) != reread.text(i)
                                               : record.number(i) != reread.number(i)) {
          std::abort();
        }
      }
      return 0;
    }
    case 1:
      reader.read_answer(version, copy_body(text), record, error);
      return 0;
    case 2:
      reader.read_problem(copy_body(text), error);
      return 0;
    case 3:
      reader.read_versions(copy_body(text), error);
      return 0;
    default: {
      static constexpr const char* kEvents[] = {"released", "cut", "load", "lost", "draining", "other"};
      reader.read_event(kEvents[(data[0] >> 4U) % 6U], copy_body(text), error);
      return 0;
    }
  }
}
