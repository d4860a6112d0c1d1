// What a replaced process still has to tell callers who have gone to the other process: releases of calls
// that stood with it. It leaves them as small files in the shared folder, each put in place whole; the other
// process takes them from there. The folder is memory (DEPLOY), so that neither waits for a disk.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/leaving.hpp"

namespace amberknot::hot_restart {

/// What one file holds; nothing where it is of another version, another router's, cut short or not ours.
std::string text_of(const core::InstanceRecord& self, const std::vector<core::UndeliveredRelease>& releases);
std::optional<std::vector<core::UndeliveredRelease>> read_releases(std::string_view text,
                                                                   const core::InstanceRecord& self);

/// Takes out what was left there, in as many files as it needs. False: the rest could not be left, and
/// `error` says why.
bool store_releases(const std::string& folder, const core::InstanceRecord& self,
                    std::vector<core::UndeliveredRelease>& releases, std::string& error);
/// All that was left there for this router, in the order in which it was left; the files are removed.
/// `unreadable` counts those that could not be taken, which are removed too.
std::vector<core::UndeliveredRelease> load_releases(const std::string& folder,
                                                    const core::InstanceRecord& self,
                                                    std::size_t& unreadable);

}  // namespace amberknot::hot_restart
