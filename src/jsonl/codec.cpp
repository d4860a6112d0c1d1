#include "jsonl/codec.hpp"

#include <algorithm>

#include "settings/json_text.hpp"

namespace amberknot::jsonl {

struct JsonLineReader::Parser {
  rapidjson::Document document;
};

JsonLineReader::JsonLineReader() : parser_(std::make_unique<Parser>()) {}
JsonLineReader::~JsonLineReader() = default;

bool is_call_id(std::string_view text) {
  return text.size() == 16 && std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
         });
}

std::optional<JsonLine> JsonLineReader::read(std::span<char> line, char* end) {
  *end = '\0';
  // A zero byte would end the text early and hide the rest of the line.
  if (std::find(line.begin(), line.end(), '\0') != line.end()) return std::nullopt;
  auto& document = parser_->document;
  document = rapidjson::Document();
  document.ParseInsitu<settings::kJsonParseFlags>(line.data());
  if (document.HasParseError() || !document.IsObject()) return std::nullopt;

  JsonLine read;
  const auto type = settings::member_string(document, "msg");
  if (type.empty()) return std::nullopt;
  if (type == "open") read.type = JsonLine::Type::kOpen;
  if (type == "close") read.type = JsonLine::Type::kClose;
  if (type == "probe") read.type = JsonLine::Type::kHealthCheck;
  read.sid = settings::member_string(document, "sid");
  const bool needs_id = read.type == JsonLine::Type::kOpen || read.type == JsonLine::Type::kClose;
  if (needs_id && !is_call_id(read.sid)) return std::nullopt;
  if (const auto* attrs = settings::find_member(document, "attrs")) {
    read.call_class = settings::member_string(*attrs, "class");
    read.remaining_ms = settings::member_string(*attrs, "left");
    read.tenant = settings::member_string(*attrs, "tenant");
    read.number = settings::member_string(*attrs, "key");
    read.extras = settings::member_string(*attrs, "extras");
  }
  if (const auto* text = settings::find_member(document, "text")) {
    // A lone surrogate cannot be encoded in UTF-8 and would make the message to the server malformed.
    read.has_text = text->IsString() && !settings::has_lone_surrogate(settings::string_value(*text));
    read.text = settings::string_value(*text);
  }
  if (const auto code = settings::parse_number(settings::member_string(document, "code"));
      code && std::abs(*code) < 1e6) {
    read.code = static_cast<int>(*code);
  }
  return read;
}

std::optional<Extras> parse_extras(std::string_view text) {
  Extras extras;
  while (!text.empty()) {
    const auto part = text.substr(0, text.find(';'));
    text.remove_prefix(std::min(part.size() + 1, text.size()));
    if (part.empty()) continue;
    const auto colon = part.find(':');
    if (colon == std::string_view::npos) return std::nullopt;
    const auto name = part.substr(0, colon);
    const auto value = settings::parse_number(part.substr(colon + 1));
    if (!value) return std::nullopt;
    if (name == "dest") {
      if (*value < 0 || *value > 1e9 || *value != std::floor(*value)) return std::nullopt;
      extras.destination_pool = static_cast<std::uint32_t>(*value);
    } else if (name == "width") {
      if (*value <= 0 || *value > 1e6) return std::nullopt;
      extras.width = *value;
    } else if (name == "again") {
      extras.was_aborted = *value != 0;
    }
  }
  return extras;
}

namespace {

std::string start_line(std::string_view type, std::string_view sid) {
  std::string line = "{\"msg\":\"";
  line += type;
  line += "\",\"sid\":";
  settings::append_json_string(line, sid);
  line += ",\"attrs\":{";
  return line;
}

}  // namespace

std::string ready_line(std::string_view sid, std::string_view description) {
  auto line = start_line("ready", sid);
  line += "},\"text\":";
  settings::append_json_string(line, description);
  line += "}\n";
  return line;
}

std::string close_line(std::string_view sid, core::Cause cause, std::optional<Duration> wait) {
  auto line = start_line("close", sid);
  if (wait) {
    line += "\"wait\":\"" +
            std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(*wait).count()) + "\"";
  }
  line += "},\"code\":" + std::to_string(static_cast<int>(cause)) + "}\n";
  return line;
}

std::string closed_line(std::string_view sid) {
  return start_line("closed", sid) + "}}\n";
}

std::string health_check_answer_line(std::string_view sid, bool passed) {
  return start_line("probed", sid) + "},\"code\":" + (passed ? "1" : "0") + "}\n";
}

}  // namespace amberknot::jsonl
