// Server-sent events (the HTML standard, 9.2), as the command channel and session servers send them.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace amberknot::settings {

struct SseEvent {
  std::string id;    ///< of this event or the last one that had any
  std::string name;  ///< empty: none was given
  std::string data;
};

/// Server-sent events out of pieces that may be cut anywhere, also inside a line end.
class SseReader {
 public:
  /// A line and an event may have so many bytes.
  SseReader() = default;
  explicit SseReader(std::size_t most) : most_(most) {}
  /// False: a line or an event is longer than is believed.
  bool feed(std::string_view piece, const std::function<void(const SseEvent&)>& on_event);

 private:
  void on_line(const std::function<void(const SseEvent&)>& on_event);
  std::size_t most_ = 1024 * 1024;  // a whole list of a large fleet fits
  std::string line_;
  bool after_cr_ = false;
  SseEvent event_;
  bool has_data_ = false;
};

}  // namespace amberknot::settings
