// The two forms in which the done tasks of an array are stored: bits as text, and Roaring bitmaps.
// The numbers of tasks are counted from `first` on.
#pragma once
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "codec/decode_error.h"

namespace eiderreel::codec {

/// Tasks that one character of the bits form tells of.
constexpr std::uint32_t kBitsPerDigit = 6;

/// The bits form: six to a character, the lowest bit first.
std::string pack_bits(const std::vector<std::uint32_t>& tasks, std::uint32_t first);
/// How many characters `pack_bits` needs for so many tasks.
std::size_t packed_size(std::uint32_t tasks);
/// The tasks in the bits form, at most a chunk of them; characters that are no digits count as 0.
std::vector<std::uint32_t> unpack_bits(const std::string& text, std::uint32_t first);

/// A Roaring bitmap in its portable format, as base64 without padding.
std::string pack_roaring(const std::vector<std::uint32_t>& tasks, std::uint32_t first);
/// The tasks of such a bitmap. An error: the text is none, or holds more than a job may have.
Decoded<std::vector<std::uint32_t>> unpack_roaring(const std::string& text, std::uint32_t first);

}  // namespace eiderreel::codec
