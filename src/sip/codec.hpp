// Codec for the SIP messages exchanged with the session servers. Heads are parsed in place, without copying.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "core/ports.hpp"

namespace amberknot::sip {

/// The start line and the header fields of a SIP message that the router uses. All views refer to the buffer
/// that was parsed.
struct SipHead {
  int status = 0;              ///< status code of a response; 0 for a request
  std::string_view method;     ///< from the request line of a request, from CSeq of a response
  std::uint32_t sequence = 0;  ///< number in CSeq
  std::string_view call_id;
  /// Values of the first Via and of CSeq, Reason, X-Diagnosis, X-Occupancy and X-Lag; empty if absent.
  std::string_view via, cseq, reason, diagnosis, occupancy, lag;
  std::size_t head_size = 0;  ///< bytes, with the blank line and any blank lines before the message
  std::size_t body_size = 0;  ///< bytes, from Content-Length
};

/// Result of parse_sip_message(). `kIncomplete`: the message is incomplete; `kMalformed`: it cannot be
/// parsed, and the connection is out of sync; `kComplete`: `head` and `body` are set.
struct SipParseResult {
  enum class State { kIncomplete, kMalformed, kComplete };
  State state = State::kIncomplete;
  SipHead head;
  std::string_view body;
  /// Bytes that the message takes up in the buffer.
  [[nodiscard]] std::size_t size() const { return head.head_size + head.body_size; }
};

/// Parses the first message in the buffer. A message of more than `max_size` bytes is malformed, and so is
/// one that is followed by bytes that cannot start another message. The views in the result refer to the
/// buffer.
SipParseResult parse_sip_message(std::string_view bytes, std::size_t max_size);

/// Parses a Reason header value such as `Q.850;cause=16`. Returns nullopt if it names no Q.850 cause.
std::optional<int> parse_q850_cause(std::string_view reason);
/// Parses X-Lag, the number of milliseconds after which a server with a full processor (X-Diagnosis `acc`)
/// accepts set-ups again. Returns nullopt for any other diagnosis and for anything but a positive whole
/// number.
std::optional<Duration> parse_retry_after(std::string_view diagnosis, std::string_view lag);
/// Parses an X-Occupancy value such as `x0:12;x1:40;queue:3`; the field names of the settings are accepted
/// too. Entries that cannot be parsed are skipped.
LoadReport parse_load_report(std::string_view text);

/// What identifies a call in a request: Call-ID, called number and CSeq number.
struct SipCall {
  std::string_view id, number;
  std::uint32_t sequence = 1;
};

/// Returns the head of an INVITE. `answer_timeout` is how long the router waits for an answer (X-Timer-Ms),
/// `body_size` the length of the body that follows, in bytes.
std::string invite_head(const SipCall& call, std::string_view via, std::string_view call_class,
                        Duration answer_timeout, std::size_t body_size);
/// Returns an ACK, CANCEL or BYE without a body. A cause is written as the Reason header.
std::string request_head(std::string_view method, const SipCall& call, std::string_view via,
                         std::optional<core::Cause> cause = std::nullopt);
/// Returns an OPTIONS request, which servers answer with a load report.
std::string options_head(std::string_view id, std::string_view via);
/// Returns a 200 OK response to a request from the peer.
std::string ok_response_head(const SipHead& request);

}  // namespace amberknot::sip
