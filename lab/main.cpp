// The lab's command line: runs fleets and ends with one JSON line and a non-zero exit on a broken rule.
#include <CLI/CLI.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "app/config.hpp"
#include "lab/fleet/runner.hpp"
#include "lab/fleet/simulation.hpp"

using namespace amberknot;
using namespace amberknot::lab::fleet;

namespace {

struct Words {
  std::uint64_t seed = 1;
  std::size_t nodes = 5, servers = 3;
  double seconds = 10, calls_per_s = 20, work_ms = 20, hold_ms = 800;
  std::string schedule, folder, program, write;
  bool calm = false;
};

ServerTraits traits_of(const Words& words) {
  ServerTraits traits;
  traits.work = Duration{static_cast<std::int64_t>(words.work_ms * 1000)};
  traits.hold = Duration{static_cast<std::int64_t>(words.hold_ms * 1000)};
  return traits;
}

Schedule schedule_of(const Words& words) {
  if (!words.schedule.empty()) {
    auto read = read_schedule(app::read_file(words.schedule));
    return read;
  }
  const Duration length{static_cast<std::int64_t>(words.seconds * 1e6)};
  if (words.calm) return {words.seed, length, {}, {}};
  return draw_schedule(words.seed, words.nodes, words.servers, length);
}

std::string router_beside(const char* self) {
  return (std::filesystem::weakly_canonical(self).parent_path() / "amberknot_router").string();
}

int fleet(const Words& words, const char* self) {
  FleetOptions options;
  options.program = words.program.empty() ? router_beside(self) : words.program;
  options.routers = words.nodes;
  options.servers = words.servers;
  options.calls_per_s = words.calls_per_s;
  options.traits = traits_of(words);
  options.schedule = schedule_of(words);
  std::string made = words.folder;
  if (made.empty()) {
    made = (std::filesystem::temp_directory_path() / "amberknot-fleet-XXXXXX").string();
    if (mkdtemp(made.data()) == nullptr) throw std::runtime_error("no temporary folder");
  }
  options.folder = made;
  std::ofstream(made + "/schedule.json") << text_of(options.schedule) << "\n";  // to play it again
  const auto result = run_fleet(options);
  std::cout << text_of(result.verdict);
  std::cout << summary_of(options.schedule.seed, options.routers, result.history, result.verdict,
                          "\"restarts\":" + std::to_string(result.restarts) +
                              ",\"relayed_bytes\":" + std::to_string(result.relay.bytes) +
                              ",\"relay_resets\":" + std::to_string(result.relay.reset) +
                              ",\"relay_held\":" + std::to_string(result.relay.held) + ",\"worst_late_us\":" +
                              std::to_string(result.worst_late.count()) + ",\"folder\":\"" +
                              (words.folder.empty() && result.verdict.held() ? "" : made) + "\"")
            << std::endl;
  // What shows a broken rule is kept.
  if (words.folder.empty() && result.verdict.held()) std::filesystem::remove_all(made);
  return result.verdict.held() ? 0 : 1;
}

/// One router through a calm day, told in words.
int day(const Words& words, const char* self) {
  FleetOptions options;
  options.program = words.program.empty() ? router_beside(self) : words.program;
  options.routers = 1;
  options.servers = 2;
  options.calls_per_s = words.calls_per_s;
  options.schedule = {words.seed, Duration{static_cast<std::int64_t>(words.seconds * 1e6)}, {}, {}};
  options.folder = (std::filesystem::temp_directory_path() / "amberknot-day-XXXXXX").string();
  if (mkdtemp(options.folder.data()) == nullptr) throw std::runtime_error("no temporary folder");
  std::cout << "One router, two session servers and a caller on loopback, " << words.seconds << " s ..."
            << std::endl;
  const auto result = run_fleet(options);
  const auto count = [&](What what) {
    return std::count_if(result.history.begin(), result.history.end(),
                         [what](const auto& one) { return one.what == what; });
  };
  std::cout << count(What::kSetUp) << " calls: " << count(What::kAnswer) << " answered, "
            << count(What::kRefused) << " refused, " << count(What::kFailed) << " failed, "
            << count(What::kLost) << " lost; " << count(What::kReleased) << " came to their end" << std::endl;
  if (!result.verdict.held()) {
    std::cout << text_of(result.verdict) << "what was written is in " << options.folder << std::endl;
    return 1;
  }
  std::filesystem::remove_all(options.folder);
  std::cout << "every rule held" << std::endl;
  return 0;
}

int simulated(const Words& words) {
  SimulationOptions options;
  options.routers = words.nodes;
  options.servers = words.servers;
  options.calls_per_s = words.calls_per_s;
  options.traits = traits_of(words);
  // As much room for each router's calls at the servers, however many routers there are.
  options.traits.max_out = std::max<std::size_t>(options.traits.max_out, words.nodes * 16 / words.servers);
  options.schedule = schedule_of(words);
  const auto result = simulate(options);
  std::cout << text_of(result.verdict);
  std::cout << summary_of(options.schedule.seed, options.routers, result.history, result.verdict,
                          "\"steps\":" + std::to_string(result.steps))
            << std::endl;
  return result.verdict.held() ? 0 : 1;
}

}  // namespace

int main(int count, char** values) {
  CLI::App program("amberknot_lab: fleets of routers on this machine, with faults between them");
  program.require_subcommand(1);
  Words words;
  int status = 0;
  const auto common = [&words](CLI::App* to) {
    to->add_option("--seed", words.seed, "draws the schedule and all that is random");
    to->add_option("--nodes", words.nodes, "routers")->check(CLI::Range(1, 2000));
    to->add_option("--servers", words.servers, "session servers")->check(CLI::Range(1, 200));
    to->add_option("--seconds", words.seconds, "length of a drawn schedule")->check(CLI::Range(0.5, 600.0));
    to->add_option("--rate", words.calls_per_s, "calls a second at each router")
        ->check(CLI::Range(0.1, 1000.0));
    to->add_option("--work-ms", words.work_ms, "a server's mean time to the answer")
        ->check(CLI::Range(1.0, 5000.0));
    to->add_option("--hold-ms", words.hold_ms, "a call's mean time")->check(CLI::Range(1.0, 60000.0));
    to->add_option("--schedule", words.schedule, "a file instead of a drawn schedule")
        ->check(CLI::ExistingFile);
    to->add_flag("--calm", words.calm, "no faults");
  };
  auto* real = program.add_subcommand("fleet", "real processes, with the relay between them");
  common(real);
  real->add_option("--program", words.program, "the router; else the one beside this program");
  real->add_option("--folder", words.folder, "keeps all that the run writes there");
  real->callback([&] { status = fleet(words, values[0]); });

  auto* calm = program.add_subcommand("day", "one router through a short calm day, with a summary in words");
  calm->add_option("--seconds", words.seconds, "its length")->default_val(5)->check(CLI::Range(3.0, 600.0));
  calm->add_option("--rate", words.calls_per_s, "calls a second")->check(CLI::Range(0.1, 1000.0));
  calm->add_option("--seed", words.seed, "draws all that is random");
  calm->add_option("--program", words.program, "the router; else the one beside this program");
  calm->callback([&] { status = day(words, values[0]); });

  auto* simulation =
      program.add_subcommand("simulate", "the same fleet in simulated time, without processes");
  common(simulation);
  simulation->callback([&] { status = simulated(words); });

  auto* draw = program.add_subcommand("draw", "prints the schedule that a seed draws");
  common(draw);
  draw->callback([&] { std::cout << text_of(schedule_of(words)) << std::endl; });

  try {
    program.parse(count, values);
  } catch (const CLI::ParseError& error) {
    return program.exit(error);
  } catch (const std::exception& error) {
    std::cerr << error.what() << std::endl;
    return 2;
  }
  return status;
}
