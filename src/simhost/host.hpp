// Runs many instances of the decision module for the simulator.
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

/// Passes the events of each batch to the instances and collects their actions. Not thread-safe.
class Host {
 public:
  Host();
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  /// Processes one batch and returns the reply. Throws WireError if the frame is invalid; an exception of an
  /// instance is reported in the reply and stops that instance.
  std::vector<std::uint8_t> answer(const BatchHeader& header, std::span<const std::uint8_t> body);

 private:
  struct Instance;
  struct Batch;

  std::map<std::uint32_t, std::unique_ptr<Instance>> instances_;
  std::map<std::uint16_t, std::vector<EndpointEntry>> endpoint_lists_;
};

}  // namespace amberknot::simhost
