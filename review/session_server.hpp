// A session server that speaks version 1 of the session API (docs/session-api.md): it sets each session up at
// once, ends it by itself after a while and reports its load. A process counts its events from 1 on and knows
// nothing of the process that it replaces.
#pragma once

#include <nghttp2/nghttp2.h>

#include "stand_ins.hpp"

namespace review {

class SessionServer {
 public:
  struct Session {
    std::int64_t set_up_at = 0, ended_at = 0;  ///< Unix milliseconds; 0: not yet
    std::uint64_t end_event = 0;               ///< the number of the event that reports the end
    bool is_released_by_client = false;
    bool is_cut = false;  ///< its process has ended
  };
  std::function<void(const std::string& text)> log;
  std::map<std::string, Session> sessions;  ///< of all processes that ran under this name
  std::int64_t hold_ms = 3000, load_ms = 500;
  std::string versions = "[1]";
  /// What becomes of a set-up: it stands, it has run and its connection is reset, or an error with this type.
  enum class Fate { kStands, kRunsAndResets, kRegionClosed };
  std::function<Fate(const std::string& id, const std::string& number)> fate;

  SessionServer(Loop& loop, std::string name) : loop_(loop), name_(std::move(name)) {
    listener_ = listen_on(0);
    port_ = port_of(listener_);
    begin_process();
  }
  [[nodiscard]] std::uint16_t port() const { return port_; }
  [[nodiscard]] const std::string& name() const { return name_; }
  [[nodiscard]] std::uint64_t last_event() const { return next_event_ - 1; }

  /// The process ends: its connections are reset, new ones refused, its sessions cut.
  void stop() {
    loop_.forget(listener_);
    ::close(std::exchange(listener_, -1));
    ++process_;
    for (auto& [fd, peer] : std::exchange(peers_, {})) {
      loop_.forget(fd);
      nghttp2_session_del(peer->session);
      reset_socket(fd);
    }
    for (auto& [id, session] : sessions) {
      if (session.ended_at != 0) continue;
      session.ended_at = now_ms();
      session.is_cut = true;
    }
    log(name_ + ": process ended after event " + std::to_string(last_event()));
  }
  /// A new process at the same address.
  void start() {
    listener_ = listen_on(port_);
    events_.clear();
    next_event_ = 1;
    begin_process();
    log(name_ + ": new process");
  }

 private:
  struct Peer {
    SessionServer* server = nullptr;
    int fd = -1;
    nghttp2_session* session = nullptr;
    struct Request {
      std::string method, path, body, last_event_id;
    };
    std::map<std::int32_t, Request> requests;
    std::map<std::int32_t, std::string> bodies;  ///< of answers, not sent yet
    std::int32_t event_stream = 0;
    bool is_event_stream_waiting = false;
    bool is_to_be_reset = false;
  };

  void begin_process() {
    loop_.watch(listener_, [this] { accept(); });
    report_load(process_);
  }
  void report_load(int process) {
    if (process != process_ || listener_ < 0) return;
    std::size_t established = 0;
    for (const auto& [id, session] : sessions) established += session.ended_at == 0 ? 1 : 0;
    emit("load", R"({"x0":)" + std::to_string(200 - established) + R"(,"x1":200,"latency_ms":2,"qps":60})");
    loop_.after(load_ms, [this, process] { report_load(process); });
  }
  std::uint64_t emit(const std::string& event, const std::string& data) {
    const auto number = next_event_++;
    events_[number] = "id: " + std::to_string(number) + "\nevent: " + event + "\ndata: " + data + "\n\n";
    for (auto& [fd, peer] : peers_) {
      if (peer->event_stream != 0) append_event(*peer, events_[number]);
    }
    return number;
  }
  static void append_event(Peer& peer, const std::string& text) {
    peer.bodies[peer.event_stream] += text;
    if (std::exchange(peer.is_event_stream_waiting, false))
      nghttp2_session_resume_data(peer.session, peer.event_stream);
    flush(peer);
  }
  static void flush(Peer& peer) {
    for (;;) {
      const std::uint8_t* data = nullptr;
      const auto size = nghttp2_session_mem_send(peer.session, &data);
      if (size <= 0) return;
      send_all(peer.fd, std::string(reinterpret_cast<const char*>(data), static_cast<std::size_t>(size)));
    }
  }

  void accept() {
    const int fd = accept_on(listener_);
    if (fd < 0) return;
    auto& peer = peers_[fd] = std::make_unique<Peer>();
    peer->server = this;
    peer->fd = fd;
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_header_callback(
        callbacks,
        [](nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name, std::size_t name_size,
           const std::uint8_t* value, std::size_t value_size, std::uint8_t, void* self) {
          auto& request = static_cast<Peer*>(self)->requests[frame->hd.stream_id];
          const std::string key(reinterpret_cast<const char*>(name), name_size);
          const std::string text(reinterpret_cast<const char*>(value), value_size);
          if (key == ":method") request.method = text;
          if (key == ":path") request.path = text;
          if (key == "last-event-id") request.last_event_id = text;
          return 0;
        });
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        callbacks, [](nghttp2_session*, std::uint8_t, std::int32_t stream, const std::uint8_t* data,
                      std::size_t size, void* self) {
          static_cast<Peer*>(self)->requests[stream].body.append(reinterpret_cast<const char*>(data), size);
          return 0;
        });
    nghttp2_session_callbacks_set_on_frame_recv_callback(
        callbacks, [](nghttp2_session*, const nghttp2_frame* frame, void* self) {
          auto& from = *static_cast<Peer*>(self);
          const bool may_end = frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
          if (may_end && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0)
            from.server->on_request(from, frame->hd.stream_id, from.requests[frame->hd.stream_id]);
          return 0;
        });
    nghttp2_session_callbacks_set_on_stream_close_callback(
        callbacks, [](nghttp2_session*, std::int32_t stream, std::uint32_t, void* self) {
          auto& from = *static_cast<Peer*>(self);
          if (from.event_stream == stream) from.event_stream = 0;
          from.requests.erase(stream);
          from.bodies.erase(stream);
          return 0;
        });
    nghttp2_session_server_new(&peer->session, callbacks, peer.get());
    nghttp2_session_callbacks_del(callbacks);
    const nghttp2_settings_entry setting{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, 100};
    nghttp2_submit_settings(peer->session, NGHTTP2_FLAG_NONE, &setting, 1);
    flush(*peer);
    loop_.watch(fd, [this, fd] {
      std::string bytes;
      auto& from = *peers_.at(fd);
      const bool is_open =
          read_into(fd, bytes) &&
          nghttp2_session_mem_recv(from.session, reinterpret_cast<const std::uint8_t*>(bytes.data()),
                                   bytes.size()) >= 0;
      if (is_open && !from.is_to_be_reset) return flush(from);
      const bool is_to_be_reset = from.is_to_be_reset;
      loop_.forget(fd);
      nghttp2_session_del(from.session);
      peers_.erase(fd);
      if (is_to_be_reset) return reset_socket(fd);
      ::close(fd);
    });
  }

  void respond(Peer& to, std::int32_t stream, const char* status, const char* type, const std::string& body) {
    const auto field = [](const char* name, const char* value) {
      return nghttp2_nv{reinterpret_cast<std::uint8_t*>(const_cast<char*>(name)),
                        reinterpret_cast<std::uint8_t*>(const_cast<char*>(value)), std::strlen(name),
                        std::strlen(value), NGHTTP2_NV_FLAG_NONE};
    };
    const nghttp2_nv fields[] = {field(":status", status), field("content-type", type)};
    to.bodies[stream] = body;
    nghttp2_data_provider provider{};
    provider.read_callback = [](nghttp2_session*, std::int32_t id, std::uint8_t* buffer, std::size_t size,
                                std::uint32_t* flags, nghttp2_data_source*, void* self) -> ssize_t {
      auto& peer = *static_cast<Peer*>(self);
      auto& rest = peer.bodies[id];
      const auto count = std::min(size, rest.size());
      std::memcpy(buffer, rest.data(), count);
      rest.erase(0, count);
      if (id != peer.event_stream) {
        if (rest.empty()) *flags |= NGHTTP2_DATA_FLAG_EOF;
      } else if (count == 0) {
        peer.is_event_stream_waiting = true;
        return NGHTTP2_ERR_DEFERRED;
      }
      return static_cast<ssize_t>(count);
    };
    nghttp2_submit_response(to.session, stream, fields, 2, body.empty() ? nullptr : &provider);
  }

  void on_request(Peer& from, std::int32_t stream, const Peer::Request& request) {
    if (request.path == "/versions") {
      respond(
          from, stream, "200", "application/json",
          R"({"versions":)" + versions + R"(,"process":")" + name_ + "-" + std::to_string(process_) + "\"}");
    } else if (request.path == "/events") {
      open_event_stream(from, stream, request.last_event_id);
    } else if (request.method == "POST" && request.path == "/sessions") {
      set_up(from, stream, member(request.body, "id"), member(request.body, "number"));
    } else {
      const auto id = request.path.substr(10, 16);
      const auto found = sessions.find(id);
      const bool stands = found != sessions.end() && found->second.ended_at == 0;
      log(name_ + ": " + request.method + " of session " + id + (stands ? "" : ", which does not stand"));
      if (request.method == "DELETE" && stands) {
        found->second.ended_at = now_ms();
        found->second.is_released_by_client = true;
      }
      respond(from, stream,
              !stands                      ? "404"
              : request.method == "DELETE" ? "204"
                                           : "200",
              "application/json", "");
    }
  }
  void open_event_stream(Peer& from, std::int32_t stream, const std::string& last_event_id) {
    const auto last = std::strtoull(last_event_id.c_str(), nullptr, 10);
    std::string text = ":\n\n";
    // This process does not have what follows a number that it has not reached.
    if (last >= next_event_)
      text += "event: lost\ndata: {\"before\":" + std::to_string(next_event_) + "}\n\n";
    for (const auto& [number, event] : events_) {
      if (number > last || last >= next_event_) text += event;
    }
    log(name_ + ": event stream asked for after event " + (last_event_id.empty() ? "-" : last_event_id));
    from.event_stream = stream;
    from.is_event_stream_waiting = false;
    respond(from, stream, "200", "text/event-stream", text);
  }
  void set_up(Peer& from, std::int32_t stream, const std::string& id, const std::string& number) {
    const auto what = fate ? fate(id, number) : Fate::kStands;
    if (what == Fate::kRegionClosed) {
      log(name_ + ": set-up " + id + " answered 421, region-closed: it never ran");
      return respond(from, stream, "421", "application/problem+json",
                     R"({"type":"https://kartu.example/region-closed","status":421})");
    }
    sessions[id] = {};
    sessions[id].set_up_at = now_ms();
    log(name_ + ": session " + id + " for number " + number + " has run");
    if (what == Fate::kRunsAndResets) {
      log(name_ + ": its connection is reset before the answer");
      from.is_to_be_reset = true;
      return;
    }
    respond(from, stream, "201", "application/json",
            R"({"id":")" + id + R"(","description":"answer of )" + name_ + "\"}");
    loop_.after(hold_ms, [this, id, process = process_] {
      auto& session = sessions.at(id);
      if (process != process_ || session.ended_at != 0) return;
      session.ended_at = now_ms();
      session.end_event = emit("released", R"({"id":")" + id + R"(","cause":16})");
      log(name_ + ": session " + id + " released, event " + std::to_string(session.end_event));
    });
  }

  Loop& loop_;
  std::string name_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
  int process_ = 1;
  std::map<int, std::unique_ptr<Peer>> peers_;
  std::map<std::uint64_t, std::string> events_;  ///< of this process
  std::uint64_t next_event_ = 1;
};

}  // namespace review
