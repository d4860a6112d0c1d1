// The error of a file operation in the folder that processes share.
#pragma once

#include <string>

namespace amberknot::hot_restart {

/// What could not be done.
enum class StorageFault {
  kNoFolder,     ///< no folder is configured
  kWriteFailed,  ///< a file could not be made, locked, written or put in place
};

/// A failed operation.
struct StorageError {
  StorageFault fault = StorageFault::kWriteFailed;
  std::string message;  ///< for a log line: the path and the system's reason
};

}  // namespace amberknot::hot_restart
