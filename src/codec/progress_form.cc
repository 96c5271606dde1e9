#include "codec/progress_form.h"

#include <algorithm>
#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <exception>
#include <roaring/roaring.hh>

#include "constants.h"

namespace eiderreel::codec {
namespace {

const char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
const char kBase64Alphabet[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

// Base64 without padding.
std::string to_base64(const std::string& bytes) {
  using namespace boost::archive::iterators;
  using Digits = base64_from_binary<transform_width<std::string::const_iterator, 6, 8>>;
  return {Digits(bytes.begin()), Digits(bytes.end())};
}

std::optional<std::string> from_base64(const std::string& text) {
  using namespace boost::archive::iterators;
  using Bytes = transform_width<binary_from_base64<std::string::const_iterator>, 8, 6>;
  const std::size_t size = text.size() * 6 / 8;
  if (text.size() % 4 == 1 || text.find_first_not_of(kBase64Alphabet) != std::string::npos)
    return std::nullopt;
  // Padded with zero bits, so that the last whole byte can be read.
  std::string padded = text;
  padded.append((4 - text.size() % 4) % 4, 'A');
  std::string bytes(Bytes(padded.begin()), Bytes(padded.end()));
  bytes.resize(size);
  return bytes;
}

}  // namespace

std::size_t packed_size(std::uint32_t tasks) { return (tasks + kBitsPerDigit - 1) / kBitsPerDigit; }

std::string pack_bits(const std::vector<std::uint32_t>& tasks, std::uint32_t first) {
  std::uint32_t count = 0;
  for (const auto task : tasks) count = std::max(count, task - first + 1);
  std::string digits(packed_size(count), '\0');
  for (const auto task : tasks) {
    const std::uint32_t bit = task - first;
    digits[bit / kBitsPerDigit] |= static_cast<char>(1 << (bit % kBitsPerDigit));
  }
  for (char& digit : digits) digit = kDigits[static_cast<int>(digit)];
  return digits;
}

std::vector<std::uint32_t> unpack_bits(const std::string& text, std::uint32_t first) {
  static const std::string digits(kDigits);
  std::vector<std::uint32_t> tasks;
  for (std::size_t i = 0; i < text.size() && i * kBitsPerDigit < constants::kProgressChunkTasks;
       ++i) {
    const auto value = digits.find(text[i]);
    if (value == std::string::npos) continue;
    for (std::uint32_t bit = 0; bit < kBitsPerDigit; ++bit)
      if (value & (1u << bit))
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

std::optional<std::vector<std::uint32_t>> unpack_roaring(const std::string& text,
                                                         std::uint32_t first) {
  const auto bytes = from_base64(text);
  if (!bytes) return std::nullopt;
  try {
    const Roaring bitmap = Roaring::readSafe(bytes->data(), bytes->size());
    const bool sane = bitmap.cardinality() <= constants::kTasksMax &&
                      (bitmap.isEmpty() || bitmap.maximum() < constants::kTasksMax - first);
    if (first >= constants::kTasksMax || !sane) return std::nullopt;
    std::vector<std::uint32_t> tasks(bitmap.cardinality());
    bitmap.toUint32Array(tasks.data());
    for (auto& task : tasks) task += first;
    return tasks;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace eiderreel::codec
