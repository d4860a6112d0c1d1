// Reads batches from standard input and writes one flushed reply for each, until input ends.
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

std::size_t read_some(std::uint8_t* into, std::size_t size) {
  std::cin.read(reinterpret_cast<char*>(into), static_cast<std::streamsize>(size));
  return static_cast<std::size_t>(std::cin.gcount());
}

/// Memory grows with the bytes that arrive, not with what a header promises.
std::vector<std::uint8_t> read_body(std::size_t size) {
  constexpr std::size_t kStep = 1U << 20U;
  std::vector<std::uint8_t> body;
  while (body.size() < size) {
    const std::size_t had = body.size();
    const std::size_t step = std::min(kStep, size - had);
    body.resize(had + step);
    if (read_some(body.data() + had, step) != step) throw WireError("frame truncated");
  }
  return body;
}

int run() {
  Host host;
  std::array<std::uint8_t, kBatchHeaderSize> bytes{};
  while (true) {
    const auto got = read_some(bytes.data(), bytes.size());
    if (got == 0) return 0;
    if (got != bytes.size()) throw WireError("header truncated");
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
