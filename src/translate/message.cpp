#include "translate/message.hpp"

namespace amberknot::translate {

void Message::set(Meaning meaning, std::string_view text) {
  const auto index = index_of(fields_, meaning);
  if (index == fields_.size() || !is_text(fields_[index].type)) return;
  text_bytes_ += text.size() + sizeof(std::string);
  record_.set(index, std::string_view(texts_.emplace_back(text)));
}

void Message::set(Meaning meaning, std::int64_t number) {
  const auto index = index_of(fields_, meaning);
  if (index == fields_.size() || is_text(fields_[index].type)) return;
  record_.set(index, number);
}

}  // namespace amberknot::translate
