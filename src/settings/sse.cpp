#include "settings/sse.hpp"

namespace amberknot::settings {

bool SseParser::feed(std::string_view piece, const std::function<void(const SseEvent&)>& on_event) {
  for (const char c : piece) {
    if (c == '\n' && after_cr_) {
      after_cr_ = false;
      continue;
    }
    after_cr_ = c == '\r';
    if (c == '\n' || c == '\r') {
      on_line(on_event);
      line_.clear();
    } else if (line_.size() + event_.data.size() >= max_bytes_) {
      return false;
    } else {
      line_ += c;
    }
  }
  return true;
}

void SseParser::on_line(const std::function<void(const SseEvent&)>& on_event) {
  if (line_.empty()) {
    if (has_data_) on_event(event_);
    event_.data.clear();
    event_.name.clear();
    has_data_ = false;
    return;
  }
  const auto colon = line_.find(':');
  if (colon == 0) return;  // a comment line, sent as a keep-alive
  const std::string_view field = std::string_view(line_).substr(0, colon);
  std::string_view value =
      colon == std::string::npos ? std::string_view() : std::string_view(line_).substr(colon + 1);
  if (!value.empty() && value.front() == ' ') value.remove_prefix(1);
  if (field == "id") event_.id = value;
  if (field == "event") event_.name = value;
  if (field == "data") {
    if (has_data_) event_.data += '\n';
    event_.data += value;
    has_data_ = true;
  }
}

}  // namespace amberknot::settings
