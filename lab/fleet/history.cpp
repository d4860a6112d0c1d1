#include "lab/fleet/history.hpp"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <array>
#include <iterator>

namespace amberknot::lab::fleet {
namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(EventKind::kCount)> kEventNames = {
    "set-up",
    "answer",
    "refused",
    "failed",
    "gave-up",
    "lost",
    "released",
    "left",
    "invite",
    "answered",
    "denied",
    "cancelled",
    "broken",
    "hung-up",
    "ended",
    "drained",
    "resumed",
    "vanished",
    "died",
    "returned",
    "unlisted",
    "started",
    "ready",
    "killed",
    "frozen",
    "thawed",
    "stopping",
    "overdue",
    "exited",
    "standby",
    "active",
    "admin-reply",
    "health-check-passed",
    "health-check-failed",
    "connected",
    "disconnected",
    "part-written",
    "fault-on",
    "fault-off",
    "late"};

}  // namespace

std::string_view name_of(EventKind kind) {
  return kEventNames[static_cast<std::size_t>(kind)];
}

std::string to_json_line(const Event& event) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  const auto text = [&](const char* key, std::string_view value) {
    if (value.empty()) return;
    writer.Key(key);
    writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  writer.StartObject();
  writer.Key("us");
  writer.Int64(event.time.count());
  text("who", event.who);
  text("what", name_of(event.kind));
  text("call", event.call);
  text("peer", event.peer);
  if (event.number != 0) {
    writer.Key("number");
    writer.Int64(event.number);
  }
  text("text", event.text);
  writer.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::optional<Event> parse_event(std::string_view line) {
  rapidjson::Document document;
  if (document.Parse(line.data(), line.size()).HasParseError() || !document.IsObject()) return std::nullopt;
  const auto text = [&](const char* key) -> std::string {
    const auto member = document.FindMember(key);
    if (member == document.MemberEnd() || !member->value.IsString()) return {};
    return {member->value.GetString(), member->value.GetStringLength()};
  };
  const auto number = [&](const char* key) -> std::optional<std::int64_t> {
    const auto member = document.FindMember(key);
    if (member == document.MemberEnd() || !member->value.IsInt64()) return std::nullopt;
    return member->value.GetInt64();
  };
  const auto time = number("us");
  const auto kind = std::find(kEventNames.begin(), kEventNames.end(), text("what"));
  if (!time || kind == kEventNames.end()) return std::nullopt;
  return Event{Duration{*time}, text("who"),  static_cast<EventKind>(kind - kEventNames.begin()),
               text("call"),    text("peer"), number("number").value_or(0),
               text("text")};
}

History parse_history(std::string_view text, std::size_t& unreadable) {
  History history;
  while (!text.empty()) {
    const auto end = text.find('\n');
    const auto line = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    if (line.empty()) continue;
    if (auto event = parse_event(line)) {
      history.push_back(std::move(*event));
    } else {
      ++unreadable;
    }
  }
  return history;
}

History merge_by_time(std::vector<History> parts) {
  History all;
  for (auto& part : parts) {
    all.insert(all.end(), std::make_move_iterator(part.begin()), std::make_move_iterator(part.end()));
  }
  std::stable_sort(all.begin(), all.end(), [](const Event& a, const Event& b) { return a.time < b.time; });
  return all;
}

}  // namespace amberknot::lab::fleet
