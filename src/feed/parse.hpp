// The command channel's stream: server-sent events, and the news of servers that each of them holds.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/server_list.hpp"
#include "settings/json_text.hpp"

namespace amberknot::feed {

struct SseEvent {
  std::string id;
  std::string data;
};

/// Server-sent events out of pieces that may be cut anywhere, also inside a line end.
class SseReader {
 public:
  /// False: a line is longer than is believed.
  bool feed(std::string_view piece, const std::function<void(const SseEvent&)>& on_event);

 private:
  void on_line(const std::function<void(const SseEvent&)>& on_event);
  std::string line_;
  bool after_cr_ = false;
  SseEvent event_;
  bool has_data_ = false;
};

struct ListNews {
  std::uint64_t cursor = 0;
  bool whole_list = false;
  bool has_servers = false;
  std::vector<core::ListChange> changes;
};

/// One event's data. Empty: it cannot be read. Entries with an unknown state or no name are left out.
std::optional<ListNews> read_list_news(std::string json);
std::optional<ListNews> read_list_news(const rapidjson::Value& event);

}  // namespace amberknot::feed
