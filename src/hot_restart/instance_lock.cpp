#include "hot_restart/instance_lock.hpp"

#include <fcntl.h>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <sys/file.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <utility>

#include "hot_restart/record_head.hpp"

namespace amberknot::hot_restart {
namespace {

constexpr std::string_view kPrefix = "amberknot-serving-";
constexpr std::size_t kMaxText = 1024;

class Descriptor {
 public:
  explicit Descriptor(int number) : number_(number) {}
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  ~Descriptor() {
    if (number_ >= 0) ::close(number_);
  }
  [[nodiscard]] int get() const { return number_; }
  int keep() { return std::exchange(number_, -1); }

 private:
  int number_;
};

std::string read_some(int descriptor) {
  std::array<char, kMaxText> text{};
  const auto got = ::pread(descriptor, text.data(), text.size(), 0);
  return got > 0 ? std::string(text.data(), static_cast<std::size_t>(got)) : std::string();
}

}  // namespace

std::string text_of(const core::InstanceRecord& record) {
  rapidjson::StringBuffer text;
  rapidjson::Writer<rapidjson::StringBuffer> to(text);
  to.StartObject();
  write_head(to, record);
  to.Key("started_unix_us");
  to.Int64(record.started_unix_us);
  to.EndObject();
  return std::string(text.GetString(), text.GetSize()) + "\n";
}

std::optional<core::InstanceRecord> read_record(std::string_view text) {
  rapidjson::Document read;
  if (read.Parse(text.data(), text.size()).HasParseError()) return std::nullopt;
  auto record = read_head(read);
  if (!record) return std::nullopt;
  const auto started = read.FindMember("started_unix_us");
  if (started == read.MemberEnd() || !started->value.IsInt64()) return std::nullopt;
  record->started_unix_us = started->value.GetInt64();
  return record;
}

std::optional<InstanceLock> InstanceLock::declare(const std::string& folder, const core::InstanceRecord& self,
                                                  std::string& error) {
  if (folder.empty()) {
    error = "no folder is given in TMPDIR";
    return std::nullopt;
  }
  std::string file = folder + "/" + std::string(kPrefix) + "XXXXXX";
  Descriptor made(::mkostemp(file.data(), O_CLOEXEC));
  const auto text = text_of(self);
  // Locked before it holds anything: who sees it unlocked may take it for a dead process's and remove it.
  if (made.get() < 0 || ::flock(made.get(), LOCK_EX) != 0 ||
      ::pwrite(made.get(), text.data(), text.size(), 0) != static_cast<ssize_t>(text.size())) {
    error = folder + ": " + std::strerror(errno);
    if (made.get() >= 0) ::unlink(file.c_str());
    return std::nullopt;
  }
  return InstanceLock(folder, std::move(file), made.keep(), self);
}

InstanceLock::InstanceLock(std::string folder, std::string file, int descriptor, core::InstanceRecord self)
    : folder_(std::move(folder)), file_(std::move(file)), descriptor_(descriptor), self_(std::move(self)) {}

InstanceLock::InstanceLock(InstanceLock&& other) noexcept
    : folder_(std::move(other.folder_)),
      file_(std::move(other.file_)),
      descriptor_(std::exchange(other.descriptor_, -1)),
      self_(std::move(other.self_)) {}

InstanceLock::~InstanceLock() {
  if (descriptor_ < 0) return;
  ::unlink(file_.c_str());
  ::close(descriptor_);
}

std::vector<core::InstanceRecord> InstanceLock::others(std::size_t& unreadable) const {
  std::vector<core::InstanceRecord> found;
  std::error_code failed;
  for (std::filesystem::directory_iterator at(folder_, failed), end; !failed && at != end;
       at.increment(failed)) {
    const auto path = at->path().string();
    if (!at->path().filename().string().starts_with(kPrefix) || path == file_) continue;
    const Descriptor open(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (open.get() < 0) continue;
    if (::flock(open.get(), LOCK_SH | LOCK_NB) == 0) {
      // Written and never locked, or its process has died. A file that is being made holds nothing yet.
      if (!read_some(open.get()).empty()) ::unlink(path.c_str());
      continue;
    }
    if (auto record = read_record(read_some(open.get()))) {
      found.push_back(std::move(*record));
    } else {
      ++unreadable;
    }
  }
  return found;
}

}  // namespace amberknot::hot_restart
