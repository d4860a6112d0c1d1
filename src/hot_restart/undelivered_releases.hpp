// Releases that a replaced process cannot deliver: calls that it established have ended, but their callers
// are now connected to the process that replaces it. The replaced process stores these releases as small
// files in the shared folder, and the other process loads and delivers them.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/graceful_shutdown.hpp"
#include "hot_restart/storage_error.hpp"

namespace amberknot::hot_restart {

/// The content of a release file.
std::string serialize(const core::InstanceRecord& self,
                      const std::vector<core::UndeliveredRelease>& releases);
/// Parses the content of a release file. Returns nothing if it is incomplete, invalid, of another version or
/// of another router.
std::optional<std::vector<core::UndeliveredRelease>> parse_releases(std::string_view text,
                                                                    const core::InstanceRecord& self);

/// Stores the releases in as many files as they need and removes the stored ones from `releases`. Returns an
/// error if some could not be stored; these stay in `releases`. File operations block, but only briefly since
/// the folder is in memory.
std::optional<StorageError> store_releases(const std::string& folder, const core::InstanceRecord& self,
                                           std::vector<core::UndeliveredRelease>& releases);

/// The releases that were stored for a router.
struct LoadedReleases {
  std::vector<core::UndeliveredRelease> releases;  ///< in the order in which they were stored
  std::size_t unreadable_files = 0;                ///< files that are invalid or of another router
};

/// Loads all releases that were stored for this router and removes every release file, including unreadable
/// ones. Blocks like `store_releases`.
LoadedReleases load_releases(const std::string& folder, const core::InstanceRecord& self);

}  // namespace amberknot::hot_restart
