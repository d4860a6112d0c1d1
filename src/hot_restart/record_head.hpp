// The members that begin every file in the shared folder: the version of the format and the router that wrote
// it.
#pragma once

#include <rapidjson/document.h>

#include <optional>

#include "core/graceful_shutdown.hpp"

namespace amberknot::hot_restart {

/// The version of the format. Files of another version are not read.
inline constexpr int kRecordVersion = 1;

/// Writes the members into an object that `writer` has started.
template <typename Writer>
void write_head(Writer& writer, const core::InstanceRecord& instance) {
  writer.Key("version");
  writer.Int(kRecordVersion);
  writer.Key("name");
  writer.String(instance.name.c_str());
  writer.Key("listen");
  writer.String(instance.listen.c_str());
}

/// Parses the name and address; the start time stays 0. Returns nothing if a member is missing or invalid, or
/// the version is another one.
inline std::optional<core::InstanceRecord> parse_head(const rapidjson::Value& record) {
  if (!record.IsObject()) return std::nullopt;
  const auto version = record.FindMember("version");
  const auto name = record.FindMember("name");
  const auto listen = record.FindMember("listen");
  const auto end = record.MemberEnd();
  if (version == end || !version->value.IsInt() || version->value.GetInt() != kRecordVersion || name == end ||
      !name->value.IsString() || listen == end || !listen->value.IsString()) {
    return std::nullopt;
  }
  return core::InstanceRecord{
      .name = name->value.GetString(), .listen = listen->value.GetString(), .started_unix_us = 0};
}

}  // namespace amberknot::hot_restart
