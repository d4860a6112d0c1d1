// Releases that a replaced process could not deliver: calls established with it have ended, but their callers
// are connected to the other process by now. It stores them as small files in the folder that both share, and
// the other process loads and delivers them.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/graceful_shutdown.hpp"
#include "hot_restart/storage_error.hpp"

namespace amberknot::hot_restart {

/// The text of one file of releases.
std::string serialize(const core::InstanceRecord& self,
                      const std::vector<core::UndeliveredRelease>& releases);
/// Parses that text; empty: it is of another version or another router, partially written or no such file.
std::optional<std::vector<core::UndeliveredRelease>> parse_releases(std::string_view text,
                                                                    const core::InstanceRecord& self);

/// Stores the releases in as many files as they need, each put in place whole, and removes from `releases`
/// what is stored. Empty: all of them are; else the rest stays in `releases`. Blocks for the file operations,
/// which is short as the folder is in memory.
std::optional<StorageError> store_releases(const std::string& folder, const core::InstanceRecord& self,
                                           std::vector<core::UndeliveredRelease>& releases);

/// What was stored for a router.
struct LoadedReleases {
  std::vector<core::UndeliveredRelease> releases;  ///< in the order in which they were stored
  std::size_t unreadable_files = 0;                ///< could not be parsed, or are of another router
};

/// Loads all that was stored for this router and removes the files, also those that cannot be parsed. Blocks
/// like `store_releases`.
LoadedReleases load_releases(const std::string& folder, const core::InstanceRecord& self);

}  // namespace amberknot::hot_restart
