// Encodings of the set of finished tasks of a job array: bits as text, and Roaring bitmaps. Both
// store task indexes relative to `first`.
#pragma once
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "codec/decode_error.h"

namespace eiderreel::codec {

/// Tasks (bits) that one character of the bits form encodes.
constexpr std::uint32_t kBitsPerCharacter = 6;

/// Encodes tasks in the bits form: six bits per character, least significant bit first.
std::string pack_bits(const std::vector<std::uint32_t>& tasks, std::uint32_t first);
/// The number of characters that `pack_bits` needs for `tasks` consecutive tasks.
std::size_t packed_length(std::uint32_t tasks);
/// Decodes the bits form, up to the tasks of one chunk. Characters outside the alphabet count as 0.
std::vector<std::uint32_t> unpack_bits(const std::string& text, std::uint32_t first);

/// Encodes tasks as a Roaring bitmap in its portable format, as base64 without padding.
std::string pack_roaring(const std::vector<std::uint32_t>& tasks, std::uint32_t first);
/// Decodes a Roaring bitmap. Returns an error if the text is not such a bitmap, or has more tasks
/// than a job may have.
Decoded<std::vector<std::uint32_t>> unpack_roaring(const std::string& text, std::uint32_t first);

}  // namespace eiderreel::codec
