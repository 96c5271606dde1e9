// Numbers for the images of jobs.
#pragma once
#include <cstddef>
#include <string>
#include <unordered_map>

namespace eiderreel {

/// Gives each image a small number, so that machines can keep sets of them.
class ImageCatalog {
 public:
  /// The number of the image, a new one if it has none yet.
  std::size_t number(const std::string& image) {
    return numbers_.try_emplace(image, numbers_.size()).first->second;
  }
  /// How many images have a number.
  std::size_t size() const { return numbers_.size(); }
  /// Forgets all numbers. Whoever holds one has to ask again.
  void clear() { numbers_.clear(); }

 private:
  std::unordered_map<std::string, std::size_t> numbers_;
};

}  // namespace eiderreel
