// Encodings of the set of finished tasks of a job array.
#include "codec/progress_form.h"

#include <algorithm>
#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <exception>
#include <roaring/roaring.hh>
#include <string_view>

#include "constants.h"

namespace eiderreel::codec {
namespace {

constexpr std::string_view kBitsAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr std::string_view kBase64Alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::size_t kBitsPerByte = 8;
constexpr std::size_t kBase64GroupCharacters = 4;  // characters that encode three bytes

// Encodes bytes as base64 without padding.
std::string to_base64(const std::string& bytes) {
  using namespace boost::archive::iterators;
  using Sextets = transform_width<std::string::const_iterator, kBitsPerCharacter, kBitsPerByte>;
  using Characters = base64_from_binary<Sextets>;
  return {Characters(bytes.begin()), Characters(bytes.end())};
}

Decoded<std::string> from_base64(const std::string& text) {
  using namespace boost::archive::iterators;
  using Sextets = binary_from_base64<std::string::const_iterator>;
  using Bytes = transform_width<Sextets, kBitsPerByte, kBitsPerCharacter>;
  const std::size_t size = text.size() * kBitsPerCharacter / kBitsPerByte;
  if (text.size() % kBase64GroupCharacters == 1 ||
      text.find_first_not_of(kBase64Alphabet) != std::string::npos)
    return tl::unexpected<DecodeError>({DecodeFault::not_base64, "", ""});
  // Pads the text with zero bits ('A'), so that the decoder can read the last whole byte.
  std::string padded = text;
  padded.append(
      (kBase64GroupCharacters - text.size() % kBase64GroupCharacters) % kBase64GroupCharacters,
      'A');
  std::string bytes(Bytes(padded.begin()), Bytes(padded.end()));
  bytes.resize(size);
  return bytes;
}

tl::unexpected<DecodeError> bitmap_error(const std::string& detail) {
  return tl::unexpected<DecodeError>({DecodeFault::not_a_bitmap, "", detail});
}

}  // namespace

std::size_t packed_length(std::uint32_t tasks) {
  return (tasks + kBitsPerCharacter - 1) / kBitsPerCharacter;
}

std::string pack_bits(const std::vector<std::uint32_t>& tasks, std::uint32_t first) {
  std::uint32_t count = 0;
  for (const auto task : tasks) count = std::max(count, task - first + 1);
  std::vector<unsigned> values(packed_length(count), 0);
  for (const auto task : tasks) {
    const std::uint32_t bit = task - first;
    values[bit / kBitsPerCharacter] |= 1U << (bit % kBitsPerCharacter);
  }
  std::string text;
  text.reserve(values.size());
  for (const unsigned value : values) text.push_back(kBitsAlphabet[value]);
  return text;
}

std::vector<std::uint32_t> unpack_bits(const std::string& text, std::uint32_t first) {
  std::vector<std::uint32_t> tasks;
  for (std::size_t i = 0; i < text.size() && i * kBitsPerCharacter < constants::kProgressChunkTasks;
       ++i) {
    const auto value = kBitsAlphabet.find(text[i]);
    if (value == std::string_view::npos) continue;
    for (std::uint32_t bit = 0; bit < kBitsPerCharacter; ++bit)
      if ((value & (1U << bit)) != 0)
        tasks.push_back(first + static_cast<std::uint32_t>(i) * kBitsPerCharacter + bit);
  }
  return tasks;
}

std::string pack_roaring(const std::vector<std::uint32_t>& tasks, std::uint32_t first) {
  Roaring bitmap;
  for (const auto task : tasks) bitmap.add(task - first);
  bitmap.runOptimize();
  std::string bytes(bitmap.getSizeInBytes(), '\0');
  bitmap.write(bytes.data());
  return to_base64(bytes);
}

Decoded<std::vector<std::uint32_t>> unpack_roaring(const std::string& text, std::uint32_t first) {
  const auto bytes = from_base64(text);
  if (!bytes) return tl::unexpected(bytes.error());
  try {
    const Roaring bitmap = Roaring::readSafe(bytes->data(), bytes->size());
    const bool within_limits =
        bitmap.cardinality() <= constants::kMaxJobTasks &&
        (bitmap.isEmpty() || bitmap.maximum() < constants::kMaxJobTasks - first);
    if (first >= constants::kMaxJobTasks || !within_limits)
      return bitmap_error("more tasks than a job may have");
    std::vector<std::uint32_t> tasks(bitmap.cardinality());
    bitmap.toUint32Array(tasks.data());
    for (auto& task : tasks) task += first;
    return tasks;
  } catch (const std::exception& failure) {
    return bitmap_error(failure.what());
  }
}

}  // namespace eiderreel::codec
