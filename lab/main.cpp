// The command line of the lab, which runs fleets of routers. `fleet` and `simulate` end with one line of
// JSON. The exit status is 1 if a rule was broken or the run is inconclusive, and 2 if the run was not
// possible.
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

/// The values of the command line.
struct CommandLine {
  std::uint64_t seed = 1;
  std::uint64_t last_seed = 0;
  std::size_t nodes = 5, servers = 3;
  double seconds = 10, calls_per_s = 20, work_ms = 20, hold_ms = 800;
  std::string schedule, folder, program, write;
  bool calm = false;
};

ServerTraits make_server_traits(const CommandLine& command_line) {
  ServerTraits traits;
  traits.mean_answer_time = Duration{static_cast<std::int64_t>(command_line.work_ms * 1000)};
  traits.mean_call_time = Duration{static_cast<std::int64_t>(command_line.hold_ms * 1000)};
  return traits;
}

Schedule make_schedule(const CommandLine& command_line) {
  if (!command_line.schedule.empty()) {
    auto schedule = parse_schedule(app::read_file(command_line.schedule));
    return schedule;
  }
  const Duration length{static_cast<std::int64_t>(command_line.seconds * 1e6)};
  if (command_line.calm) return {command_line.seed, length, {}, {}};
  return generate_schedule(command_line.seed, command_line.nodes, command_line.servers, length);
}

std::string default_router_path(const char* program_path) {
  return (std::filesystem::weakly_canonical(program_path).parent_path() / "amberknot_router").string();
}

int run_fleet_command(const CommandLine& command_line, const char* program_path) {
  FleetOptions options;
  options.program = command_line.program.empty() ? default_router_path(program_path) : command_line.program;
  options.routers = command_line.nodes;
  options.servers = command_line.servers;
  options.callers.calls_per_s = command_line.calls_per_s;
  options.traits = make_server_traits(command_line);
  options.schedule = make_schedule(command_line);
  std::string folder_path = command_line.folder;
  if (folder_path.empty()) {
    folder_path = (std::filesystem::temp_directory_path() / "amberknot-fleet-XXXXXX").string();
    if (mkdtemp(folder_path.data()) == nullptr) throw std::runtime_error("cannot create a temporary folder");
  }
  options.folder = folder_path;
  std::ofstream(folder_path + "/schedule.json")
      << to_json(options.schedule) << "\n";  // makes the run repeatable
  const auto result = run_fleet(options);
  std::cout << format_verdict(result.verdict);
  std::cout << summary_line(
                   options.schedule.seed, options.routers, result.history, result.verdict,
                   "\"restarts\":" + std::to_string(result.restarts) +
                       ",\"relayed_bytes\":" + std::to_string(result.relay_counts.bytes) +
                       ",\"relay_resets\":" + std::to_string(result.relay_counts.connections_reset) +
                       ",\"relay_held\":" + std::to_string(result.relay_counts.chunks_held) +
                       ",\"worst_late_us\":" + std::to_string(result.max_lateness.count()) +
                       ",\"folder\":\"" +
                       (command_line.folder.empty() && result.verdict.has_passed() ? "" : folder_path) + "\"")
            << std::endl;
  // The files of a run that did not pass are kept.
  if (command_line.folder.empty() && result.verdict.has_passed()) std::filesystem::remove_all(folder_path);
  return result.verdict.has_passed() ? 0 : 1;
}

/// Runs dense trials of a few routers, one for each seed, and prints one line of JSON for each. The files of
/// a trial that did not pass are kept.
int run_soak(const CommandLine& command_line, const char* program_path) {
  std::size_t held = 0;
  std::size_t broken = 0;
  std::size_t inconclusive = 0;
  for (std::uint64_t seed = command_line.seed; seed <= std::max(command_line.seed, command_line.last_seed);
       ++seed) {
    auto options = soak_options(seed, Duration{static_cast<std::int64_t>(command_line.seconds * 1e6)});
    options.program = command_line.program.empty() ? default_router_path(program_path) : command_line.program;
    std::string folder_path = (std::filesystem::temp_directory_path() / "amberknot-soak-XXXXXX").string();
    if (mkdtemp(folder_path.data()) == nullptr) throw std::runtime_error("cannot create a temporary folder");
    options.folder = folder_path;
    std::ofstream(folder_path + "/schedule.json") << to_json(options.schedule) << "\n";
    const auto result = run_fleet(options);
    const bool has_passed = result.verdict.has_passed();
    if (!has_passed) std::cout << format_verdict(result.verdict);
    std::cout << summary_line(
                     seed, options.routers, result.history, result.verdict,
                     "\"faults\":" +
                         std::to_string(options.schedule.links.size() + options.schedule.nodes.size()) +
                         ",\"worst_late_us\":" + std::to_string(result.max_lateness.count()) +
                         ",\"folder\":\"" + (has_passed ? "" : folder_path) + "\"")
              << std::endl;
    if (has_passed) std::filesystem::remove_all(folder_path);
    ++(has_passed ? held : result.verdict.inconclusive_reason.empty() ? broken : inconclusive);
  }
  std::cout << "{\"held\":" << held << ",\"broken\":" << broken << ",\"void\":" << inconclusive << "}"
            << std::endl;
  return broken + inconclusive == 0 ? 0 : 1;
}

/// Runs one router without faults and prints a summary in words.
int run_day(const CommandLine& command_line, const char* program_path) {
  FleetOptions options;
  options.program = command_line.program.empty() ? default_router_path(program_path) : command_line.program;
  options.routers = 1;
  options.servers = 2;
  options.callers.calls_per_s = command_line.calls_per_s;
  options.schedule = {
      command_line.seed, Duration{static_cast<std::int64_t>(command_line.seconds * 1e6)}, {}, {}};
  options.folder = (std::filesystem::temp_directory_path() / "amberknot-day-XXXXXX").string();
  if (mkdtemp(options.folder.data()) == nullptr) throw std::runtime_error("cannot create a temporary folder");
  std::cout << "Running one router, two session servers and callers on loopback for " << command_line.seconds
            << " s ..." << std::endl;
  const auto result = run_fleet(options);
  const auto count = [&](EventKind kind) {
    return std::count_if(result.history.begin(), result.history.end(),
                         [kind](const auto& event) { return event.kind == kind; });
  };
  std::cout << count(EventKind::kSetUp) << " calls: " << count(EventKind::kAnswer) << " answered, "
            << count(EventKind::kRejected) << " refused, " << count(EventKind::kFailed) << " failed, "
            << count(EventKind::kLost) << " lost; " << count(EventKind::kReleased) << " released"
            << std::endl;
  if (!result.verdict.has_passed()) {
    std::cout << format_verdict(result.verdict) << "The files of the run are in " << options.folder
              << std::endl;
    return 1;
  }
  std::filesystem::remove_all(options.folder);
  std::cout << "Every rule held." << std::endl;
  return 0;
}

int run_simulation(const CommandLine& command_line) {
  SimulationOptions options;
  options.routers = command_line.nodes;
  options.servers = command_line.servers;
  options.calls_per_s = command_line.calls_per_s;
  options.traits = make_server_traits(command_line);
  // The capacity of the servers grows with the number of routers.
  options.traits.max_set_ups_in_progress = std::max<std::size_t>(
      options.traits.max_set_ups_in_progress, command_line.nodes * 16 / command_line.servers);
  options.schedule = make_schedule(command_line);
  const auto result = simulate(options);
  std::cout << format_verdict(result.verdict);
  std::cout << summary_line(options.schedule.seed, options.routers, result.history, result.verdict,
                            "\"steps\":" + std::to_string(result.steps))
            << std::endl;
  return result.verdict.has_passed() ? 0 : 1;
}

}  // namespace

int main(int argument_count, char** arguments) {
  CLI::App program("amberknot_lab: runs fleets of routers with injected faults on this machine");
  program.require_subcommand(1);
  CommandLine command_line;
  int status = 0;
  const auto add_common_options = [&command_line](CLI::App* command) {
    command->add_option("--seed", command_line.seed, "seed of the schedule and of all random numbers");
    command->add_option("--nodes", command_line.nodes, "routers")->check(CLI::Range(1, 2000));
    command->add_option("--servers", command_line.servers, "number of session servers")
        ->check(CLI::Range(1, 200));
    command->add_option("--seconds", command_line.seconds, "length of a generated schedule, in seconds")
        ->check(CLI::Range(0.5, 600.0));
    command->add_option("--rate", command_line.calls_per_s, "calls per second at each router")
        ->check(CLI::Range(0.1, 1000.0));
    command
        ->add_option("--work-ms", command_line.work_ms, "mean time until a server answers, in milliseconds")
        ->check(CLI::Range(1.0, 5000.0));
    command->add_option("--hold-ms", command_line.hold_ms, "mean duration of a call, in milliseconds")
        ->check(CLI::Range(1.0, 60000.0));
    command
        ->add_option("--schedule", command_line.schedule, "file with a schedule, instead of a generated one")
        ->check(CLI::ExistingFile);
    command->add_flag("--calm", command_line.calm, "run without faults");
  };
  auto* fleet_command =
      program.add_subcommand("fleet", "run router processes, with the fault relay on their links");
  add_common_options(fleet_command);
  fleet_command->add_option("--program", command_line.program,
                            "router executable; default: amberknot_router in the folder of this program");
  fleet_command->add_option("--folder", command_line.folder,
                            "folder for the files of the run, which are kept");
  fleet_command->callback([&] { status = run_fleet_command(command_line, arguments[0]); });

  auto* day_command = program.add_subcommand(
      "day", "run one router for a short time without faults and print a summary in words");
  day_command->add_option("--seconds", command_line.seconds, "length of the run, in seconds")
      ->default_val(5)
      ->check(CLI::Range(3.0, 600.0));
  day_command->add_option("--rate", command_line.calls_per_s, "calls per second")
      ->check(CLI::Range(0.1, 1000.0));
  day_command->add_option("--seed", command_line.seed, "seed of all random numbers");
  day_command->add_option("--program", command_line.program,
                          "router executable; default: amberknot_router in the folder of this program");
  day_command->callback([&] { status = run_day(command_line, arguments[0]); });

  auto* simulate_command =
      program.add_subcommand("simulate", "run the same fleet in simulated time, without processes");
  add_common_options(simulate_command);
  simulate_command->callback([&] { status = run_simulation(command_line); });

  auto* soak_command = program.add_subcommand(
      "soak",
      "run dense trials: a few routers under overlapping faults of all kinds, one trial for each seed");
  soak_command->add_option("--seed", command_line.seed, "first seed");
  soak_command->add_option("--last-seed", command_line.last_seed, "last seed; default: the first one");
  soak_command->add_option("--seconds", command_line.seconds, "length of each trial, in seconds")
      ->default_val(26)
      ->check(CLI::Range(5.0, 600.0));
  soak_command->add_option("--program", command_line.program,
                           "router executable; default: amberknot_router in the folder of this program");
  soak_command->callback([&] { status = run_soak(command_line, arguments[0]); });

  auto* draw_command = program.add_subcommand("draw", "print the schedule that a seed generates");
  add_common_options(draw_command);
  draw_command->callback([&] { std::cout << to_json(make_schedule(command_line)) << std::endl; });

  try {
    program.parse(argument_count, arguments);
  } catch (const CLI::ParseError& error) {
    return program.exit(error);
  } catch (const std::exception& error) {
    std::cerr << error.what() << std::endl;
    return 2;
  }
  return status;
}
