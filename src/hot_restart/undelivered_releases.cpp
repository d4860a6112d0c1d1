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

constexpr std::string_view kPrefix = "amberknot-releases-";
constexpr std::uintmax_t kMaxText = 1024 * 1024;
// More go into several files, so that each can be read: an id and a caller's address, quoted, are far below
// 200 bytes.
constexpr std::size_t kMaxInOne = kMaxText / 256;

/// Names sort in the order of their making.
std::string next_name() {
  static std::uint64_t made = 0;
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  auto name = std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(now).count()) + "-" +
              std::to_string(++made);
  return std::string(kPrefix) + name;
}

}  // namespace

std::string text_of(const core::InstanceRecord& self, const std::vector<core::UndeliveredRelease>& releases) {
  rapidjson::StringBuffer text;
  rapidjson::Writer<rapidjson::StringBuffer> to(text);
  to.StartObject();
  write_head(to, self);
  to.Key("releases");
  to.StartArray();
  for (const auto& one : releases) {
    to.StartObject();
    to.Key("caller");
    to.String(one.caller.c_str());
    to.Key("id");
    to.String(one.id.c_str());
    to.Key("cause");
    to.Int(one.cause);
    to.EndObject();
  }
  to.EndArray();
  to.EndObject();
  return {text.GetString(), text.GetSize()};
}

std::optional<std::vector<core::UndeliveredRelease>> read_releases(std::string_view text,
                                                                   const core::InstanceRecord& self) {
  rapidjson::Document read;
  if (read.Parse(text.data(), text.size()).HasParseError()) return std::nullopt;
  const auto head = read_head(read);
  if (!head || head->name != self.name || head->listen != self.listen) return std::nullopt;
  const auto list = read.FindMember("releases");
  if (list == read.MemberEnd() || !list->value.IsArray()) return std::nullopt;
  std::vector<core::UndeliveredRelease> releases;
  for (const auto& item : list->value.GetArray()) {
    if (!item.IsObject() || !item.HasMember("caller") || !item["caller"].IsString() ||
        !item.HasMember("id") || !item["id"].IsString() || !item.HasMember("cause") ||
        !item["cause"].IsInt()) {
      return std::nullopt;
    }
    releases.push_back({item["caller"].GetString(), item["id"].GetString(), item["cause"].GetInt()});
  }
  return releases;
}

bool store_releases(const std::string& folder, const core::InstanceRecord& self,
                    std::vector<core::UndeliveredRelease>& releases, std::string& error) {
  while (!releases.empty()) {
    const auto end = releases.begin() + static_cast<std::ptrdiff_t>(std::min(releases.size(), kMaxInOne));
    const auto place = folder + "/" + next_name();
    const auto draft = folder + "/.draft-" + place.substr(folder.size() + 1);
    std::ofstream file(draft, std::ios::binary);
    file << text_of(self, {releases.begin(), end});
    file.close();
    if (!file || std::rename(draft.c_str(), place.c_str()) != 0) {
      error = draft + ": " + std::strerror(errno);
      std::remove(draft.c_str());
      return false;
    }
    releases.erase(releases.begin(), end);
  }
  return true;
}

std::vector<core::UndeliveredRelease> load_releases(const std::string& folder,
                                                    const core::InstanceRecord& self,
                                                    std::size_t& unreadable) {
  std::vector<std::filesystem::path> files;
  std::error_code failed;
  for (std::filesystem::directory_iterator at(folder, failed), end; !failed && at != end;
       at.increment(failed)) {
    if (at->path().filename().string().starts_with(kPrefix)) files.push_back(at->path());
  }
  std::sort(files.begin(), files.end());
  std::vector<core::UndeliveredRelease> all;
  for (const auto& path : files) {
    const auto size = std::filesystem::file_size(path, failed);
    std::optional<std::vector<core::UndeliveredRelease>> read;
    if (!failed && size <= kMaxText) {
      std::ifstream file(path, std::ios::binary);
      read = read_releases(std::string(std::istreambuf_iterator<char>(file), {}), self);
    }
    std::filesystem::remove(path, failed);
    if (read) {
      all.insert(all.end(), std::make_move_iterator(read->begin()), std::make_move_iterator(read->end()));
    } else {
      ++unreadable;
    }
  }
  return all;
}

}  // namespace amberknot::hot_restart
