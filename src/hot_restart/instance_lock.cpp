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

constexpr std::string_view kFilePrefix = "amberknot-serving-";
/// A record holds only a name, an address and a time, and is far smaller.
constexpr std::size_t kMaxFileBytes = 1024;

/// Owns a file descriptor.
class Descriptor {
 public:
  explicit Descriptor(int descriptor) : descriptor_(descriptor) {}
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  ~Descriptor() {
    if (descriptor_ >= 0) ::close(descriptor_);
  }
  [[nodiscard]] int get() const { return descriptor_; }
  /// Transfers ownership to the caller.
  int release() { return std::exchange(descriptor_, -1); }

 private:
  int descriptor_;
};

/// The first kMaxFileBytes of a file; empty if the file is empty or cannot be read.
std::string read_file(const Descriptor& file) {
  std::array<char, kMaxFileBytes> buffer{};
  const auto size = ::pread(file.get(), buffer.data(), buffer.size(), 0);
  return size > 0 ? std::string(buffer.data(), static_cast<std::size_t>(size)) : std::string();
}

bool write_file(const Descriptor& file, const std::string& text) {
  return ::pwrite(file.get(), text.data(), text.size(), 0) == static_cast<ssize_t>(text.size());
}

bool is_locked_by_another(const Descriptor& file) {
  return ::flock(file.get(), LOCK_SH | LOCK_NB) != 0;
}

}  // namespace

std::string serialize(const core::InstanceRecord& record) {
  rapidjson::StringBuffer text;
  rapidjson::Writer<rapidjson::StringBuffer> writer(text);
  writer.StartObject();
  write_head(writer, record);
  writer.Key("started_unix_us");
  writer.Int64(record.started_unix_us);
  writer.EndObject();
  return std::string(text.GetString(), text.GetSize()) + "\n";
}

std::optional<core::InstanceRecord> parse_instance_record(std::string_view text) {
  rapidjson::Document document;
  if (document.Parse(text.data(), text.size()).HasParseError()) return std::nullopt;
  auto record = parse_head(document);
  if (!record) return std::nullopt;
  const auto started = document.FindMember("started_unix_us");
  if (started == document.MemberEnd() || !started->value.IsInt64()) return std::nullopt;
  record->started_unix_us = started->value.GetInt64();
  return record;
}

std::variant<InstanceLock, StorageError> InstanceLock::acquire(const std::string& folder,
                                                               const core::InstanceRecord& self) {
  if (folder.empty()) return StorageError{StorageFault::kNoFolder, "TMPDIR is not set"};
  std::string path = folder + "/" + std::string(kFilePrefix) + "XXXXXX";
  Descriptor created(::mkostemp(path.data(), O_CLOEXEC));
  // The file is locked before it is written: another process that finds a file with content but without a
  // lock assumes that its process has ended, and removes it.
  if (created.get() < 0 || ::flock(created.get(), LOCK_EX) != 0 || !write_file(created, serialize(self))) {
    StorageError error{StorageFault::kWriteFailed, folder + ": " + std::strerror(errno)};
    if (created.get() >= 0) ::unlink(path.c_str());
    return error;
  }
  return InstanceLock(folder, std::move(path), created.release(), self);
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

OtherInstances InstanceLock::others() const {
  OtherInstances others;
  std::error_code failed;
  for (std::filesystem::directory_iterator entry(folder_, failed), end; !failed && entry != end;
       entry.increment(failed)) {
    const auto path = entry->path().string();
    if (!entry->path().filename().string().starts_with(kFilePrefix) || path == file_) continue;
    const Descriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (file.get() < 0) continue;
    if (!is_locked_by_another(file)) {
      // The process of an unlocked file has ended, unless the file is empty: then its process is about to
      // lock and write it, and the file is kept.
      if (!read_file(file).empty()) ::unlink(path.c_str());
      continue;
    }
    if (auto record = parse_instance_record(read_file(file))) {
      others.records.push_back(std::move(*record));
    } else {
      ++others.unreadable_files;
    }
  }
  return others;
}

}  // namespace amberknot::hot_restart
