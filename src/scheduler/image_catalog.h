// Assigns numbers to the images of jobs.
#pragma once
#include <cstddef>
#include <string>
#include <unordered_map>

namespace eiderreel {

/// Maps each image to a small number, so that machines can keep sets of numbers instead of names.
class ImageCatalog {
 public:
  /// Returns the number of the image; assigns the next free one to a new image.
  std::size_t number(const std::string& image) {
    return numbers_.try_emplace(image, numbers_.size()).first->second;
  }
  /// The number of images in the catalog.
  std::size_t size() const { return numbers_.size(); }
  /// Removes all images. All numbers returned before become invalid.
  void clear() { numbers_.clear(); }

 private:
  std::unordered_map<std::string, std::size_t> numbers_;
};

}  // namespace eiderreel
