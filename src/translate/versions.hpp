// Tracks which dialect each server supports. The dialect is configured, or learned from the server on each
// connection and discarded when the server's process is replaced. This is a state machine without I/O: it
// takes events and returns actions. The table of its transitions is in docs/translation.md.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "amberknot/admission.hpp"
#include "core/placement.hpp"
#include "translate/dialect.hpp"

namespace amberknot::translate {

/// Index of a dialect in the router's list of server dialects. The decision module knows dialects by it.
using DialectIndex = ProtocolVersion;
inline constexpr std::size_t kMaxDialects = 31;  // number 31 stands for an unknown dialect
/// A set of server dialects.
using DialectSet = ProtocolVersionSet;
using core::version_set;

/// Timeouts of the state machine.
struct VersionRules {
  Duration answer_timeout = std::chrono::milliseconds{500};   ///< of a versions request
  Duration min_retry_delay = std::chrono::milliseconds{500};  ///< after the first failed request
  Duration max_retry_delay = std::chrono::seconds{30};        ///< the delay doubles up to this
  Duration learned_version_ttl = std::chrono::minutes{10};    ///< until a learned dialect is requested again
};

/// What is known about the dialect of a server.
enum class VersionState : std::uint8_t {
  kUnknown,     ///< no dialect is known, and there is no connection on which to request it
  kRequesting,  ///< a versions request is unanswered
  kKnown,       ///< the dialect was learned from the server
  kConfigured,  ///< the operator configured the dialect; answers of the server are ignored
  /// The server has no dialect in common with this router, or did not answer. It is asked again after a
  /// delay.
  kUnsupported,
};

/// What the owner of the state machine has to do after an event.
struct VersionAction {
  enum class Kind : std::uint8_t {
    kRequest,  ///< send a versions request on the connection
    kChanged,  ///< the server's dialect changed: inform the decision module and use the new one for set-ups
  };
  Kind kind{};
  ServerId server{};
  std::uint64_t connection = 0;           ///< kRequest
  std::optional<DialectIndex> dialect{};  ///< kChanged; nullopt if no dialect is known any more
  friend bool operator==(const VersionAction&, const VersionAction&) = default;
};

/// The dialects of all servers, and the dialect in which each call was set up. Servers that are not listed
/// are ignored in all events. Not thread-safe.
class Versions {
 public:
  using Actions = std::vector<VersionAction>;

  /// `ranks` has a preference for each server dialect; the highest is chosen. Zero marks a dialect that can
  /// only be configured, because its servers do not announce it (SIP and Diameter).
  Versions(VersionRules rules, std::vector<std::uint32_t> ranks) : rules_(rules), ranks_(std::move(ranks)) {}

  /// The list of servers contains this server. `started` is larger for each new process of the server; a
  /// changed address also means a new process. `configured` is the dialect that the operator set, if any.
  void on_server_listed(Instant now, ServerId server, std::string_view address, std::int64_t started,
                        std::optional<DialectIndex> configured, Actions& actions);
  /// The server was removed from the list. Its calls keep their pinned dialect.
  void on_server_removed(ServerId server);

  /// A connection to the server is established. Each connection has its own number, so that a late answer
  /// from an earlier connection is ignored.
  void on_connected(Instant now, ServerId server, std::uint64_t connection, Actions& actions);
  /// A connection to the server is closed.
  void on_disconnected(Instant now, ServerId server, std::uint64_t connection);
  /// The server answered a versions request with its dialects and the name of its process, which may be
  /// empty. A new name at the same address means that the process was replaced, whatever the list of servers
  /// says.
  void on_versions_received(Instant now, ServerId server, std::uint64_t connection, std::string_view process,
                            std::span<const DialectIndex> supported, Actions& actions);
  /// The server answered a message with an error that says that it does not support the dialect (such as
  /// status 505 or 415).
  void on_version_rejected(Instant now, ServerId server, std::uint64_t connection, DialectIndex dialect,
                           Actions& actions);
  /// Handles answers that are overdue, delays that have ended and learned dialects that are due for a check.
  void on_timer(Instant now, Actions& actions);
  /// When on_timer() has to be called next; nullopt if there is nothing to wait for.
  [[nodiscard]] std::optional<Instant> next_timer() const;

  /// The dialect for new set-ups at the server; nullopt if none is known.
  [[nodiscard]] std::optional<DialectIndex> dialect_of(ServerId server) const;
  /// kUnknown for a server that is not listed.
  [[nodiscard]] VersionState state(ServerId server) const;
  /// The dialects that at least one server uses now.
  [[nodiscard]] DialectSet dialects_in_use() const;
  /// Number of listed servers.
  [[nodiscard]] std::size_t server_count() const { return servers_.size(); }

  /// Records the dialect in which a call is set up. All later messages of the call use it, even after the
  /// server has changed its dialect. A new attempt of the call replaces it.
  void pin(CallId call, DialectIndex dialect) { pins_[call] = dialect; }
  [[nodiscard]] std::optional<DialectIndex> pinned(CallId call) const;
  void unpin(CallId call) { pins_.erase(call); }
  /// Number of calls with a pinned dialect.
  [[nodiscard]] std::size_t pins() const { return pins_.size(); }

  /// Event counts since the start.
  struct Counts {
    std::uint64_t requests = 0, learned = 0, discarded = 0, unsupported = 0, rejected = 0, stale_answers = 0,
                  downgraded = 0;
  };
  [[nodiscard]] const Counts& counts() const { return counts_; }

 private:
  struct Server {
    VersionState state = VersionState::kUnknown;
    std::string address;
    std::int64_t started = 0;
    std::string process;  ///< name that the process gave in its last answer; may be empty
    std::optional<DialectIndex> dialect;
    DialectSet rejected = 0;                 ///< dialects that this process does not support
    std::uint64_t request_connection = 0;    ///< connection of the last versions request
    std::vector<std::uint64_t> connections;  ///< established connections, the oldest first
    std::optional<Instant> due;              ///< end of the current state's timeout
    Duration retry_delay{};
  };

  /// Returns the server whose answer arrived on this connection. Returns null if the answer is to be ignored:
  /// the server is not listed, its dialect is configured, or the connection is not one of its established
  /// connections.
  Server* find_connected(ServerId id, std::uint64_t connection);
  /// Requests the versions on the newest connection, if there is one.
  void request_versions(Instant now, ServerId id, Server& server, Actions& actions);
  /// Discards everything that was learned about the server.
  void discard_learned(ServerId id, Server& server, Actions& actions);
  /// Stops set-ups to the server until a later versions request succeeds.
  void mark_unsupported(Instant now, ServerId id, Server& server, Actions& actions);
  /// Changes the server's dialect and reports the change.
  void set_dialect(ServerId id, Server& server, std::optional<DialectIndex> dialect, Actions& actions);
  /// Returns the usable dialect with the highest rank, or nullopt if there is none.
  [[nodiscard]] std::optional<DialectIndex> preferred_dialect(const Server& server,
                                                              std::span<const DialectIndex> supported) const;

  VersionRules rules_;
  std::vector<std::uint32_t> ranks_;
  /// Ordered, so that the same events give the same actions on every machine.
  std::map<ServerId, Server> servers_;
  std::unordered_map<CallId, DialectIndex> pins_;
  Counts counts_;
};

}  // namespace amberknot::translate
