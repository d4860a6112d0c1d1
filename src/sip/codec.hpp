// SIP messages between this router and the session servers: heads read in place, written as text.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "core/ports.hpp"

namespace amberknot::sip {

struct SipHead {
  int status = 0;           ///< zero for a request
  std::string_view method;  ///< of a request in its first line, of an answer in CSeq
  std::uint32_t sequence = 0;
  std::string_view call_id;
  std::string_view via, cseq, reason, diagnosis, occupancy, lag;
  std::size_t head_size = 0;
  std::size_t body_size = 0;
};

struct SipRead {
  enum class State { kMore, kBad, kWhole };
  State state = State::kMore;
  SipHead head;
  std::string_view body;
  [[nodiscard]] std::size_t size() const { return head.head_size + head.body_size; }
};

/// The first message in the buffer, `most` bytes at the longest. Views lead into the buffer.
SipRead read_sip(std::string_view bytes, std::size_t most);

/// Whether a body can be a session's description: text in lines, nothing torn off at the end.
bool is_description(std::string_view body);

/// `Q.850;cause=16`; empty: names no cause.
std::optional<int> read_reason(std::string_view reason);
/// How long a full processor (`acc`) asks us to wait: whole milliseconds. Nothing where it does not say so.
std::optional<Duration> read_lag(std::string_view diagnosis, std::string_view lag);
/// `x0:12;x1:40;queue:3`, also under the settings' names. What cannot be read is left out.
LoadReport read_load_report(std::string_view text);

struct SipCall {
  std::string_view id, number;
  std::uint32_t sequence = 1;
};
std::string invite_head(const SipCall& call, std::string_view via, std::string_view call_class, Duration wait,
                        std::size_t body_size);
/// ACK, CANCEL or BYE; a cause goes into `Reason`.
std::string request_head(std::string_view method, const SipCall& call, std::string_view via,
                         std::optional<core::Cause> cause = std::nullopt);
std::string options_head(std::string_view id, std::string_view via);
/// 200 to a request of the other side.
std::string ok_head(const SipHead& request);

}  // namespace amberknot::sip
