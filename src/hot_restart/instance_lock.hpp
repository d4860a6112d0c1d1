// The record that a serving process keeps in the folder that it shares with the process that replaces it: one
// small file, locked for as long as the process lives, so that a crash leaves no record that counts.
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

/// The text of an instance's file.
std::string serialize(const core::InstanceRecord& record);
/// Parses that text; empty: it is of another version, partially written or no such record.
std::optional<core::InstanceRecord> parse_instance_record(std::string_view text);

/// Other processes that serve, as their files say.
struct OtherInstances {
  std::vector<core::InstanceRecord> records;
  std::size_t unreadable_files = 0;  ///< locked by a process, but not to be parsed
};

/// Holds this process's file and its lock; the file is removed when it is destroyed. Used on one thread; its
/// file operations block, which is short as the folder is in memory.
class InstanceLock {
 public:
  /// Writes and locks this process's file in `folder`. The router also serves without it, but a process that
  /// replaces it is not noticed then.
  static std::variant<InstanceLock, StorageError> acquire(const std::string& folder,
                                                          const core::InstanceRecord& self);
  InstanceLock(InstanceLock&& other) noexcept;
  InstanceLock& operator=(InstanceLock&&) = delete;
  ~InstanceLock();

  /// Reads the files of the other processes in the folder. Files without a lock are of processes that died:
  /// they are removed.
  [[nodiscard]] OtherInstances others() const;
  /// The record in this process's file.
  [[nodiscard]] const core::InstanceRecord& self() const { return self_; }

 private:
  InstanceLock(std::string folder, std::string file, int descriptor, core::InstanceRecord self);
  std::string folder_;
  std::string file_;
  int descriptor_ = -1;  ///< of the file, with the lock; below 0: moved from
  core::InstanceRecord self_;
};

}  // namespace amberknot::hot_restart
