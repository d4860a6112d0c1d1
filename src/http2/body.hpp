// The bodies of the session API (docs/session-api.md): written from records, read into them, and checked
// against the JSON Schemas of schemas/session.schema.json. Pure functions over a buffer; what they compiled
// is kept.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "translate/dialect.hpp"
#include "translate/mapping.hpp"

namespace amberknot::http2 {

/// A record as a JSON object, its fields in their order. A duration is written in the field's unit.
std::string write_body(const std::vector<translate::FieldSpec>& fields, const translate::Record& record);

/// application/problem+json (RFC 9457). All of it is optional; what is not there is empty.
struct Problem {
  std::string type;  ///< the last path segment of the URI
  std::string field;
};

struct VersionsBody {
  std::vector<std::uint32_t> versions;
  std::string process;
};

/// One event of the stream, by its name.
struct SessionEvent {
  enum class Kind { kReleased, kAborted, kLoad, kLost, kDraining, kUnknown };
  Kind kind = Kind::kUnknown;
  std::string id;
  int cause = 0;
  std::uint64_t before = 0;
  std::vector<std::pair<std::string, double>> load;
};

/// Keeps the compiled schemas and the document last read; one for each reader.
class BodyReader {
 public:
  BodyReader();
  ~BodyReader();
  BodyReader(const BodyReader&) = delete;
  BodyReader& operator=(const BodyReader&) = delete;

  /// `body` is overwritten, and the record refers to it and to this reader until the next read. False: it is
  /// no JSON, or not as the schema of that name says; `fault` has the path and what is wrong there.
  bool read_set_up(std::uint32_t version, std::span<char> body, translate::Record& to, std::string& fault);
  bool read_answer(std::uint32_t version, std::span<char> body, translate::Record& to, std::string& fault);
  std::optional<Problem> read_problem(std::span<char> body, std::string& fault);
  std::optional<VersionsBody> read_versions(std::span<char> body, std::string& fault);
  /// An event of an unknown name is kUnknown, whatever its data.
  std::optional<SessionEvent> read_event(std::string_view name, std::span<char> data, std::string& fault);

 private:
  struct Parts;
  bool parse(std::span<char> body, const char* schema, std::string& fault);
  bool record(const std::vector<translate::FieldSpec>& fields, translate::Record& to, std::string& fault);
  std::unique_ptr<Parts> parts_;
};

}  // namespace amberknot::http2
