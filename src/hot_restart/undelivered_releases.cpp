#include "hot_restart/undelivered_releases.hpp"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "hot_restart/record_head.hpp"

namespace amberknot::hot_restart {
namespace {

constexpr std::string_view kFilePrefix = "amberknot-releases-";
/// Prefix of a file that is being written; files with it are not loaded.
constexpr std::string_view kDraftPrefix = ".draft-";
constexpr std::uintmax_t kMaxFileBytes = 1024 * 1024;
/// More releases are split into several files, so that no file exceeds kMaxFileBytes. A release takes far
/// less than 200 bytes, with the quoted id and caller's address.
constexpr std::size_t kMaxReleasesInFile = kMaxFileBytes / 256;

/// Returns a new file name; names sort in the order of creation.
std::string next_file_name() {
  static std::uint64_t sequence_number = 0;
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto now_us = std::chrono::duration_cast<std::chrono::microseconds>(now).count();
  return std::string(kFilePrefix) + std::to_string(now_us) + "-" + std::to_string(++sequence_number);
}

/// Writes a file under a temporary name and renames it, so that it is never loaded incomplete.
std::optional<StorageError> store_file(const std::string& folder, const std::string& text) {
  const auto name = next_file_name();
  const auto path = folder + "/" + name;
  const auto draft = folder + "/" + std::string(kDraftPrefix) + name;
  std::ofstream file(draft, std::ios::binary);
  file << text;
  file.close();
  if (file && std::rename(draft.c_str(), path.c_str()) == 0) return std::nullopt;
  StorageError error{StorageFault::kWriteFailed, draft + ": " + std::strerror(errno)};
  std::remove(draft.c_str());
  return error;
}

/// The paths of all release files, oldest first.
std::vector<std::filesystem::path> release_files(const std::string& folder) {
  std::vector<std::filesystem::path> files;
  std::error_code failed;
  for (std::filesystem::directory_iterator entry(folder, failed), end; !failed && entry != end;
       entry.increment(failed)) {
    if (entry->path().filename().string().starts_with(kFilePrefix)) files.push_back(entry->path());
  }
  std::sort(files.begin(), files.end());
  return files;
}

std::optional<std::vector<core::UndeliveredRelease>> load_file(const std::filesystem::path& path,
                                                               const core::InstanceRecord& self) {
  std::error_code failed;
  const auto size = std::filesystem::file_size(path, failed);
  if (failed || size > kMaxFileBytes) return std::nullopt;
  std::ifstream file(path, std::ios::binary);
  return parse_releases(std::string(std::istreambuf_iterator<char>(file), {}), self);
}

void write_release(rapidjson::Writer<rapidjson::StringBuffer>& writer,
                   const core::UndeliveredRelease& release) {
  writer.StartObject();
  writer.Key("caller");
  writer.String(release.caller.c_str());
  writer.Key("id");
  writer.String(release.call_id.c_str());
  writer.Key("cause");
  writer.Int(release.cause);
  writer.EndObject();
}

std::optional<core::UndeliveredRelease> parse_release(const rapidjson::Value& item) {
  if (!item.IsObject()) return std::nullopt;
  const auto caller = item.FindMember("caller");
  const auto id = item.FindMember("id");
  const auto cause = item.FindMember("cause");
  const auto end = item.MemberEnd();
  if (caller == end || !caller->value.IsString()) return std::nullopt;
  if (id == end || !id->value.IsString()) return std::nullopt;
  if (cause == end || !cause->value.IsInt()) return std::nullopt;
  return core::UndeliveredRelease{
      .caller = caller->value.GetString(), .call_id = id->value.GetString(), .cause = cause->value.GetInt()};
}

}  // namespace

std::string serialize(const core::InstanceRecord& self,
                      const std::vector<core::UndeliveredRelease>& releases) {
  rapidjson::StringBuffer text;
  rapidjson::Writer<rapidjson::StringBuffer> writer(text);
  writer.StartObject();
  write_head(writer, self);
  writer.Key("releases");
  writer.StartArray();
  for (const auto& release : releases) write_release(writer, release);
  writer.EndArray();
  writer.EndObject();
  return {text.GetString(), text.GetSize()};
}

std::optional<std::vector<core::UndeliveredRelease>> parse_releases(std::string_view text,
                                                                    const core::InstanceRecord& self) {
  rapidjson::Document document;
  if (document.Parse(text.data(), text.size()).HasParseError()) return std::nullopt;
  const auto head = parse_head(document);
  if (!head || head->name != self.name || head->listen != self.listen) return std::nullopt;
  const auto list = document.FindMember("releases");
  if (list == document.MemberEnd() || !list->value.IsArray()) return std::nullopt;
  std::vector<core::UndeliveredRelease> releases;
  for (const auto& item : list->value.GetArray()) {
    auto release = parse_release(item);
    if (!release) return std::nullopt;
    releases.push_back(std::move(*release));
  }
  return releases;
}

std::optional<StorageError> store_releases(const std::string& folder, const core::InstanceRecord& self,
                                           std::vector<core::UndeliveredRelease>& releases) {
  while (!releases.empty()) {
    const auto count = static_cast<std::ptrdiff_t>(std::min(releases.size(), kMaxReleasesInFile));
    const auto end = releases.begin() + count;
    if (auto error = store_file(folder, serialize(self, {releases.begin(), end}))) return error;
    releases.erase(releases.begin(), end);
  }
  return std::nullopt;
}

LoadedReleases load_releases(const std::string& folder, const core::InstanceRecord& self) {
  LoadedReleases loaded;
  for (const auto& path : release_files(folder)) {
    auto releases = load_file(path, self);
    std::error_code ignored;  // a file that cannot be removed is loaded again
    std::filesystem::remove(path, ignored);
    if (!releases) {
      ++loaded.unreadable_files;
      continue;
    }
    std::move(releases->begin(), releases->end(), std::back_inserter(loaded.releases));
  }
  return loaded;
}

}  // namespace amberknot::hot_restart
