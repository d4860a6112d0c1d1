// The limit on output that a peer does not read. Guards against a limit on the bytes of the messages alone:
// the memory of many small ones is several times that.
#include "net_bench.hpp"

using namespace amberknot;
using namespace amberknot::tests;

TEST_CASE("the limit on queued output counts the memory of small messages") {
  Loop loop;
  constexpr std::size_t kLimit = 64 * 1024;
  loop.output_totals.max_bytes_per_connection = kLimit;
  asio::ip::tcp::acceptor acceptor(loop.io, {asio::ip::make_address("127.0.0.1"), 0});
  asio::ip::tcp::socket reader_that_never_reads(loop.io);
  reader_that_never_reads.connect(acceptor.local_endpoint());
  TestConnection sender(loop);
  sender.stream->start_accepted(acceptor.accept());
  // Fills the buffers of the kernel, and continues with small messages once the connection is blocked.
  constexpr std::size_t kMaxKernelBytes = 64 * 1024 * 1024;
  const std::string large(16 * 1024, 'x');
  for (std::size_t sent = 0; sender.stream->queued_bytes() == 0 && sent < kMaxKernelBytes;
       sent += large.size())
    sender.stream->send(large);
  REQUIRE(sender.stream->queued_bytes() > 0);
  std::size_t small_messages = 0;
  for (; sender.stream->queued_bytes() <= kLimit && small_messages < kLimit; ++small_messages)
    sender.stream->send(std::string(1, 'y'));
  CHECK(small_messages * sizeof(net::TcpConnection::Message) <= kLimit);
  CHECK(loop.output_totals.bytes == sender.stream->queued_bytes());
  const Instant start = Loop::now();
  while (!sender.closed && Loop::now() - start < std::chrono::seconds{5})
    loop.io.run_one_for(milliseconds{10});
  CHECK(sender.close_reason == net::CloseReason::kLimitExceeded);
  CHECK(sender.closed);
  CHECK(loop.output_totals.bytes == 0);
}

TEST_CASE("all of the memory of queued output is given back once the peer reads it") {
  Loop loop;
  asio::ip::tcp::acceptor acceptor(loop.io, {asio::ip::make_address("127.0.0.1"), 0});
  asio::ip::tcp::socket reader(loop.io);
  reader.connect(acceptor.local_endpoint());
  TestConnection sender(loop);
  sender.stream->start_accepted(acceptor.accept());
  constexpr std::size_t kMaxMessages = 1'000'000;
  std::size_t sent = 0;
  for (; loop.output_totals.bytes < 100'000 && sent < kMaxMessages; ++sent) {
    sender.stream->send("head", "and body", sent + 1);
  }
  REQUIRE(loop.output_totals.bytes >= 100'000);
  REQUIRE(sender.stream->withdraw(sent));  // the last one is not written yet
  --sent;
  std::vector<char> buffer(64 * 1024);
  constexpr std::size_t kMessageBytes = 12;
  std::size_t received = 0;
  reader.non_blocking(true);
  const Instant start = Loop::now();
  while (received < sent * kMessageBytes && Loop::now() - start < std::chrono::seconds{5}) {
    asio::error_code none;
    received += reader.read_some(asio::buffer(buffer), none);
    loop.io.poll();
  }
  CHECK(received == sent * kMessageBytes);
  CHECK(loop.output_totals.bytes == 0);
  CHECK(sender.stream->queued_bytes() == 0);
}
