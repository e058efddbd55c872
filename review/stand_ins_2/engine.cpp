/// \file
/// Stand-in of an engine of a plain service: runs requests, each on the channel
/// on which it came, announces itself, and ends as its process ends.
///
/// Arguments: RECORD ID SERVICE ADDRESS ZONE WORK-MS FRAMING CONTROL...
/// FRAMING is "length", or "mixed": one answer in 20 has no length and ends
/// with its channel.
/// A request with the body "deadly" ends the process as it begins to run, if
/// the environment has CRASHES=1.
#include "review/stand_ins_2/platform.h"

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace review;

namespace {

struct Engine {
  Record Lines;
  std::string Id;
  double Work;
  bool IsMixed; ///< Some answers have no length.
  bool Crashes;
  std::atomic<int> Runs{0};
};

/// One answer in so many has no length.
constexpr int UnframedInterval = 20;

/// Body of the answer to a request: 800 bytes, as on the sheet.
std::string bodyFor(const std::string &Attempt) {
  std::string out;
  while (out.size() < 800)
    out += Attempt + ";";
  out.resize(800);
  return out;
}

/// Events of a stream, as on the sheet, and the time between two.
constexpr int Events = 49;
constexpr double EventInterval = 0.06;
/// An answer without a length counts as begun after so many events.
constexpr int BegunEvents = 8;

/// Streams events in chunks, or up to the end of the channel. False once the
/// channel is to be closed.
bool serveStream(Engine &Self, const Channel &To, const std::string &Attempt,
                 const std::string &Start) {
  bool isUnframed = Self.IsMixed && ++Self.Runs % UnframedInterval == 0;
  std::string head = Start + "Content-Type: text/event-stream\r\n";
  To.send(head + (isUnframed ? "\r\n" : "Transfer-Encoding: chunked\r\n\r\n"));
  for (int i = 1; i <= Events; ++i) {
    std::string event = "id: " + std::to_string(i) + "\ndata: " + Attempt +
                        "-" + std::to_string(i) + "\n\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", event.size());
    if (!To.send(isUnframed ? event : size + event + "\r\n"))
      return false;
    if (isUnframed && i == BegunEvents)
      Self.Lines.write("half " + Attempt + " at " + Self.Id);
    sleepFor(EventInterval);
  }
  Self.Lines.write("whole " + Attempt + " at " + Self.Id);
  return !isUnframed && To.send("0\r\n\r\n");
}

/// Runs one request. False once the channel is to be closed.
bool serve(Engine &Self, Channel &From) {
  auto head = From.readHead(now() + 15);
  if (!head)
    return false;
  std::string length = head->field("content-length");
  std::string body =
      From.readExactly(length.empty() ? 0 : std::stoul(length), now() + 5);
  std::string attempt = head->field("sassafrasseam-attempt-id");
  std::string expected = head->field("sassafrasseam-expect-instance");
  std::string echo = "Sassafrasseam-Attempt-Id: " + attempt + "\r\n";
  if (!expected.empty() && expected != Self.Id)
    return From.send("HTTP/1.1 421 Misdirected Request\r\n" + echo +
                     "Sassafrasseam-Not-Executed: 1\r\n"
                     "Content-Length: 0\r\n\r\n");
  if (head->StartLine.find(" /health ") != std::string::npos)
    return From.send("HTTP/1.1 200 OK\r\nSassafrasseam-Instance-Id: " +
                     Self.Id + "\r\nContent-Length: 0\r\n\r\n");
  Self.Lines.write("run " + attempt + " at " + Self.Id);
  if (Self.Crashes && body == "deadly") {
    Self.Lines.write("crash " + Self.Id + " by " + attempt);
    ::_exit(1);
  }
  std::string answer = bodyFor(attempt);
  std::string start = "HTTP/1.1 200 OK\r\n" + echo +
                      "Sassafrasseam-Response-Seal: seal." + Self.Id + "." +
                      attempt + "\r\n";
  if (head->StartLine.find(" /note/") != std::string::npos)
    return serveStream(Self, From, attempt, start);
  bool isUnframed = Self.IsMixed && ++Self.Runs % UnframedInterval == 0;
  if (!isUnframed) {
    sleepFor(Self.Work);
    return From.send(start + "Content-Length: 800\r\n\r\n" + answer);
  }
  From.send(start + "\r\n" + answer.substr(0, 400));
  Self.Lines.write("half " + attempt + " at " + Self.Id);
  sleepFor(Self.Work);
  From.send(answer.substr(400));
  Self.Lines.write("whole " + attempt + " at " + Self.Id);
  return false;
}

} // namespace

int main(int Argc, char **Argv) {
  if (Argc < 9)
    return CouldNotRun;
  const char *crashes = std::getenv("CRASHES");
  Engine self{Record(Argv[1]), Argv[2], std::atof(Argv[6]) / 1000,
              std::strcmp(Argv[7], "mixed") == 0,
              crashes && std::strcmp(crashes, "1") == 0};
  std::string address = Argv[4];
  int listener = listenAt(address);
  std::thread([&] {
    Announcer announcer(self.Id, Argv[3], address, Argv[5],
                        {Argv + 8, Argv + Argc});
    for (;;) {
      announcer.announceIfDue();
      sleepFor(0.02);
    }
  }).detach();
  for (;;) {
    int socket = ::accept(listener, nullptr, nullptr);
    if (socket < 0)
      continue;
    std::thread([&self, socket] {
      Channel channel(socket);
      while (serve(self, channel))
        ;
    }).detach();
  }
}
