// A session server that speaks SIP over TCP, as the protocol page describes it. The case decides what it
// answers.
#pragma once

#include "stand_ins.hpp"

namespace review {

struct SipMessage {
  std::string first_line, call_id, cseq, head, body;
  /// The method; of an answer the one in its CSeq.
  [[nodiscard]] std::string method() const {
    return is_answer() ? cseq.substr(cseq.find(' ') + 1) : first_line.substr(0, first_line.find(' '));
  }
  [[nodiscard]] bool is_answer() const { return first_line.rfind("SIP/2.0 ", 0) == 0; }
};

class SipServer {
 public:
  /// Called with each message; `connection` identifies the connection on which it came.
  std::function<void(int connection, const SipMessage&)> on_message;
  /// Called when bytes cannot be read as SIP: the connection has been closed, with the calls whose set-up was
  /// open.
  std::function<void(int connection, const std::string& bytes)> on_unreadable;
  std::function<void(int connection)> on_closed;

  /// `report` returns the state of the group at that moment.
  SipServer(Loop& loop, std::function<std::string()> report)
      : loop_(loop), listener_(listen_on(0)), report_(std::move(report)) {
    loop_.watch(listener_, [this] { accept(); });
  }
  [[nodiscard]] std::uint16_t port() const { return port_of(listener_); }
  [[nodiscard]] const std::set<int>& connections() const { return connections_; }

  /// Tells the state of the group on the open connections.
  void report_state() {
    for (const int fd : connections_) request(fd, "NOTIFY", "state", "X-Occupancy: " + report_() + "\r\n");
  }
  static void answer(int connection, const SipMessage& to, const std::string& status,
                     const std::string& more = {}, const std::string& body = {}) {
    send_all(connection, "SIP/2.0 " + status + "\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: " + to.call_id +
                             "\r\nCSeq: " + to.cseq + "\r\n" + more +
                             "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  static void request(int connection, const std::string& method, const std::string& call_id,
                      const std::string& more = {}) {
    send_all(connection, method + " sip:router@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: " + call_id +
                             "\r\nCSeq: 1 " + method + "\r\n" + more + "Content-Length: 0\r\n\r\n");
  }

 private:
  void accept() {
    const int fd = accept_on(listener_);
    if (fd < 0) return;
    connections_.insert(fd);
    // The state of the group comes first of all on each new connection.
    request(fd, "NOTIFY", "state", "X-Occupancy: " + report_() + "\r\n");
    auto input = std::make_shared<std::string>();
    loop_.watch(fd, [this, fd, input] {
      const bool is_open = read_into(fd, *input);
      while (connections_.contains(fd) && take_message(fd, *input)) {
      }
      if (!is_open && connections_.contains(fd)) end(fd);
    });
  }
  void end(int fd) {
    connections_.erase(fd);
    loop_.forget(fd);
    ::close(fd);
    if (on_closed) on_closed(fd);
  }
  static std::string header(const std::string& head, const std::string& name) {
    const auto at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) return {};
    const auto from = at + name.size() + 4;
    return head.substr(from, head.find("\r\n", from) - from);
  }
  bool take_message(int fd, std::string& input) {
    const auto end_of_head = input.find("\r\n\r\n");
    if (end_of_head == std::string::npos) return false;
    SipMessage message;
    message.head = input.substr(0, end_of_head + 2);
    message.first_line = message.head.substr(0, message.head.find("\r\n"));
    message.call_id = header(message.head, "Call-ID");
    message.cseq = header(message.head, "CSeq");
    const auto size = header(message.head, "Content-Length");
    if (!is_first_line(message.first_line) || message.call_id.empty() || message.cseq.empty() ||
        size.empty()) {
      // Servers close on what they cannot read, whatever else is open on that connection.
      const auto bytes = message.head;
      end(fd);
      if (on_unreadable) on_unreadable(fd, bytes);
      return false;
    }
    const auto total = end_of_head + 4 + std::strtoul(size.c_str(), nullptr, 10);
    if (input.size() < total) return false;
    message.body = input.substr(end_of_head + 4, total - end_of_head - 4);
    input.erase(0, total);
    if (on_message) on_message(fd, message);
    return true;
  }
  /// RFC 3261: a request line is METHOD, blank, address, blank, version, all of printable ASCII characters.
  static bool is_first_line(const std::string& line) {
    for (const char c : line) {
      if (c < 0x20 || c > 0x7e) return false;
    }
    if (line.rfind("SIP/2.0 ", 0) == 0) return true;
    const auto first = line.find(' ');
    const auto last = line.rfind(' ');
    return first != std::string::npos && line.find(' ', first + 1) == last && last != first &&
           line.substr(last) == " SIP/2.0" && line.compare(first + 1, 4, "sip:") == 0;
  }
  Loop& loop_;
  int listener_;
  std::function<std::string()> report_;
  std::set<int> connections_;
};

}  // namespace review
