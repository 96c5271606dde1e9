// Reads the memory use of this process from /proc.
#include "observability/process_memory.h"

#include <unistd.h>

#include <fstream>

namespace eiderreel {

std::size_t resident_bytes() {
  std::ifstream statm("/proc/self/statm");
  std::size_t total_pages = 0;
  std::size_t resident_pages = 0;
  if (!(statm >> total_pages >> resident_pages)) return 0;
  return resident_pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

}  // namespace eiderreel
