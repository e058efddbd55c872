/// \file
/// Library that a test preloads into a process to slow down its disk: each
/// fdatasync first waits for the number of milliseconds that the file named by
/// SLOW_DISK_FILE contains.
#include <chrono>
#include <cstdlib>
#include <dlfcn.h>
#include <fstream>
#include <thread>

namespace {

std::chrono::milliseconds readDelay() {
  const char *path = std::getenv("SLOW_DISK_FILE");
  int64_t n = 0;
  if (path != nullptr)
    std::ifstream(path) >> n;
  return std::chrono::milliseconds(n);
}

} // namespace

extern "C" int fdatasync(int File) {
  using Function = int (*)(int);
  static auto next =
      reinterpret_cast<Function>(::dlsym(RTLD_NEXT, "fdatasync"));
  std::this_thread::sleep_for(readDelay());
  return next(File);
}
