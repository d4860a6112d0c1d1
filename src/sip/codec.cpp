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

bool same(std::string_view a, std::string_view b) {
  return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           const auto low = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; };
           return low(x) == low(y);
         });
}

template <typename T>
std::optional<T> whole(std::string_view text) {
  T value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

/// The request line or status line; false: neither.
bool read_first_line(std::string_view line, SipHead& head) {
  constexpr std::string_view kVersion = "SIP/2.0";
  if (line.substr(0, kVersion.size() + 1) == "SIP/2.0 ") {
    const auto code = whole<int>(line.substr(kVersion.size() + 1, 3));
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

}  // namespace

SipRead read_sip(std::string_view bytes, std::size_t most) {
  SipRead read;
  // Blank lines between messages keep connections alive.
  std::size_t at = 0;
  while (at < bytes.size() && (bytes[at] == '\r' || bytes[at] == '\n')) ++at;
  const std::size_t end = bytes.find("\r\n\r\n", at);
  if (end == std::string_view::npos) {
    if (bytes.size() - at > most) read.state = SipRead::State::kBad;
    return read;
  }
  read.state = SipRead::State::kBad;
  auto& head = read.head;
  head.head_size = end + 4;
  bool has_length = false;
  std::size_t lines = 0;
  while (at < end + 2) {
    std::size_t stop = bytes.find("\r\n", at);
    // A line that begins with white space goes on with the one before.
    while (stop < end && (bytes[stop + 2] == ' ' || bytes[stop + 2] == '\t'))
      stop = bytes.find("\r\n", stop + 2);
    const auto line = bytes.substr(at, stop - at);
    at = stop + 2;
    if (lines++ == 0) {
      if (!read_first_line(line, head)) return read;
      continue;
    }
    if (lines > kMaxHeaders) return read;
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) return read;
    const auto name = trim(line.substr(0, colon));
    const auto value = trim(line.substr(colon + 1));
    if (same(name, "Call-ID") || same(name, "i")) head.call_id = value;
    if (same(name, "Via") || same(name, "v")) head.via = head.via.empty() ? value : head.via;
    if (same(name, "CSeq")) head.cseq = value;
    if (same(name, "Reason")) head.reason = value;
    if (same(name, "X-Diagnosis")) head.diagnosis = value;
    if (same(name, "X-Occupancy")) head.occupancy = value;
    if (same(name, "X-Lag")) head.lag = value;
    if (same(name, "Content-Length") || same(name, "l")) {
      const auto size = whole<std::size_t>(value);
      if (!size || *size > most || (has_length && *size != head.body_size)) return read;
      has_length = true;
      head.body_size = *size;
    }
  }
  if (!has_length || head.head_size + head.body_size > most) return read;
  if (const auto space = head.cseq.find(' '); space != std::string_view::npos) {
    head.sequence = whole<std::uint32_t>(head.cseq.substr(0, space)).value_or(0);
    if (head.status != 0) head.method = trim(head.cseq.substr(space));
  }
  if (head.status != 0 && head.method.empty()) return read;
  if (bytes.size() < read.size()) {
    read.state = SipRead::State::kMore;
    return read;
  }
  read.body = bytes.substr(head.head_size, head.body_size);
  read.state = SipRead::State::kWhole;
  return read;
}

bool is_description(std::string_view body) {
  if (body.empty()) return false;
  for (std::size_t i = 0; i < body.size(); ++i) {
    const auto c = static_cast<unsigned char>(body[i]);
    if (c < 0x80) {
      if (c < 0x20 ? c != '\r' && c != '\n' && c != '\t' : c == 0x7f) return false;
      continue;
    }
    // Beyond ASCII only whole UTF-8 sequences, in their shortest form.
    const std::size_t more = c >= 0xc2 && c <= 0xdf   ? 1
                             : (c & 0xf0U) == 0xe0    ? 2
                             : c >= 0xf0 && c <= 0xf4 ? 3
                                                      : 0;
    if (more == 0 || i + more >= body.size()) return false;
    const auto second = static_cast<unsigned char>(body[i + 1]);
    const unsigned low = c == 0xe0 ? 0xa0 : c == 0xf0 ? 0x90 : 0x80;
    const unsigned high = c == 0xed ? 0x9f : c == 0xf4 ? 0x8f : 0xbf;
    if (second < low || second > high) return false;
    for (std::size_t k = 2; k <= more; ++k) {
      if ((static_cast<unsigned char>(body[i + k]) & 0xc0U) != 0x80) return false;
    }
    i += more;
  }
  return true;
}

std::optional<int> read_reason(std::string_view reason) {
  const auto at = reason.find("cause=");
  if (reason.substr(0, 5) != "Q.850" || at == std::string_view::npos) return std::nullopt;
  auto digits = reason.substr(at + 6);
  digits = digits.substr(0, digits.find_first_not_of("0123456789"));
  return whole<int>(digits);
}

std::optional<Duration> read_lag(std::string_view diagnosis, std::string_view lag) {
  if (diagnosis != "acc") return std::nullopt;
  const auto wait = whole<std::uint32_t>(lag);
  if (!wait || *wait == 0) return std::nullopt;
  return std::chrono::milliseconds{*wait};
}

LoadReport read_load_report(std::string_view text) {
  LoadReport report;
  while (!text.empty()) {
    const auto part = text.substr(0, text.find(';'));
    text.remove_prefix(std::min(part.size() + 1, text.size()));
    const auto colon = part.find(':');
    if (colon == std::string_view::npos) continue;
    const auto name = trim(part.substr(0, colon));
    const auto value = whole<double>(trim(part.substr(colon + 1)));
    if (value) core::set_load_report_field(report, name, *value);
  }
  return report;
}

namespace {

std::string head_of(std::string_view method, std::string_view user, std::string_view via, std::string_view id,
                    std::uint32_t sequence) {
  std::string head;
  head.reserve(320);
  head.append(method).append(" sip:").append(user).append("@net SIP/2.0\r\nVia: SIP/2.0/TCP ").append(via);
  head.append("\r\nCall-ID: ").append(id).append("\r\nCSeq: ").append(std::to_string(sequence));
  head.append(" ").append(method).append("\r\n");
  return head;
}

}  // namespace

std::string invite_head(const SipCall& call, std::string_view via, std::string_view call_class, Duration wait,
                        std::size_t body_size) {
  auto head = head_of("INVITE", call.number, via, call.id, call.sequence);
  head.append("X-Cos: ").append(call_class).append("\r\nX-Timer-Ms: ");
  head.append(std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(wait).count()));
  head.append("\r\nContent-Length: ").append(std::to_string(body_size)).append("\r\n\r\n");
  return head;
}

std::string request_head(std::string_view method, const SipCall& call, std::string_view via,
                         std::optional<core::Cause> cause) {
  auto head = head_of(method, call.number, via, call.id, call.sequence);
  if (cause)
    head.append("Reason: Q.850;cause=").append(std::to_string(static_cast<int>(*cause))).append("\r\n");
  head.append("Content-Length: 0\r\n\r\n");
  return head;
}

std::string options_head(std::string_view id, std::string_view via) {
  return head_of("OPTIONS", "load", via, id, 1).append("Content-Length: 0\r\n\r\n");
}

std::string ok_head(const SipHead& request) {
  std::string head = "SIP/2.0 200 OK\r\n";
  if (!request.via.empty()) head.append("Via: ").append(request.via).append("\r\n");
  head.append("Call-ID: ").append(request.call_id).append("\r\nCSeq: ").append(request.cseq);
  head.append("\r\nContent-Length: 0\r\n\r\n");
  return head;
}

}  // namespace amberknot::sip
