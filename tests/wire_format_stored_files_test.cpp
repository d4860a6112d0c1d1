// Format of the files in the shared folder: their names and exact bytes. Guards against changes that a
// process of another release could not read during a hot restart.
#include <doctest/doctest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "hot_restart/instance_lock.hpp"
#include "hot_restart/undelivered_releases.hpp"

namespace amberknot::tests {
namespace {

constexpr const char* kInstanceText =
    R"({"version":1,"name":"n\"0","listen":"127.0.0.1:5070","started_unix_us":1790000000123456})"
    "\n";
constexpr const char* kReleasesText = R"({"version":1,"name":"n\"0","listen":"127.0.0.1:5070","releases":[)"
                                      R"({"caller":"10.4.7.9","id":"9b1f03aa5c7e2d41","cause":16},)"
                                      R"({"caller":"10.4.7.10","id":"9b1f03aa5c7e2d42","cause":41}]})";

const core::InstanceRecord kInstance{"n\"0", "127.0.0.1:5070", 1'790'000'000'123'456};

std::vector<core::UndeliveredRelease> two_releases() {
  return {{"10.4.7.9", "9b1f03aa5c7e2d41", 16}, {"10.4.7.10", "9b1f03aa5c7e2d42", 41}};
}

struct TemporaryFolder {
  TemporaryFolder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "amberknot-XXXXXX").string();
    REQUIRE(mkdtemp(pattern.data()) != nullptr);
    path = pattern;
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path); }
  /// The only file in the folder.
  [[nodiscard]] std::filesystem::path file() const {
    const std::filesystem::directory_iterator entries(path);
    REQUIRE(std::distance(begin(entries), end(entries)) == 1);
    return std::filesystem::directory_iterator(path)->path();
  }
  std::string path;
};

std::string content_of(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace

TEST_CASE("stored file bytes: the instance record") {
  const TemporaryFolder folder;
  const auto lock = hot_restart::InstanceLock::acquire(folder.path, kInstance);
  REQUIRE(std::holds_alternative<hot_restart::InstanceLock>(lock));
  CHECK(folder.file().filename().string().starts_with("amberknot-serving-"));
  CHECK(content_of(folder.file()) == kInstanceText);
}

TEST_CASE("stored file bytes: undelivered releases") {
  const TemporaryFolder folder;
  auto releases = two_releases();
  REQUIRE_FALSE(hot_restart::store_releases(folder.path, kInstance, releases));
  CHECK(folder.file().filename().string().starts_with("amberknot-releases-"));
  CHECK(content_of(folder.file()) == kReleasesText);
}

TEST_CASE("stored file bytes: files in this format are parsed") {
  CHECK(hot_restart::parse_instance_record(kInstanceText) == kInstance);
  CHECK(hot_restart::parse_releases(kReleasesText, kInstance) == two_releases());
  const TemporaryFolder folder;
  std::ofstream(folder.path + "/amberknot-releases-1790000000123456-1", std::ios::binary) << kReleasesText;
  const auto loaded = hot_restart::load_releases(folder.path, kInstance);
  CHECK(loaded.releases == two_releases());
  CHECK(loaded.unreadable_files == 0);
}

TEST_CASE("stored file bytes: an empty list of releases") {
  CHECK(hot_restart::serialize(kInstance, {}) ==
        R"({"version":1,"name":"n\"0","listen":"127.0.0.1:5070","releases":[]})");
}

}  // namespace amberknot::tests
