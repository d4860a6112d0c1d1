// Builds frames of the simulator's binary protocol byte by byte, independently of the codec under test.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace amberknot::testing {

using Bytes = std::vector<std::uint8_t>;

/// Appends the `width` low bytes of `value`, least significant byte first.
inline Bytes& append_little_endian(Bytes& bytes, std::uint64_t value, int width) {
  for (int i = 0; i < width; ++i) bytes.push_back(static_cast<std::uint8_t>(value >> (8 * i)));
  return bytes;
}

/// The bytes that `text` gives as pairs of hex digits.
inline Bytes bytes_from_hex(std::string_view text) {
  Bytes bytes;
  for (std::size_t i = 0; i + 1 < text.size(); i += 2) {
    bytes.push_back(static_cast<std::uint8_t>(std::stoi(std::string(text.substr(i, 2)), nullptr, 16)));
  }
  return bytes;
}

/// Builds a frame: a header, records padded to 48 bytes each, and a tail for data of variable length.
struct FrameBuilder {
  Bytes records;
  Bytes tail;
  std::uint32_t count = 0;

  /// Adds a record; the first byte of `fields` is its type.
  FrameBuilder& record(Bytes fields) {
    fields.resize(48);
    records.insert(records.end(), fields.begin(), fields.end());
    ++count;
    return *this;
  }
  /// Selects the instance to which the records that follow belong.
  FrameBuilder& select_instance(std::uint32_t node) {
    Bytes fields{12};
    return record(append_little_endian(fields, node, 4));
  }
  /// Starts the selected instance with JSON settings.
  FrameBuilder& start_instance(std::uint64_t seed, const std::string& settings) {
    Bytes fields{1};
    append_little_endian(fields, seed, 8);
    append_little_endian(fields, tail.size(), 4);
    append_little_endian(fields, settings.size(), 4);
    tail.insert(tail.end(), settings.begin(), settings.end());
    return record(fields);
  }
  /// Defines the endpoint list `number`; each server has a pool of its own.
  FrameBuilder& define_endpoint_list(std::uint16_t number, const std::vector<std::uint32_t>& servers) {
    Bytes fields{11};
    append_little_endian(fields, number, 2);
    append_little_endian(fields, tail.size(), 4);
    append_little_endian(fields, servers.size(), 4);
    std::uint64_t pool = 0;
    for (const auto server : servers) {
      append_little_endian(tail, server, 4);
      append_little_endian(tail, 0, 2);
      append_little_endian(tail, 0, 1);
      append_little_endian(tail, pool++, 2);
      append_little_endian(tail, 0, 1);
      append_little_endian(tail, 0, 4);
      append_little_endian(tail, 0, 8);
    }
    return record(fields);
  }
  /// Sends the endpoint list `number` to the instance; `scope` is an EndpointUpdateScope.
  FrameBuilder& apply_endpoint_list(std::uint8_t scope, std::uint16_t number) {
    Bytes fields{2};
    append_little_endian(fields, 1, 8);
    append_little_endian(fields, scope, 1);
    return record(append_little_endian(fields, number, 2));
  }
  /// A new call; `expires` is in microseconds.
  FrameBuilder& new_call(std::uint32_t call, std::uint64_t expires) {
    Bytes fields{3};
    append_little_endian(fields, call, 4);
    append_little_endian(fields, 0, 8);
    append_little_endian(fields, 0x3f800000, 4);
    append_little_endian(fields, expires, 8);
    return record(fields);  // the zero padding is destination 0 and class 0
  }
  [[nodiscard]] Bytes body() const {
    Bytes bytes = records;
    bytes.insert(bytes.end(), tail.begin(), tail.end());
    return bytes;
  }
  /// The header of the frame; `now` is in microseconds.
  [[nodiscard]] Bytes header(std::uint64_t now) const {
    Bytes bytes;
    append_little_endian(bytes, records.size() + tail.size(), 4);
    append_little_endian(bytes, now, 8);
    return append_little_endian(bytes, count, 4);
  }
};

}  // namespace amberknot::testing
