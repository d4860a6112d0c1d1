#include "sip/codec.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "core/load_report.hpp"

namespace amberknot::sip {
namespace {

constexpr std::size_t kMaxHeaders = 64;

std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t' || text.back() == '\r')) {
    text.remove_suffix(1);
  }
  return text;
}

bool equals_ignoring_case(std::string_view a, std::string_view b) {
  return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           const auto to_lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; };
           return to_lower(x) == to_lower(y);
         });
}

template <typename T>
std::optional<T> parse_number(std::string_view text) {
  T value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

/// Parses a request line or status line into `head`. Returns false if the line is neither.
bool parse_start_line(std::string_view line, SipHead& head) {
  constexpr std::string_view kVersion = "SIP/2.0";
  if (line.substr(0, kVersion.size() + 1) == "SIP/2.0 ") {
    const auto code = parse_number<int>(line.substr(kVersion.size() + 1, 3));
    if (!code || *code < 100 || *code > 699) return false;
    head.status = *code;
    return true;
  }
  const auto space = line.find(' ');
  if (space == 0 || space == std::string_view::npos) return false;
  if (line.size() < kVersion.size() || line.substr(line.size() - kVersion.size()) != kVersion) return false;
  head.method = line.substr(0, space);
  return true;
}

std::string_view skip_blank_lines(std::string_view bytes) {
  return bytes.substr(std::min(bytes.find_first_not_of("\r\n"), bytes.size()));
}

/// Whether the bytes after a message can be the start of another one. If not, the length of the message does
/// not fit.
bool may_start_message(std::string_view bytes) {
  bytes = skip_blank_lines(bytes);
  const auto line_end = bytes.find("\r\n");
  if (line_end != std::string_view::npos) {
    SipHead head;
    return parse_start_line(bytes.substr(0, line_end), head);
  }
  // The start line is still incomplete. Methods are written in capital letters, as is the version.
  return bytes.empty() || (bytes.front() >= 'A' && bytes.front() <= 'Z');
}

}  // namespace

SipParseResult parse_sip_message(std::string_view bytes, std::size_t max_size) {
  SipParseResult read;
  // Peers may send blank lines between messages as keep-alives (RFC 5626, section 3.5.1).
  std::size_t at = bytes.size() - skip_blank_lines(bytes).size();
  const std::size_t end = bytes.find("\r\n\r\n", at);
  if (end == std::string_view::npos) {
    if (bytes.size() - at > max_size) read.state = SipParseResult::State::kMalformed;
    return read;
  }
  read.state = SipParseResult::State::kMalformed;
  auto& head = read.head;
  head.head_size = end + 4;
  bool has_content_length = false;
  std::size_t line_count = 0;
  while (at < end + 2) {
    std::size_t line_end = bytes.find("\r\n", at);
    // A line that starts with white space continues the previous header field (RFC 3261, section 7.3.1).
    while (line_end < end && (bytes[line_end + 2] == ' ' || bytes[line_end + 2] == '\t'))
      line_end = bytes.find("\r\n", line_end + 2);
    const auto line = bytes.substr(at, line_end - at);
    at = line_end + 2;
    if (line_count++ == 0) {
      if (!parse_start_line(line, head)) return read;
      continue;
    }
    if (line_count > kMaxHeaders) return read;
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) return read;
    const auto name = trim(line.substr(0, colon));
    const auto value = trim(line.substr(colon + 1));
    if (equals_ignoring_case(name, "Call-ID") || equals_ignoring_case(name, "i")) head.call_id = value;
    if (equals_ignoring_case(name, "Via") || equals_ignoring_case(name, "v"))
      head.via = head.via.empty() ? value : head.via;
    if (equals_ignoring_case(name, "CSeq")) head.cseq = value;
    if (equals_ignoring_case(name, "Reason")) head.reason = value;
    if (equals_ignoring_case(name, "X-Diagnosis")) head.diagnosis = value;
    if (equals_ignoring_case(name, "X-Occupancy")) head.occupancy = value;
    if (equals_ignoring_case(name, "X-Lag")) head.lag = value;
    if (equals_ignoring_case(name, "Content-Length") || equals_ignoring_case(name, "l")) {
      const auto size = parse_number<std::size_t>(value);
      if (!size || *size > max_size || (has_content_length && *size != head.body_size)) return read;
      has_content_length = true;
      head.body_size = *size;
    }
  }
  if (!has_content_length || head.head_size + head.body_size > max_size) return read;
  if (const auto space = head.cseq.find(' '); space != std::string_view::npos) {
    head.sequence = parse_number<std::uint32_t>(head.cseq.substr(0, space)).value_or(0);
    if (head.status != 0) head.method = trim(head.cseq.substr(space));
  }
  if (head.status != 0 && head.method.empty()) return read;
  if (bytes.size() < read.size()) {
    read.state = SipParseResult::State::kIncomplete;
    return read;
  }
  if (!may_start_message(bytes.substr(read.size()))) return read;
  read.body = bytes.substr(head.head_size, head.body_size);
  read.state = SipParseResult::State::kComplete;
  return read;
}

std::optional<int> parse_q850_cause(std::string_view reason) {
  const auto at = reason.find("cause=");
  if (reason.substr(0, 5) != "Q.850" || at == std::string_view::npos) return std::nullopt;
  auto digits = reason.substr(at + 6);
  digits = digits.substr(0, digits.find_first_not_of("0123456789"));
  return parse_number<int>(digits);
}

std::optional<Duration> parse_retry_after(std::string_view diagnosis, std::string_view lag) {
  if (diagnosis != "acc") return std::nullopt;
  const auto wait_ms = parse_number<std::uint32_t>(lag);
  if (!wait_ms || *wait_ms == 0) return std::nullopt;
  return std::chrono::milliseconds{*wait_ms};
}

LoadReport parse_load_report(std::string_view text) {
  LoadReport report;
  while (!text.empty()) {
    const auto part = text.substr(0, text.find(';'));
    text.remove_prefix(std::min(part.size() + 1, text.size()));
    const auto colon = part.find(':');
    if (colon == std::string_view::npos) continue;
    const auto name = trim(part.substr(0, colon));
    const auto value = parse_number<double>(trim(part.substr(colon + 1)));
    if (value) core::set_load_report_field(report, name, *value);
  }
  return report;
}

namespace {

std::string start_request(std::string_view method, std::string_view user, std::string_view via,
                          std::string_view id, std::uint32_t sequence) {
  std::string head;
  head.reserve(320);
  head.append(method).append(" sip:").append(user).append("@net SIP/2.0\r\nVia: SIP/2.0/TCP ").append(via);
  head.append("\r\nCall-ID: ").append(id).append("\r\nCSeq: ").append(std::to_string(sequence));
  head.append(" ").append(method).append("\r\n");
  return head;
}

}  // namespace

std::string invite_head(const SipCall& call, std::string_view via, std::string_view call_class,
                        Duration answer_timeout, std::size_t body_size) {
  auto head = start_request("INVITE", call.number, via, call.id, call.sequence);
  head.append("X-Cos: ").append(call_class).append("\r\nX-Timer-Ms: ");
  head.append(std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(answer_timeout).count()));
  head.append("\r\nContent-Length: ").append(std::to_string(body_size)).append("\r\n\r\n");
  return head;
}

std::string request_head(std::string_view method, const SipCall& call, std::string_view via,
                         std::optional<core::Cause> cause) {
  auto head = start_request(method, call.number, via, call.id, call.sequence);
  if (cause)
    head.append("Reason: Q.850;cause=").append(std::to_string(static_cast<int>(*cause))).append("\r\n");
  head.append("Content-Length: 0\r\n\r\n");
  return head;
}

std::string options_head(std::string_view id, std::string_view via) {
  return start_request("OPTIONS", "load", via, id, 1).append("Content-Length: 0\r\n\r\n");
}

std::string ok_response_head(const SipHead& request) {
  std::string head = "SIP/2.0 200 OK\r\n";
  if (!request.via.empty()) head.append("Via: ").append(request.via).append("\r\n");
  head.append("Call-ID: ").append(request.call_id).append("\r\nCSeq: ").append(request.cseq);
  head.append("\r\nContent-Length: 0\r\n\r\n");
  return head;
}

}  // namespace amberknot::sip
