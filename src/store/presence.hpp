// What a serving process says of itself in the folder that it shares with the process it replaces: one small
// file, locked for as long as the process lives, so that no crash leaves a false word behind.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/leaving.hpp"

namespace amberknot::store {

/// The file's text, and back; nothing where it is of another version, cut short or not ours.
std::string text_of(const core::ServingRecord& record);
std::optional<core::ServingRecord> read_record(std::string_view text);

class Presence {
 public:
  /// Writes and locks this process's file in `folder`. `error` says why where it could not be done; the
  /// router serves all the same, and a replacement is then not noticed.
  static std::optional<Presence> declare(const std::string& folder, const core::ServingRecord& self,
                                         std::string& error);
  Presence(Presence&& other) noexcept;
  Presence& operator=(Presence&&) = delete;
  ~Presence();

  /// The processes beside this one that hold their files. Files that nobody holds are of processes that died:
  /// they are removed. `unreadable` counts files that are held and cannot be read.
  [[nodiscard]] std::vector<core::ServingRecord> others(std::size_t& unreadable) const;
  [[nodiscard]] const core::ServingRecord& self() const { return self_; }

 private:
  Presence(std::string folder, std::string file, int descriptor, core::ServingRecord self);
  std::string folder_, file_;
  int descriptor_ = -1;
  core::ServingRecord self_;
};

}  // namespace amberknot::store
