// JSON bodies of the session API (docs/session-api.md): writes them from records, and reads them into records
// after validating them against the JSON Schemas of schemas/session.schema.json. No I/O.
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

/// Writes a record as a JSON object, members in the order of `fields`. Fields that the record does not have
/// are left out; a duration is written in the unit of its field.
std::string write_body(const std::vector<translate::FieldSpec>& fields, const translate::Record& record);

/// The members of an application/problem+json body (RFC 9457) that the router uses. A member that the body
/// does not have is an empty string.
struct Problem {
  std::string type;   ///< last segment of the type URI
  std::string field;  ///< the field that the server objects to
};

/// The answer to GET /versions.
struct VersionsBody {
  std::vector<std::uint32_t> versions;
  std::string process;  ///< name of the server's process; empty if the server gives none
};

/// One event of a server's event stream. Which members are set depends on `kind`.
struct SessionEvent {
  enum class Kind { kReleased, kAborted, kLoad, kEventsLost, kDraining, kUnknown };
  Kind kind = Kind::kUnknown;
  std::string id;                                    ///< session; kReleased and kAborted
  int cause = 0;                                     ///< kReleased
  std::uint64_t lost_before = 0;                     ///< kEventsLost: events before this number are lost
  std::vector<std::pair<std::string, double>> load;  ///< kLoad: names and values of a load report
};

/// Reads and validates bodies. Holds the compiled schemas and the document read last, so each reader serves
/// one body at a time.
class BodyReader {
 public:
  BodyReader();
  ~BodyReader();
  BodyReader(const BodyReader&) = delete;
  BodyReader& operator=(const BodyReader&) = delete;

  /// Reads the body of a set-up in version 1 or 2 of the session API. The texts of `target` refer to this
  /// reader and are valid until its next read. Returns false if `body` is not JSON or violates its schema;
  /// `fault` then says what is wrong, after the path or name of a value if the body is JSON.
  bool read_set_up(std::uint32_t version, std::span<char> body, translate::Record& target,
                   std::string& fault);
  /// Reads the answer to a set-up; otherwise like read_set_up().
  bool read_answer(std::uint32_t version, std::span<char> body, translate::Record& target,
                   std::string& fault);
  /// Reads an application/problem+json body. Like read_versions() and read_event(), it returns nullopt and
  /// sets `fault` if the body is not JSON or violates its schema.
  std::optional<Problem> read_problem(std::span<char> body, std::string& fault);
  /// Reads the answer to GET /versions.
  std::optional<VersionsBody> read_versions(std::span<char> body, std::string& fault);
  /// Reads one event. An event with an unknown name is kUnknown, and its data is not validated.
  std::optional<SessionEvent> read_event(std::string_view name, std::span<char> data, std::string& fault);

 private:
  struct Impl;
  bool parse(std::span<char> body, const char* schema_name, std::string& fault);
  bool read_record(const std::vector<translate::FieldSpec>& fields, translate::Record& target,
                   std::string& fault);
  std::unique_ptr<Impl> impl_;
};

}  // namespace amberknot::http2
