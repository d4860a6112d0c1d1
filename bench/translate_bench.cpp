// A compiled mapping against the plain interpreter of the same table, and the index of duplicates against a
// map with a second one by time. Each pair runs on the same inputs; allocations are counted as they happen.
#include <benchmark/benchmark.h>

#include <atomic>
#include <cstdlib>
#include <map>
#include <new>
#include <random>
#include <unordered_map>

#include "bench/plain_mapping.hpp"
#include "translate/duplicates.hpp"

namespace {
std::atomic<std::uint64_t> allocations{0};
}

// GCC takes the replaced pair for a mismatch once it has inlined it.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

void* operator new(std::size_t size) {
  ++allocations;
  if (void* at = std::malloc(size == 0 ? 1 : size)) return at;
  throw std::bad_alloc();
}
void operator delete(void* at) noexcept {
  std::free(at);
}
void operator delete(void* at, std::size_t /*size*/) noexcept {
  std::free(at);
}

namespace {

using namespace amberknot;
using namespace amberknot::translate;

const char* kTable =
    R"({"rows":[{"to":"session-2","field":"region","by":"@tenant","table":{"toko-sinar":"jakarta",)"
    R"("pasar-maju":"surabaya","warung-rejeki":"jakarta"},"otherwise":"not-eligible"}]})";

/// Messages of one dialect, as texts by name; drawn from a seed.
std::vector<plain::Fields> messages(const Dialect& dialect, std::size_t count) {
  static const std::vector<std::string> kTenants = {"toko-sinar", "pasar-maju", "warung-rejeki"};
  std::mt19937_64 random(20261201);
  std::vector<plain::Fields> made(count);
  for (auto& fields : made) {
    for (const auto& field : dialect.of(Kind::kSetUp)) {
      if (!field.required && random() % 2 == 0) continue;
      if (field.meaning == Meaning::kTenant) {
        fields[field.name] = kTenants[random() % kTenants.size()];
      } else if (!is_textual(field.type)) {
        const auto unit = field.type == Type::kDuration ? field.unit : 1;
        const auto span = field.most / unit - field.least / unit + 1;
        fields[field.name] = std::to_string(
            field.least / unit + static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(span)));
      } else {
        const auto size =
            field.meaning == Meaning::kDescription ? 200 : std::min<std::int64_t>(field.most, 16);
        std::string text;
        for (std::int64_t i = 0; i < size; ++i) text += static_cast<char>('0' + random() % 10);
        fields[field.name] = text;
      }
    }
  }
  return made;
}

struct Pair {
  const char* from;
  const char* to;
};
constexpr Pair kPairs[] = {{"json-lines", "sip"}, {"json-lines", "session-2"}, {"iso8583", "session-2"}};

Table table() {
  Table made;
  if (!read_table(kTable, made).empty()) std::abort();
  return made;
}

void BM_Compiled(benchmark::State& state) {
  const auto& pair = kPairs[state.range(0)];
  const auto operators = table();
  const auto& from = *find_dialect(pair.from);
  std::vector<std::string> faults;
  const auto program = compile(from, *find_dialect(pair.to), Kind::kSetUp, operators, faults);
  if (!program) std::abort();
  const auto values = messages(from, 256);
  // What a front hands over: views into its message, numbers read.
  std::vector<std::unique_ptr<Record>> records;
  const auto& fields = from.of(Kind::kSetUp);
  for (const auto& one : values) {
    auto& record = *records.emplace_back(std::make_unique<Record>());
    for (std::size_t i = 0; i < fields.size(); ++i) {
      const auto found = one.find(fields[i].name);
      if (found == one.end()) continue;
      if (is_textual(fields[i].type)) {
        record.set(i, std::string_view(found->second));
      } else {
        record.set(i, static_cast<std::int64_t>(std::stoll(found->second)));
      }
    }
  }
  Record out;
  std::size_t at = 0;
  const auto before = allocations.load();
  for (auto _ : state) {
    const auto said = program->run(*records[at++ & 255U], out);
    if (!said) std::abort();
    benchmark::DoNotOptimize(out);
  }
  state.counters["allocations"] = benchmark::Counter(static_cast<double>(allocations.load() - before) /
                                                     static_cast<double>(state.iterations()));
  state.SetLabel(std::string(pair.from) + " to " + pair.to);
}

void BM_Plain(benchmark::State& state) {
  const auto& pair = kPairs[state.range(0)];
  const auto operators = table();
  const plain::Interpreter interpreter(*find_dialect(pair.from), *find_dialect(pair.to), Kind::kSetUp,
                                       operators);
  const auto values = messages(*find_dialect(pair.from), 256);
  std::string bar;
  std::size_t at = 0;
  const auto before = allocations.load();
  for (auto _ : state) {
    auto out = interpreter.run(values[at++ & 255U], bar);
    if (!out) std::abort();
    benchmark::DoNotOptimize(out);
  }
  state.counters["allocations"] = benchmark::Counter(static_cast<double>(allocations.load() - before) /
                                                     static_cast<double>(state.iterations()));
  state.SetLabel(std::string(pair.from) + " to " + pair.to);
}

// One request and its answer; a third are repeats. Time goes by, so that entries come and go; the index is in
// its steady state when it is measured.
constexpr int kLive = 100'000;

void BM_DuplicateIndex(benchmark::State& state) {
  DuplicateRules rules;
  rules.max_bytes = 64U << 20U;
  rules.over = std::chrono::seconds{60};
  rules.open = std::chrono::seconds{30};
  Instant now{std::chrono::seconds{1}};
  DuplicateIndex index(now, rules);
  const Duration step{rules.over / kLive};
  const std::string answer(64, 'a');
  std::uint64_t n = 0;
  const auto turn = [&] {
    now += step;
    const auto key = request_key(1, "12345", "TERM0001", std::to_string(n), "1201093000");
    index.request(now, key, CallId{static_cast<std::uint32_t>(n)});
    index.answered(now, key, answer);
    if (n++ % 3 == 0) benchmark::DoNotOptimize(index.request(now, key, CallId{0}));
  };
  for (int i = 0; i < 2 * kLive; ++i) turn();
  const auto before = allocations.load();
  for (auto _ : state) turn();
  state.counters["allocations"] = benchmark::Counter(static_cast<double>(allocations.load() - before) /
                                                     static_cast<double>(state.iterations()));
  state.counters["entries"] = static_cast<double>(index.size());
  state.counters["bytes_each"] = static_cast<double>(index.bytes()) / static_cast<double>(index.size());
}

void BM_PlainDuplicates(benchmark::State& state) {
  struct Hash {
    std::size_t operator()(const RequestKey& key) const { return key.low; }
  };
  struct Entry {
    CallId call;
    std::string answer;
    std::multimap<Instant, RequestKey>::iterator due;
  };
  std::unordered_map<RequestKey, Entry, Hash> entries;
  std::multimap<Instant, RequestKey> due;
  const Duration over = std::chrono::seconds{60};
  Instant now{std::chrono::seconds{1}};
  const Duration step{over / kLive};
  const std::string answer(64, 'a');
  std::uint64_t n = 0;
  const auto turn = [&] {
    now += step;
    while (!due.empty() && due.begin()->first <= now) {
      entries.erase(due.begin()->second);
      due.erase(due.begin());
    }
    const auto key = request_key(1, "12345", "TERM0001", std::to_string(n), "1201093000");
    auto [at, fresh] = entries.try_emplace(key);
    at->second.call = CallId{static_cast<std::uint32_t>(n)};
    at->second.due = due.emplace(now + over / 2, key);
    due.erase(at->second.due);
    at->second.answer = answer;
    at->second.due = due.emplace(now + over, key);
    if (n++ % 3 == 0) benchmark::DoNotOptimize(entries.find(key));
  };
  for (int i = 0; i < 2 * kLive; ++i) turn();
  const auto before = allocations.load();
  for (auto _ : state) turn();
  state.counters["allocations"] = benchmark::Counter(static_cast<double>(allocations.load() - before) /
                                                     static_cast<double>(state.iterations()));
  state.counters["entries"] = static_cast<double>(entries.size());
}

BENCHMARK(BM_Compiled)->DenseRange(0, 2);
BENCHMARK(BM_Plain)->DenseRange(0, 2);
BENCHMARK(BM_DuplicateIndex);
BENCHMARK(BM_PlainDuplicates);

}  // namespace

BENCHMARK_MAIN();
