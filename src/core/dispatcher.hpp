// The decision module in blocking style: say what happened, get back what to do. Its events, actions and
// timers are seen here and nowhere else.
#pragma once

#include <cstdint>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "amberknot/admission.hpp"

namespace amberknot::core {

struct Decision {
  enum class Kind { kSend, kRefuse, kFail, kCancel, kProbe, kTell, kNote };
  Kind kind = Kind::kNote;
  CallId call{};
  ServerId server{};
  std::uint32_t attempt = 0;
  Duration time{};  ///< kSend: the wait, zero for the caller's; kRefuse: the time to stay away
  std::vector<std::uint8_t> bytes;  ///< kTell
  std::string text;                 ///< kNote
};
using Decisions = std::vector<Decision>;

struct CallFacts {
  Instant expires{};
  std::optional<CellNo> first_choice;
  double width = 1;
  std::size_t call_class = 0;
  std::size_t tenant = 0;
  bool was_cut = false;
  VersionSet ruled_out = 0;
};

struct EndFacts {
  Outcome outcome = Outcome::kOk;
  Duration taken{};
  bool call_ended = false;
  bool of_the_call = false;
  VersionSet rules_out = 0;
  Report load;
  std::optional<Duration> asked_wait = {};  ///< by a full server, of everybody
};

struct ServerFacts {
  ServerId server{};
  CellNo cell{};
  ListState state = ListState::kReady;
  std::optional<Instant> started;
  VersionNo version{};
};

class Dispatcher {
 public:
  Dispatcher(Settings settings, Instant now);

  Decisions pick(Instant now, CallId call, const CallFacts& facts);

  Decisions report_stood(Instant now, CallId call, ServerId server, std::uint32_t attempt, Duration taken);
  Decisions report_end(Instant now, CallId call, ServerId server, std::uint32_t attempt,
                       const EndFacts& facts);
  Decisions report_given_up(Instant now, CallId call);
  Decisions report_probe(Instant now, ServerId server, Outcome outcome, Duration taken, const Report& load);
  Decisions report_load(Instant now, ServerId server, const Report& load);
  Decisions report_servers(Instant now, bool whole_list, const std::vector<ServerFacts>& servers);
  Decisions report_peer(Instant now, std::uint32_t from, std::vector<std::uint8_t> bytes);

  Decisions tick(Instant now);
  /// When tick() has something to do next.
  [[nodiscard]] std::optional<Instant> next_tick() const;

  [[nodiscard]] const Settings& settings() const { return settings_; }
  /// The longest deadline of any class of call: no call waits longer.
  [[nodiscard]] Duration longest_deadline() const;
  /// Classes and limits of new settings; see Admission::retune.
  void retune(const std::vector<CallClass>& classes, const Limits& limits) {
    admission_.retune(classes, limits);
    settings_.classes = classes;
    settings_.limits = limits;
  }

 private:
  struct Due {
    Instant when;
    TimerHandle handle;
    bool operator>(const Due& other) const { return when > other.when; }
  };
  void gather(std::vector<Action>& actions, Decisions& decisions);
  Decisions run(Instant now, const Event& event);

  Settings settings_;
  Admission admission_;
  Decisions at_start_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
};

}  // namespace amberknot::core
