#include "net/jsonl_front.hpp"

#include <algorithm>
#include <utility>

#include "net/json_text.hpp"
#include "net/log.hpp"

namespace amberknot::net {
namespace {

constexpr std::size_t kMostUndelivered = 4096;
constexpr Duration kIdle = std::chrono::seconds{30};
constexpr Duration kReapEvery = std::chrono::seconds{5};
constexpr double kMostLeftMs = 24.0 * 3600 * 1000;

std::optional<std::size_t> index_of(const std::vector<std::string>& names, std::string_view name) {
  const auto at = std::find(names.begin(), names.end(), name);
  if (at == names.end()) return std::nullopt;
  return static_cast<std::size_t>(at - names.begin());
}

}  // namespace

JsonlFront::JsonlFront(Loop& loop, core::CallTable& table, core::Counters& counters, const Names& names,
                       const asio::ip::tcp::endpoint& listen, std::size_t most_connections)
    : loop_(loop),
      table_(table),
      counters_(counters),
      names_(names),
      acceptor_(loop.io, listen, true),
      pause_(loop.io),
      most_connections_(most_connections) {
  accept();
  reap();
}

void JsonlFront::accept() {
  acceptor_.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (error) {
      // Out of descriptors, most likely: accepting again at once would spin.
      log::warn("accept failed: ", error.message());
      pause_.expires_after(std::chrono::milliseconds{20});
      pause_.async_wait([this](const asio::error_code& stopped) {
        if (!stopped) accept();
      });
      return;
    }
    if (streams_.size() >= most_connections_) {
      log::warn("connection refused: ", streams_.size(), " are open already");
    } else {
      auto stream = std::make_shared<Stream>(loop_, *this);
      streams_.emplace(stream.get(), stream);
      stream->adopt(std::move(socket));
      // What could not be told to this caller is told on its next connection.
      const auto waiting = undelivered_.find(stream->remote().address());
      if (waiting != undelivered_.end() && !stream->is_closed()) {
        for (auto& line : waiting->second) stream->send(std::move(line));
        undelivered_.erase(waiting);
      }
    }
    accept();
  });
}

std::size_t JsonlFront::on_bytes(Stream& stream, std::span<char> bytes) {
  std::size_t taken = 0;
  while (true) {
    const auto rest = bytes.subspan(taken);
    const auto end = std::find(rest.begin(), rest.end(), '\n');
    const auto size = static_cast<std::size_t>(end - rest.begin());
    if (size > kMostMessage || (end != rest.end() && !on_line(stream, rest.first(size), &*end))) {
      ++counters_.unreadable;
      log::warn("unreadable line from ", stream.remote(), ": connection closed");
      stream.close();
      on_closed(stream, Closed::kEnded);
      return bytes.size();
    }
    if (end == rest.end() || stream.is_closed()) return taken;
    taken += size + 1;
  }
}

bool JsonlFront::on_line(Stream& stream, std::span<char> line, char* end) {
  if (std::all_of(line.begin(), line.end(), [](char c) { return c == ' ' || c == '\r' || c == '\t'; }))
    return true;
  const auto read = reader_.read(line, end);
  if (!read) return false;
  switch (read->type) {
    case JsonLine::Type::kOpen:
      open(stream, *read);
      break;
    case JsonLine::Type::kClose:
      close(stream, *read);
      break;
    case JsonLine::Type::kProbe:
      stream.send(probed_line(read->sid, true));
      break;
    case JsonLine::Type::kOther:
      break;
  }
  return true;
}

void JsonlFront::open(Stream& stream, const JsonLine& line) {
  std::string sid(line.sid);
  if (by_sid_.contains(sid)) {
    ++counters_.unknown_ids;
    log::warn("set-up with the id of a live call ignored: ", sid);
    return;
  }
  core::NewSetUp set_up;
  const auto cls = index_of(names_.classes, line.call_class);
  const auto tenant =
      names_.tenants.empty() ? std::optional<std::size_t>(0) : index_of(names_.tenants, line.tenant);
  const auto left = number_of(line.left);
  const auto extras = read_extras(line.extras);
  const char* wrong = !cls                                              ? "class"
                      : !tenant                                         ? "tenant"
                      : !left || *left < 0 || *left > kMostLeftMs       ? "left"
                      : !is_number_called(line.key)                     ? "key"
                      : line.extras.empty() || !extras || !extras->dest ? "extras"
                      : !line.has_text                                  ? "text"
                                                                        : nullptr;
  if (wrong != nullptr) {
    ++counters_.malformed;
    log::warn("set-up ", sid, " failed: bad or missing ", wrong);
    stream.send(close_line(sid, core::Cause::kInvalidContents));
    return;
  }
  set_up.id = sid;
  set_up.call_class = line.call_class;
  set_up.number = line.key;
  set_up.description = line.text;
  set_up.facts.expires = Loop::now() + Duration{static_cast<std::int64_t>(*left * 1000.0)};
  set_up.facts.first_choice = CellNo{*extras->dest};
  set_up.facts.width = extras->width;
  set_up.facts.was_cut = extras->again;
  set_up.facts.call_class = *cls;
  set_up.facts.tenant = *tenant;
  const CallId id = table_.take(*this, std::move(set_up));
  by_sid_[sid] = id;
  calls_[id] = {std::move(sid), stream.shared_from_this(), stream.remote().address(), false};
  table_.decide(id);
}

void JsonlFront::close(Stream& stream, const JsonLine& line) {
  const auto found = by_sid_.find(std::string(line.sid));
  if (found == by_sid_.end()) {
    ++counters_.unknown_ids;
    return;
  }
  const CallId id = found->second;
  stream.send(closed_line(line.sid));
  by_sid_.erase(found);
  calls_.erase(id);
  table_.close_by_client(id, static_cast<core::Cause>(line.code.value_or(16)));
}

void JsonlFront::on_closed(Stream& stream, Closed why) {
  log::debug("caller ", stream.remote(), " ", name(why));
  const auto keep = stream.shared_from_this();
  streams_.erase(&stream);
  std::vector<CallId> given_up;
  for (auto& [id, call] : calls_) {
    if (call.stream != keep) continue;
    call.stream.reset();
    if (!call.answered) given_up.push_back(id);
  }
  // What was not answered on it never can be; what stands belongs to no connection.
  for (const CallId id : given_up) {
    by_sid_.erase(calls_.at(id).sid);
    calls_.erase(id);
    table_.give_up(id);
  }
}

bool JsonlFront::answer(CallId id, std::string_view description) {
  const auto found = calls_.find(id);
  if (found == calls_.end() || !found->second.stream) return false;
  auto line = ready_line(found->second.sid, description);
  if (line.size() > kMostMessage) return false;
  found->second.answered = true;
  found->second.stream->send(std::move(line));
  return true;
}

void JsonlFront::refuse(CallId id, Duration stay_away) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  finish(id, close_line(found->second.sid, core::Cause::kCongestion,
                        stay_away > Duration::zero() ? std::optional(stay_away) : std::nullopt));
}

void JsonlFront::fail(CallId id, core::Cause cause) {
  const auto found = calls_.find(id);
  if (found != calls_.end()) finish(id, close_line(found->second.sid, cause));
}

void JsonlFront::release(CallId id, core::Cause cause) {
  const auto found = calls_.find(id);
  if (found != calls_.end()) finish(id, close_line(found->second.sid, cause));
}

void JsonlFront::finish(CallId id, std::string line) {
  const auto found = calls_.find(id);
  auto call = std::move(found->second);
  calls_.erase(found);
  by_sid_.erase(call.sid);
  auto to = call.stream;
  if (!to && call.answered) to = any_of(call.caller);
  if (to) {
    to->send(std::move(line));
  } else if (call.answered) {
    auto& waiting = undelivered_[call.caller];
    if (waiting.size() < kMostUndelivered) waiting.push_back(std::move(line));
  }
}

std::shared_ptr<Stream> JsonlFront::any_of(const asio::ip::address& caller) {
  for (const auto& [key, stream] : streams_) {
    if (stream->is_open() && stream->remote().address() == caller) return stream;
  }
  return nullptr;
}

void JsonlFront::reap() {
  loop_.after(kReapEvery, [this] {
    const Instant now = Loop::now();
    std::vector<std::shared_ptr<Stream>> idle;
    for (const auto& [key, stream] : streams_) {
      if (now - stream->used_at() > kIdle) idle.push_back(stream);
    }
    for (const auto& [id, call] : calls_) {
      if (!call.answered) std::erase(idle, call.stream);
    }
    for (const auto& stream : idle) {
      stream->close();
      on_closed(*stream, Closed::kEnded);
    }
    reap();
  });
}

}  // namespace amberknot::net
