// A set-up as the frontend read it. It is kept for the life of the call, because further attempts may go to
// servers of other protocol versions.
#pragma once

#include <deque>
#include <string>
#include <string_view>

#include "core/ports.hpp"
#include "translate/mapping.hpp"

namespace amberknot::translate {

/// The fields of a set-up in the dialect of its client.
class Message : public core::ProtocolMessage {
 public:
  /// `client` is the index of the client's dialect in the router's Translator. `fields` must outlive the
  /// message.
  Message(std::size_t client, const std::vector<FieldSpec>& fields) : client_(client), fields_(fields) {}

  /// Sets the field with that meaning. Does nothing if the client's dialect has no such field of that type.
  void set(Meaning meaning, std::string_view text);
  void set(Meaning meaning, std::int64_t number);

  /// Index of the client's dialect in the router's Translator.
  [[nodiscard]] std::size_t client_dialect() const { return client_; }
  [[nodiscard]] const Record& record() const { return record_; }
  /// Approximate bytes of memory in use.
  [[nodiscard]] std::size_t bytes() const { return sizeof(*this) + text_bytes_; }

 private:
  std::size_t client_;
  const std::vector<FieldSpec>& fields_;
  std::deque<std::string> texts_;  // a deque, because the record refers to the texts while more are added
  std::size_t text_bytes_ = 0;
  Record record_;
};

}  // namespace amberknot::translate
