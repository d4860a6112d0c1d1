#include "translate/message.hpp"

namespace amberknot::translate {

void Message::set(Meaning meaning, std::string_view text) {
  const auto at = index_of(fields_, meaning);
  if (at == fields_.size() || !is_textual(fields_[at].type)) return;
  held_ += text.size() + sizeof(std::string);
  record_.set(at, std::string_view(texts_.emplace_back(text)));
}

void Message::set(Meaning meaning, std::int64_t number) {
  const auto at = index_of(fields_, meaning);
  if (at == fields_.size() || is_textual(fields_[at].type)) return;
  record_.set(at, number);
}

}  // namespace amberknot::translate
