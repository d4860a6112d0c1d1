#include "translate/canonical.hpp"

namespace amberknot::translate {
namespace {

constexpr std::array<std::string_view, kKinds> kKindNames = {"set-up", "answer", "give-up", "release"};

constexpr std::array<std::string_view, kMeanings> kMeaningNames = {
    "none",   "call",     "class",      "number",   "tenant",   "description", "patience",
    "pool",   "width",    "again",      "terminal", "acquirer", "trace",       "reference",
    "amount", "currency", "local-time", "region",   "cause",    "reason"};

template <typename Enum, std::size_t N>
std::optional<Enum> find_by_name(const std::array<std::string_view, N>& names, std::string_view name) {
  for (std::size_t i = 0; i < N; ++i) {
    if (names[i] == name) return static_cast<Enum>(i);
  }
  return std::nullopt;
}

}  // namespace

std::string_view name_of(MessageKind kind) {
  return kKindNames[static_cast<std::size_t>(kind)];
}
std::optional<MessageKind> kind_of(std::string_view name) {
  return find_by_name<MessageKind>(kKindNames, name);
}
std::string_view name_of(Meaning meaning) {
  return kMeaningNames[static_cast<std::size_t>(meaning)];
}
}  // namespace amberknot::translate
