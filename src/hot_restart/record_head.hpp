// The members that every file in the shared folder begins with: the version of its form and whose it is.
#pragma once

#include <rapidjson/document.h>

#include <optional>

#include "core/graceful_shutdown.hpp"

namespace amberknot::hot_restart {

/// Files of another version are not read.
inline constexpr int kRecordVersion = 1;

/// Writes the head into an object that `writer` has begun.
template <typename Writer>
void write_head(Writer& writer, const core::InstanceRecord& instance) {
  writer.Key("version");
  writer.Int(kRecordVersion);
  writer.Key("name");
  writer.String(instance.name.c_str());
  writer.Key("listen");
  writer.String(instance.listen.c_str());
}

/// The name and address, with no start time; empty: it is no such record, or of another version.
inline std::optional<core::InstanceRecord> parse_head(const rapidjson::Value& record) {
  if (!record.IsObject()) return std::nullopt;
  const auto version = record.FindMember("version");
  const auto name = record.FindMember("name");
  const auto listen = record.FindMember("listen");
  const auto none = record.MemberEnd();
  if (version == none || !version->value.IsInt() || version->value.GetInt() != kRecordVersion ||
      name == none || !name->value.IsString() || listen == none || !listen->value.IsString()) {
    return std::nullopt;
  }
  return core::InstanceRecord{
      .name = name->value.GetString(), .listen = listen->value.GetString(), .started_unix_us = 0};
}

}  // namespace amberknot::hot_restart
