// What a serving process says of itself in the folder that it shares with the process it replaces: one small
// file, locked for as long as the process lives, so that no crash leaves a false word behind.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/leaving.hpp"

namespace amberknot::hot_restart {

/// The file's text, and back; nothing where it is of another version, cut short or not ours.
std::string text_of(const core::InstanceRecord& record);
std::optional<core::InstanceRecord> read_record(std::string_view text);

class InstanceLock {
 public:
  /// Writes and locks this process's file in `folder`. `error` says why where it could not be done; the
  /// router serves all the same, and a replacement is then not noticed.
  static std::optional<InstanceLock> declare(const std::string& folder, const core::InstanceRecord& self,
                                             std::string& error);
  InstanceLock(InstanceLock&& other) noexcept;
  InstanceLock& operator=(InstanceLock&&) = delete;
  ~InstanceLock();

  /// The processes beside this one that hold their files. Files that nobody holds are of processes that died:
  /// they are removed. `unreadable` counts files that are held and cannot be read.
  [[nodiscard]] std::vector<core::InstanceRecord> others(std::size_t& unreadable) const;
  [[nodiscard]] const core::InstanceRecord& self() const { return self_; }

 private:
  InstanceLock(std::string folder, std::string file, int descriptor, core::InstanceRecord self);
  std::string folder_, file_;
  int descriptor_ = -1;
  core::InstanceRecord self_;
};

}  // namespace amberknot::hot_restart
