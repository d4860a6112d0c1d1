// The callers' front: accepts connections, reads JSON lines, and answers on whatever connection of the
// caller is open.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "core/call_table.hpp"
#include "core/counters.hpp"
#include "net/jsonl.hpp"
#include "net/stream.hpp"

namespace amberknot::net {

/// Names of the settings, as they stand in set-ups.
struct Names {
  std::vector<std::string> classes;
  std::vector<std::string> tenants;
};

class JsonlFront : public core::ClientPort, public Stream::Owner {
 public:
  JsonlFront(Loop& loop, core::CallTable& table, core::Counters& counters, const Names& names,
             const asio::ip::tcp::endpoint& listen, std::size_t most_connections);

  bool answer(CallId call, std::string_view description) override;
  void refuse(CallId call, Duration stay_away) override;
  void fail(CallId call, core::Cause cause) override;
  void release(CallId call, core::Cause cause) override;

  [[nodiscard]] asio::ip::tcp::endpoint local() const { return acceptor_.local_endpoint(); }

 private:
  struct Call {
    std::string sid;
    std::shared_ptr<Stream> stream;
    asio::ip::address caller;
    bool answered = false;
  };

  void accept();
  std::size_t on_bytes(Stream& stream, std::span<char> bytes) override;
  void on_closed(Stream& stream, Closed why) override;
  bool on_line(Stream& stream, std::span<char> line, char* end);
  void open(Stream& stream, const JsonLine& line);
  void close(Stream& stream, const JsonLine& line);
  /// The final message of a call; on its own connection before the answer, on any of the caller's after it.
  void finish(CallId call, std::string line);
  std::shared_ptr<Stream> any_of(const asio::ip::address& caller);
  void reap();

  Loop& loop_;
  core::CallTable& table_;
  core::Counters& counters_;
  const Names& names_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer pause_;
  std::size_t most_connections_;
  JsonLineReader reader_;
  std::map<Stream*, std::shared_ptr<Stream>> streams_;
  std::unordered_map<CallId, Call> calls_;
  std::unordered_map<std::string, CallId> by_sid_;
  std::map<asio::ip::address, std::deque<std::string>>
      undelivered_;  ///< releases for callers without a connection
};

}  // namespace amberknot::net
