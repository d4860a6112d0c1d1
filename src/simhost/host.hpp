// Hosts many instances of the decision module: routes events to them and collects their actions.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "amberknot/admission.hpp"
#include "codec.hpp"

namespace amberknot::simhost {

class Host {
 public:
  Host();
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  /// Answers one batch. Throws WireError on a frame that cannot be read.
  std::vector<std::uint8_t> answer(const BatchHeader& header, std::span<const std::uint8_t> body);

 private:
  struct Instance;
  struct Round;

  std::map<std::uint32_t, std::unique_ptr<Instance>> instances_;
  std::map<std::uint16_t, std::vector<EndpointEntry>> lists_;
};

}  // namespace amberknot::simhost
