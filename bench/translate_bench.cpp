// Compares a compiled mapping with the direct interpreter of the same table, and the duplicate index with a
// hash map plus a map ordered by expiry time. Each pair runs on the same inputs; allocations are counted
// during the run.
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

// GCC reports a mismatch between the replaced operators after inlining them.
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

const char* kTableJson =
    R"({"rows":[{"to":"session-2","field":"region","by":"@tenant","table":{"toko-sinar":"jakarta",)"
    R"("pasar-maju":"surabaya","warung-rejeki":"jakarta"},"otherwise":"not-eligible"}]})";

/// Generates set-ups of one dialect from a fixed seed, as text by field name.
std::vector<reference::Fields> generate_messages(const Dialect& dialect, std::size_t count) {
  static const std::vector<std::string> kTenants = {"toko-sinar", "pasar-maju", "warung-rejeki"};
  std::mt19937_64 random(20261201);
  std::vector<reference::Fields> result(count);
  for (auto& fields : result) {
    for (const auto& field : dialect.of(MessageKind::kSetUp)) {
      if (!field.required && random() % 2 == 0) continue;
      if (field.meaning == Meaning::kTenant) {
        fields[field.name] = kTenants[random() % kTenants.size()];
      } else if (!is_text(field.type)) {
        const auto unit = field.type == FieldType::kDuration ? field.unit : 1;
        const auto value_count = field.max / unit - field.min / unit + 1;
        fields[field.name] = std::to_string(
            field.min / unit + static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(value_count)));
      } else {
        const auto size =
            field.meaning == Meaning::kDescription ? 200 : std::min<std::int64_t>(field.max, 16);
        std::string text;
        for (std::int64_t i = 0; i < size; ++i) text += static_cast<char>('0' + random() % 10);
        fields[field.name] = text;
      }
    }
  }
  return result;
}

struct DialectPair {
  const char* from;
  const char* to;
};
constexpr DialectPair kDialectPairs[] = {
    {"json-lines", "sip"}, {"json-lines", "session-2"}, {"iso8583", "session-2"}};

MappingTable load_table() {
  MappingTable result;
  if (!parse_operator_table(kTableJson, result).empty()) std::abort();
  return result;
}

/// Translates set-ups of one pair of dialects with the compiled mapping.
void BM_Compiled(benchmark::State& state) {
  const auto& pair = kDialectPairs[state.range(0)];
  const auto operators = load_table();
  const auto& from = *find_dialect(pair.from);
  std::vector<std::string> faults;
  const auto program = compile(from, *find_dialect(pair.to), MessageKind::kSetUp, operators, faults);
  if (!program) std::abort();
  const auto values = generate_messages(from, 256);
  // Records as a front end passes them: views into its message, and parsed numbers.
  std::vector<std::unique_ptr<Record>> records;
  const auto& fields = from.of(MessageKind::kSetUp);
  for (const auto& one : values) {
    auto& record = *records.emplace_back(std::make_unique<Record>());
    for (std::size_t i = 0; i < fields.size(); ++i) {
      const auto found = one.find(fields[i].name);
      if (found == one.end()) continue;
      if (is_text(fields[i].type)) {
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
    const auto eligibility = program->translate_record(*records[at++ & 255U], out);
    if (!eligibility) std::abort();
    benchmark::DoNotOptimize(out);
  }
  state.counters["allocations"] = benchmark::Counter(static_cast<double>(allocations.load() - before) /
                                                     static_cast<double>(state.iterations()));
  state.SetLabel(std::string(pair.from) + " to " + pair.to);
}

/// Translates the same set-ups with the direct interpreter.
void BM_Plain(benchmark::State& state) {
  const auto& pair = kDialectPairs[state.range(0)];
  const auto operators = load_table();
  const reference::Interpreter interpreter(*find_dialect(pair.from), *find_dialect(pair.to),
                                           MessageKind::kSetUp, operators);
  const auto values = generate_messages(*find_dialect(pair.from), 256);
  std::string failed_field;
  std::size_t at = 0;
  const auto before = allocations.load();
  for (auto _ : state) {
    auto out = interpreter.translate_fields(values[at++ & 255U], failed_field);
    if (!out) std::abort();
    benchmark::DoNotOptimize(out);
  }
  state.counters["allocations"] = benchmark::Counter(static_cast<double>(allocations.load() - before) /
                                                     static_cast<double>(state.iterations()));
  state.SetLabel(std::string(pair.from) + " to " + pair.to);
}

// One request and its answer; every third request is repeated. The clock advances with each request, so that
// entries expire; the measurement starts when the index is in its steady state.
constexpr int kLiveEntries = 100'000;

/// Processes requests with the duplicate index.
void BM_DuplicateIndex(benchmark::State& state) {
  DuplicateRules rules;
  rules.max_bytes = 64U << 20U;
  rules.finished_ttl = std::chrono::seconds{60};
  rules.open_ttl = std::chrono::seconds{30};
  Instant now{std::chrono::seconds{1}};
  DuplicateIndex index(now, rules);
  const Duration step{rules.finished_ttl / kLiveEntries};
  const std::string answer(64, 'a');
  std::uint64_t n = 0;
  const auto process_request = [&] {
    now += step;
    const auto key = request_key(1, "12345", "TERM0001", std::to_string(n), "1201093000");
    index.on_request(now, key, CallId{static_cast<std::uint32_t>(n)});
    index.on_answer(now, key, answer);
    if (n++ % 3 == 0) benchmark::DoNotOptimize(index.on_request(now, key, CallId{0}));
  };
  for (int i = 0; i < 2 * kLiveEntries; ++i) process_request();
  const auto before = allocations.load();
  for (auto _ : state) process_request();
  state.counters["allocations"] = benchmark::Counter(static_cast<double>(allocations.load() - before) /
                                                     static_cast<double>(state.iterations()));
  state.counters["entries"] = static_cast<double>(index.size());
  state.counters["bytes_each"] = static_cast<double>(index.bytes()) / static_cast<double>(index.size());
}

/// Processes the same requests with a hash map and a map ordered by expiry time.
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
  const Duration retention = std::chrono::seconds{60};
  Instant now{std::chrono::seconds{1}};
  const Duration step{retention / kLiveEntries};
  const std::string answer(64, 'a');
  std::uint64_t n = 0;
  const auto process_request = [&] {
    now += step;
    while (!due.empty() && due.begin()->first <= now) {
      entries.erase(due.begin()->second);
      due.erase(due.begin());
    }
    const auto key = request_key(1, "12345", "TERM0001", std::to_string(n), "1201093000");
    auto [at, is_new] = entries.try_emplace(key);
    at->second.call = CallId{static_cast<std::uint32_t>(n)};
    at->second.due = due.emplace(now + retention / 2, key);
    due.erase(at->second.due);
    at->second.answer = answer;
    at->second.due = due.emplace(now + retention, key);
    if (n++ % 3 == 0) benchmark::DoNotOptimize(entries.find(key));
  };
  for (int i = 0; i < 2 * kLiveEntries; ++i) process_request();
  const auto before = allocations.load();
  for (auto _ : state) process_request();
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
