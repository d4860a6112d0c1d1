#include "translate/message.hpp"

#include <algorithm>

namespace amberknot::translate {

std::size_t Message::field_of(Meaning meaning) const {
  const auto found = std::find_if(fields_.begin(), fields_.end(),
                                  [meaning](const auto& one) { return one.meaning == meaning; });
  return static_cast<std::size_t>(found - fields_.begin());
}

void Message::set(Meaning meaning, std::string_view text) {
  const auto at = field_of(meaning);
  if (at == fields_.size() || !is_textual(fields_[at].type)) return;
  held_ += text.size() + sizeof(std::string);
  record_.set(at, std::string_view(texts_.emplace_back(text)));
}

void Message::set(Meaning meaning, std::int64_t number) {
  const auto at = field_of(meaning);
  if (at == fields_.size() || is_textual(fields_[at].type)) return;
  record_.set(at, number);
}

}  // namespace amberknot::translate
