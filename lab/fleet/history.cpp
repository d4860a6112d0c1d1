#include "lab/fleet/history.hpp"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <array>
#include <iterator>

namespace amberknot::lab::fleet {
namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(What::kCount)> kNames = {
    "set-up", "answer",    "refused", "failed",   "gave-up", "lost",     "released",  "invite",  "answered",
    "denied", "cancelled", "broken",  "hung-up",  "ended",   "drained",  "resumed",   "started", "ready",
    "killed", "frozen",    "thawed",  "stopping", "exited",  "fault-on", "fault-off", "late"};

}  // namespace

std::string_view name_of(What what) {
  return kNames[static_cast<std::size_t>(what)];
}

std::string line_of(const Event& event) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> to(buffer);
  const auto text = [&](const char* key, std::string_view value) {
    if (value.empty()) return;
    to.Key(key);
    to.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  to.StartObject();
  to.Key("us");
  to.Int64(event.at.count());
  text("who", event.who);
  text("what", name_of(event.what));
  text("call", event.call);
  text("peer", event.peer);
  if (event.number != 0) {
    to.Key("number");
    to.Int64(event.number);
  }
  text("text", event.text);
  to.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::optional<Event> read_line(std::string_view line) {
  rapidjson::Document read;
  if (read.Parse(line.data(), line.size()).HasParseError() || !read.IsObject()) return std::nullopt;
  const auto text = [&](const char* key) -> std::string {
    const auto at = read.FindMember(key);
    if (at == read.MemberEnd() || !at->value.IsString()) return {};
    return {at->value.GetString(), at->value.GetStringLength()};
  };
  const auto number = [&](const char* key) -> std::optional<std::int64_t> {
    const auto at = read.FindMember(key);
    if (at == read.MemberEnd() || !at->value.IsInt64()) return std::nullopt;
    return at->value.GetInt64();
  };
  const auto at = number("us");
  const auto what = std::find(kNames.begin(), kNames.end(), text("what"));
  if (!at || what == kNames.end()) return std::nullopt;
  return Event{Duration{*at}, text("who"),  static_cast<What>(what - kNames.begin()),
               text("call"),  text("peer"), number("number").value_or(0),
               text("text")};
}

History read_history(std::string_view text, std::size_t& unreadable) {
  History history;
  while (!text.empty()) {
    const auto end = text.find('\n');
    const auto line = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    if (line.empty()) continue;
    if (auto event = read_line(line)) {
      history.push_back(std::move(*event));
    } else {
      ++unreadable;
    }
  }
  return history;
}

History merged(std::vector<History> parts) {
  History all;
  for (auto& part : parts) {
    all.insert(all.end(), std::make_move_iterator(part.begin()), std::make_move_iterator(part.end()));
  }
  std::stable_sort(all.begin(), all.end(), [](const Event& a, const Event& b) { return a.at < b.at; });
  return all;
}

}  // namespace amberknot::lab::fleet
