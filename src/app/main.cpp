// The router's program: reads the configuration, runs the router and handles signals. SIGTERM and SIGINT shut
// it down gracefully, SIGHUP reloads the configuration, SIGUSR1 prints the counters.
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

#include "app/config.hpp"
#include "app/router.hpp"
#include "net/log.hpp"
#include "net/loop.hpp"

namespace {

using namespace amberknot;

/// An environment variable; empty if it is not set.
std::string environment_variable(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? std::string() : std::string(value);
}

void print_counters(const app::Router& router) {
  router.counters().print(std::clog);
  std::clog << "; now: unanswered=" << router.table().unanswered()
            << " standing=" << router.table().established() << std::endl;
}

app::Config load_configuration() {
  return app::read_config(app::read_file(environment_variable("RELAY_CONFIG")),
                          environment_variable("RELAY_NAME"), environment_variable("RELAY_LISTEN"),
                          environment_variable("RELAY_CONTROL"));
}

// The new configuration is read and checked as a whole before any of it is applied; an invalid one changes
// nothing.
void reload(app::Router& router) {
  try {
    router.reload(load_configuration());
  } catch (const std::exception& error) {
    router.on_reload_failed(error.what());
  }
}

void handle_signals(asio::signal_set& signals, net::Loop& loop, app::Router& router) {
  signals.async_wait([&](const asio::error_code& error, int signal) {
    if (error) return;
    if (signal == SIGUSR1) {
      print_counters(router);
    } else if (signal == SIGHUP) {
      reload(router);
    } else {
      router.shut_down([&loop] { loop.io.stop(); });
    }
    handle_signals(signals, loop, router);
  });
}

/// Reads the file given by `--operator FILE`; without that option, returns an empty operator file.
app::OperatorFile load_operator_file(int argc, char** argv) {
  if (argc == 1) return {};
  if (argc != 3 || std::string(argv[1]) != "--operator") {
    throw app::ConfigError("usage: amberknot_router [--operator FILE]");
  }
  return app::read_operator_file(app::read_file(argv[2]));
}

int run(const app::OperatorFile& operator_file) {
  net::log::set_level(environment_variable("RELAY_LOG"));
  net::Loop loop;
  // The handlers are installed before anything is served: without a handler, each of these signals would end
  // the program.
  asio::signal_set signals(loop.io, SIGTERM, SIGINT, SIGUSR1);
  signals.add(SIGHUP);
  const auto config = load_configuration();
  app::Router router(loop, config, operator_file);
  router.join_hot_restart(environment_variable("TMPDIR"));
  handle_signals(signals, loop, router);
  net::log::info(config.name, " serves callers at ", router.callers_endpoint());
  loop.io.run();
  print_counters(router);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return run(load_operator_file(argc, argv));
  } catch (const std::exception& error) {
    std::cerr << error.what() << std::endl;
    return 2;
  }
}
