// Errors of file operations in the folder that the processes of a router share.
#pragma once

#include <string>

namespace amberknot::hot_restart {

/// What failed.
enum class StorageFault {
  kNoFolder,     ///< no folder is configured
  kWriteFailed,  ///< a file could not be created, locked, written or renamed
};

/// The error of a failed operation.
struct StorageError {
  StorageFault fault = StorageFault::kWriteFailed;
  std::string message;  ///< for the log: the path and the system's error text
};

}  // namespace amberknot::hot_restart
