#include "tests/harness/slow_disk.h"

#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace sassafras {

std::vector<std::string> copyEnvironment() {
  std::vector<std::string> out;
  for (char **it = environ; *it != nullptr; ++it)
    out.emplace_back(*it);
  return out;
}

std::vector<std::string> makeSlowDiskEnvironment(const std::string &DelayFile) {
  std::vector<std::string> out = copyEnvironment();
  out.push_back("LD_PRELOAD=" SLOW_DISK_LIBRARY);
  out.push_back("SLOW_DISK_FILE=" + DelayFile);
  return out;
}

void setDiskDelay(const std::string &DelayFile, Millis Delay) {
  std::ofstream(DelayFile + ".new") << Delay.count();
  std::filesystem::rename(DelayFile + ".new", DelayFile);
}

} // namespace sassafras
