// What every file in the shared folder begins with: the version of its form, and whose it is.
#pragma once

#include <rapidjson/document.h>

#include <optional>

#include "core/leaving.hpp"

namespace amberknot::hot_restart {

inline constexpr int kRecordVersion = 1;

template <typename Writer>
void write_head(Writer& to, const core::InstanceRecord& whose) {
  to.Key("version");
  to.Int(kRecordVersion);
  to.Key("name");
  to.String(whose.name.c_str());
  to.Key("listen");
  to.String(whose.listen.c_str());
}

/// The name and address; nothing where it is no such record, or of another version.
inline std::optional<core::InstanceRecord> read_head(const rapidjson::Value& record) {
  if (!record.IsObject()) return std::nullopt;
  const auto version = record.FindMember("version");
  const auto name = record.FindMember("name");
  const auto listen = record.FindMember("listen");
  const auto none = record.MemberEnd();
  if (version == none || !version->value.IsInt() || version->value.GetInt() != kRecordVersion ||
      name == none || !name->value.IsString() || listen == none || !listen->value.IsString()) {
    return std::nullopt;
  }
  return core::InstanceRecord{name->value.GetString(), listen->value.GetString(), 0};
}

}  // namespace amberknot::hot_restart
