// Adapter between the simulator and the decision module: reads batches from standard input and writes one
// flushed reply for each, until the input ends.
#include <algorithm>
#include <array>
#include <cstdint>
#include <exception>
#include <iostream>
#include <vector>

#include "codec.hpp"
#include "host.hpp"

namespace {

using namespace amberknot::simhost;

std::size_t read_input(std::uint8_t* into, std::size_t size) {
  std::cin.read(reinterpret_cast<char*>(into), static_cast<std::streamsize>(size));
  return static_cast<std::size_t>(std::cin.gcount());
}

/// Reads in steps, so that memory grows with the bytes received and not with the length in the header.
std::vector<std::uint8_t> read_body(std::size_t size) {
  constexpr std::size_t kStepBytes = 1U << 20U;
  std::vector<std::uint8_t> body;
  while (body.size() < size) {
    const std::size_t old_size = body.size();
    const std::size_t step = std::min(kStepBytes, size - old_size);
    body.resize(old_size + step);
    if (read_input(body.data() + old_size, step) != step) throw WireError("input ended within a frame body");
  }
  return body;
}

int run() {
  Host host;
  std::array<std::uint8_t, kBatchHeaderSize> bytes{};
  while (true) {
    const auto bytes_read = read_input(bytes.data(), bytes.size());
    if (bytes_read == 0) return 0;
    if (bytes_read != bytes.size()) throw WireError("input ended within a frame header");
    const auto header = decode_header(bytes);
    const auto reply = host.answer(header, read_body(header.body_bytes));
    std::cout.write(reinterpret_cast<const char*>(reply.data()), static_cast<std::streamsize>(reply.size()));
    std::cout.flush();
    if (!std::cout) return 1;
  }
}

}  // namespace

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  try {
    return run();
  } catch (const std::exception& error) {
    std::cerr << "amberknot_simhost: " << error.what() << '\n';
    return 2;
  }
}
