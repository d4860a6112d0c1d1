// Wires the router's parts together and runs them until a signal ends it.
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

std::string variable(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? std::string() : std::string(value);
}

void print_counters(const app::Router& router) {
  router.counters().print(std::clog);
  std::clog << "; now: unanswered=" << router.table().unanswered()
            << " standing=" << router.table().established() << std::endl;
}

app::Config read_configuration() {
  return app::read_config(app::read_file(variable("RELAY_CONFIG")), variable("RELAY_NAME"),
                          variable("RELAY_LISTEN"), variable("RELAY_CONTROL"));
}

// The whole new configuration is read and checked before any of it is applied; a bad one changes nothing.
void reload(app::Router& router) {
  try {
    router.reload(read_configuration());
  } catch (const std::exception& error) {
    router.reload_failed(error.what());
  }
}

void watch_signals(asio::signal_set& signals, net::Loop& loop, app::Router& router) {
  signals.async_wait([&](const asio::error_code& error, int signal) {
    if (error) return;
    if (signal == SIGUSR1) {
      print_counters(router);
    } else if (signal == SIGHUP) {
      reload(router);
    } else {
      router.shut_down([&loop] { loop.io.stop(); });
    }
    watch_signals(signals, loop, router);
  });
}

/// `--operator FILE`, or nothing.
app::OperatorFile read_operator(int count, char** words) {
  if (count == 1) return {};
  if (count != 3 || std::string(words[1]) != "--operator") {
    throw app::ConfigError("usage: amberknot_router [--operator FILE]");
  }
  return app::read_operator_file(app::read_file(words[2]));
}

int run(const app::OperatorFile& setup) {
  net::log::set_level(variable("RELAY_LOG"));
  net::Loop loop;
  // Caught before anything is served: unhandled, each of these would end the program.
  asio::signal_set signals(loop.io, SIGTERM, SIGINT, SIGUSR1);
  signals.add(SIGHUP);
  const auto config = read_configuration();
  app::Router router(loop, config, setup);
  router.declare(variable("TMPDIR"));
  watch_signals(signals, loop, router);
  net::log::info(config.name, " serves callers at ", router.callers_at());
  loop.io.run();
  print_counters(router);
  return 0;
}

}  // namespace

int main(int count, char** words) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return run(read_operator(count, words));
  } catch (const std::exception& error) {
    std::cerr << error.what() << std::endl;
    return 2;
  }
}
