#include "core/call_event.hpp"

#include <array>

namespace amberknot::core {

std::string_view name_of(CallEventKind kind) {
  static constexpr std::array<std::string_view, 8> kNames = {
      "received", "forwarded", "attempt ended", "established", "rejected", "failed", "abandoned", "released"};
  return kNames[static_cast<std::size_t>(kind)];
}

std::string_view name_of(Outcome outcome) {
  static constexpr std::array<std::string_view, 8> kNames = {
      "ok", "error", "full", "timeout", "connect failed", "reset", "cancelled", "not sent"};
  return kNames[static_cast<std::size_t>(outcome)];
}

std::string to_text(const CallEvent& event) {
  std::string text = "call " + std::string(event.call) + ": " + std::string(name_of(event.kind));
  if (!event.server.empty())
    text += ", server " + std::string(event.server) + ", attempt " + std::to_string(event.attempt);
  switch (event.kind) {
    case CallEventKind::kAttemptEnded:
      text += ", outcome " + std::string(name_of(event.outcome));
      break;
    case CallEventKind::kReleased:
      text += ", cause " + std::to_string(static_cast<int>(event.cause));
      break;
    case CallEventKind::kRejected:
    case CallEventKind::kFailed:
      text += ", reason " + std::string(name_of(event.reason));
      break;
    default:
      break;
  }
  return text;
}

}  // namespace amberknot::core
