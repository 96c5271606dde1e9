// The two forms in which the done tasks of an array are stored: bits as text, and Roaring bitmaps.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace eiderreel::codec {

constexpr std::uint32_t kBitsPerDigit = 6;

// Bits, six to a character, counted from `first` on.
std::string pack_bits(const std::vector<std::uint32_t>& tasks, std::uint32_t first);
// How many characters `pack_bits` needs for so many tasks.
std::size_t packed_size(std::uint32_t tasks);
std::vector<std::uint32_t> unpack_bits(const std::string& text, std::uint32_t first);

// A Roaring bitmap in its portable format, as base64; tasks are counted from `first` on.
std::string pack_roaring(const std::vector<std::uint32_t>& tasks, std::uint32_t first);
// Nothing: the text is no such bitmap, or holds more than a job may have.
std::optional<std::vector<std::uint32_t>> unpack_roaring(const std::string& text,
                                                         std::uint32_t first);

}  // namespace eiderreel::codec
