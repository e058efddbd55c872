#include "main/process_signals.h"

#include "core/logging.h"

#include <cerrno>
#include <csignal>
#include <cstring>
#include <sys/signalfd.h>
#include <system_error>
#include <unistd.h>

namespace sassafras {

namespace {

sigset_t handledSignals() {
  sigset_t out;
  sigemptyset(&out);
  for (int it : {SIGTERM, SIGINT, SIGHUP})
    sigaddset(&out, it);
  return out;
}

int openDescriptor() {
  sigset_t handled = handledSignals();
  int file = ::signalfd(-1, &handled, SFD_NONBLOCK | SFD_CLOEXEC);
  if (file < 0)
    throw std::system_error(errno, std::generic_category(), "signalfd");
  return file;
}

} // namespace

void blockSignals() {
  sigset_t handled = handledSignals();
  pthread_sigmask(SIG_BLOCK, &handled, nullptr);
}

bool isStopSignalPending() {
  sigset_t pending;
  sigemptyset(&pending);
  sigpending(&pending);
  return sigismember(&pending, SIGTERM) == 1 ||
         sigismember(&pending, SIGINT) == 1;
}

ProcessSignals::ProcessSignals(boost::asio::io_context &Io, Handler OnSignal)
    : OnSignal(std::move(OnSignal)), Descriptor(Io, openDescriptor()) {
  awaitSignal();
}

void ProcessSignals::awaitSignal() {
  Descriptor.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                        [this](auto ec) {
                          if (!ec)
                            readSignals();
                        });
}

void ProcessSignals::readSignals() {
  awaitSignal();
  signalfd_siginfo info{};
  while (::read(Descriptor.native_handle(), &info, sizeof info) ==
         static_cast<ssize_t>(sizeof info))
    OnSignal(static_cast<int>(info.ssi_signo));
  if (errno != EAGAIN)
    logEvent(LogLevel::Error, "signal_unreadable",
             {{"reason", std::strerror(errno)}});
}

} // namespace sassafras
