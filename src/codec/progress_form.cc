// Bits as text, and Roaring bitmaps as base64.
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

constexpr std::string_view kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr std::string_view kBase64Alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::size_t kBitsPerByte = 8;
constexpr std::size_t kBase64Group = 4;  // characters, for three bytes

// Base64 without padding.
std::string to_base64(const std::string& bytes) {
  using namespace boost::archive::iterators;
  using Sextets = transform_width<std::string::const_iterator, kBitsPerDigit, kBitsPerByte>;
  using Digits = base64_from_binary<Sextets>;
  return {Digits(bytes.begin()), Digits(bytes.end())};
}

Decoded<std::string> from_base64(const std::string& text) {
  using namespace boost::archive::iterators;
  using Sextets = binary_from_base64<std::string::const_iterator>;
  using Bytes = transform_width<Sextets, kBitsPerByte, kBitsPerDigit>;
  const std::size_t size = text.size() * kBitsPerDigit / kBitsPerByte;
  if (text.size() % kBase64Group == 1 ||
      text.find_first_not_of(kBase64Alphabet) != std::string::npos)
    return tl::unexpected<DecodeError>({DecodeFault::not_base64, "", ""});
  // Padded with zero bits, so that the last whole byte can be read.
  std::string padded = text;
  padded.append((kBase64Group - text.size() % kBase64Group) % kBase64Group, 'A');
  std::string bytes(Bytes(padded.begin()), Bytes(padded.end()));
  bytes.resize(size);
  return bytes;
}

tl::unexpected<DecodeError> bitmap_error(const std::string& detail) {
  return tl::unexpected<DecodeError>({DecodeFault::not_a_bitmap, "", detail});
}

}  // namespace

std::size_t packed_size(std::uint32_t tasks) { return (tasks + kBitsPerDigit - 1) / kBitsPerDigit; }

std::string pack_bits(const std::vector<std::uint32_t>& tasks, std::uint32_t first) {
  std::uint32_t count = 0;
  for (const auto task : tasks) count = std::max(count, task - first + 1);
  std::vector<unsigned> values(packed_size(count), 0);
  for (const auto task : tasks) {
    const std::uint32_t bit = task - first;
    values[bit / kBitsPerDigit] |= 1U << (bit % kBitsPerDigit);
  }
  std::string digits;
  digits.reserve(values.size());
  for (const unsigned value : values) digits.push_back(kDigits[value]);
  return digits;
}

std::vector<std::uint32_t> unpack_bits(const std::string& text, std::uint32_t first) {
  std::vector<std::uint32_t> tasks;
  for (std::size_t i = 0; i < text.size() && i * kBitsPerDigit < constants::kProgressChunkTasks;
       ++i) {
    const auto value = kDigits.find(text[i]);
    if (value == std::string_view::npos) continue;
    for (std::uint32_t bit = 0; bit < kBitsPerDigit; ++bit)
      if ((value & (1U << bit)) != 0)
        tasks.push_back(first + static_cast<std::uint32_t>(i) * kBitsPerDigit + bit);
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
    const bool sane = bitmap.cardinality() <= constants::kMaxJobTasks &&
                      (bitmap.isEmpty() || bitmap.maximum() < constants::kMaxJobTasks - first);
    if (first >= constants::kMaxJobTasks || !sane)
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
