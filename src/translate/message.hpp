// A set-up as its front read it, kept while the call lives: it may be said to servers of several versions.
#pragma once

#include <deque>
#include <string>
#include <string_view>

#include "core/ports.hpp"
#include "translate/mapping.hpp"

namespace amberknot::translate {

class Message : public core::ProtocolMessage {
 public:
  /// `client` is the number of the client's dialect in the router's Translator.
  Message(std::size_t client, const std::vector<FieldSpec>& fields) : client_(client), fields_(fields) {}

  /// The field of that meaning; what the client's dialect has no field for is skipped.
  void set(Meaning meaning, std::string_view text);
  void set(Meaning meaning, std::int64_t number);

  [[nodiscard]] std::size_t client() const { return client_; }
  [[nodiscard]] const Record& record() const { return record_; }
  /// Bytes held.
  [[nodiscard]] std::size_t bytes() const { return sizeof(*this) + held_; }

 private:
  std::size_t client_;
  const std::vector<FieldSpec>& fields_;
  std::deque<std::string> texts_;  // they stay where they are while more are added
  std::size_t held_ = 0;
  Record record_;
};

}  // namespace amberknot::translate
