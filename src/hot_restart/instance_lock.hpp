// The record that a serving process keeps in the folder that it shares with the process that replaces it. It
// is a small file that is locked while the process lives, so that the record of a crashed process is ignored.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/graceful_shutdown.hpp"
#include "hot_restart/storage_error.hpp"

namespace amberknot::hot_restart {

/// The content of an instance's file.
std::string serialize(const core::InstanceRecord& record);
/// Parses the content of an instance's file. Returns nothing if it is incomplete, invalid or of another
/// version.
std::optional<core::InstanceRecord> parse_instance_record(std::string_view text);

/// Other serving processes, according to their files.
struct OtherInstances {
  std::vector<core::InstanceRecord> records;
  std::size_t unreadable_files = 0;  ///< locked by a process, but cannot be parsed
};

/// Holds this process's file and its lock; the destructor removes the file. Used on one thread. File
/// operations block, but only briefly since the folder is in memory.
class InstanceLock {
 public:
  /// Creates, locks and writes this process's file in `folder`. A router can serve without it, but then does
  /// not detect that another process replaces it.
  static std::variant<InstanceLock, StorageError> acquire(const std::string& folder,
                                                          const core::InstanceRecord& self);
  InstanceLock(InstanceLock&& other) noexcept;
  InstanceLock& operator=(InstanceLock&&) = delete;
  ~InstanceLock();

  /// Reads the files of the other processes in the folder. Files without a lock belong to ended processes and
  /// are removed.
  [[nodiscard]] OtherInstances others() const;
  /// The record in this process's file.
  [[nodiscard]] const core::InstanceRecord& self() const { return self_; }

 private:
  InstanceLock(std::string folder, std::string file, int descriptor, core::InstanceRecord self);
  std::string folder_;
  std::string file_;
  int descriptor_ = -1;  ///< of the locked file; negative if moved from
  core::InstanceRecord self_;
};

}  // namespace amberknot::hot_restart
