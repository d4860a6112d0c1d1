#include "feed/parse.hpp"

namespace amberknot::feed {

namespace {
constexpr std::size_t kMostLine = 1024 * 1024;  // a whole list of a large fleet fits
}

bool SseReader::feed(std::string_view piece, const std::function<void(const SseEvent&)>& on_event) {
  for (const char c : piece) {
    if (c == '\n' && after_cr_) {
      after_cr_ = false;
      continue;
    }
    after_cr_ = c == '\r';
    if (c == '\n' || c == '\r') {
      on_line(on_event);
      line_.clear();
    } else if (line_.size() >= kMostLine) {
      return false;
    } else {
      line_ += c;
    }
  }
  return true;
}

void SseReader::on_line(const std::function<void(const SseEvent&)>& on_event) {
  if (line_.empty()) {
    if (has_data_) on_event(event_);
    event_.data.clear();
    has_data_ = false;
    return;
  }
  const auto colon = line_.find(':');
  if (colon == 0) return;  // a comment: it only shows that the channel lives
  const std::string_view name = std::string_view(line_).substr(0, colon);
  std::string_view value =
      colon == std::string::npos ? std::string_view() : std::string_view(line_).substr(colon + 1);
  if (!value.empty() && value.front() == ' ') value.remove_prefix(1);
  if (name == "id") event_.id = value;
  if (name == "data") {
    if (has_data_) event_.data += '\n';
    event_.data += value;
    has_data_ = true;
  }
}

std::optional<ListNews> read_list_news(std::string json) {
  rapidjson::Document document;
  document.ParseInsitu<settings::kJsonFlags>(json.data());
  if (document.HasParseError() || !document.IsObject()) return std::nullopt;
  return read_list_news(document);
}

std::optional<ListNews> read_list_news(const rapidjson::Value& event) {
  ListNews news;
  const auto cursor = settings::number_of(settings::text_in(event, "cursor"));
  if (!cursor || *cursor < 0) return std::nullopt;
  news.cursor = static_cast<std::uint64_t>(*cursor);
  const auto* nodes = settings::member(event, "nodes");
  if (nodes == nullptr) return news;  // an event of another kind
  const auto* snapshot = settings::member(*nodes, "snapshot");
  news.whole_list = snapshot != nullptr && snapshot->IsTrue();
  const auto* endpoints = settings::member(*nodes, "endpoints");
  if (endpoints == nullptr || !endpoints->IsArray()) return std::nullopt;
  news.has_servers = true;
  for (const auto& entry : endpoints->GetArray()) {
    core::ListChange change;
    change.name = settings::text_in(entry, "name");
    change.address = settings::text_in(entry, "address");
    const auto cell = settings::number_of(settings::text_in(entry, "group")).value_or(0);
    change.cell = cell >= 0 && cell < 4e9 ? static_cast<std::uint32_t>(cell) : 0;
    change.started_unix_ms =
        static_cast<std::int64_t>(settings::number_of(settings::text_in(entry, "since_ms")).value_or(0));
    const auto state = settings::text_in(entry, "status");
    if (change.name.empty()) continue;
    if (state == "ready") {
      change.state = ListState::kReady;
    } else if (state == "draining") {
      change.state = ListState::kDraining;
    } else if (state == "gone") {
      change.state = ListState::kGone;
    } else {
      continue;
    }
    news.changes.push_back(std::move(change));
  }
  return news;
}

}  // namespace amberknot::feed
