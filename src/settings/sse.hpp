// Parser for server-sent events (HTML standard, section 9.2), which the command channel and the session
// servers send.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace amberknot::settings {

/// One server-sent event.
struct SseEvent {
  std::string id;    ///< id of this event or, if it has none, of the last event with one
  std::string name;  ///< event type; empty if none was given
  std::string data;
};

/// Reads server-sent events from pieces that may be split anywhere, even inside a line end.
class SseParser {
 public:
  SseParser() = default;
  /// `max_bytes` limits an unfinished line together with the data of its event.
  explicit SseParser(std::size_t max_bytes) : max_bytes_(max_bytes) {}
  /// Calls `on_event` for each complete event. Returns false if a line or an event exceeds the limit.
  bool feed(std::string_view piece, const std::function<void(const SseEvent&)>& on_event);

 private:
  void on_line(const std::function<void(const SseEvent&)>& on_event);
  std::size_t max_bytes_ = 1024 * 1024;  // fits the full endpoint list of a large fleet
  std::string line_;
  bool after_cr_ = false;
  SseEvent event_;
  bool has_data_ = false;
};

}  // namespace amberknot::settings
