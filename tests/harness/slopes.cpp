/// \file
/// Measures the resource usage of one process of each role, idle and by fleet
/// size, and prints the slopes from which docs/CAPACITY.md is computed.
#include "fleet/table.h"
#include "http/address.h"
#include "tests/harness/process_fleet.h"

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>
#include <unistd.h>

using namespace sassafras;
using std::chrono::seconds;

namespace {

constexpr seconds IdleTime{6};

/// Resource usage of one process from /proc and its metrics.
struct Usage {
  double MemoryMb = 0;
  double CpuSeconds = 0;
  double SentBytes = 0;
  double SentMessages = 0;
};

Usage usageOf(ProcessFleet &Fleet, const std::string &Process) {
  Usage usage;
  std::string folder = "/proc/" + std::to_string(Fleet.pidOf(Process));
  std::ifstream memory(folder + "/statm");
  double pages = 0;
  memory >> pages >> pages;
  usage.MemoryMb = pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
  std::ifstream stat(folder + "/stat");
  std::string word;
  for (int i = 0; i < 13; ++i)
    stat >> word;
  double user = 0;
  double system = 0;
  stat >> user >> system;
  usage.CpuSeconds =
      (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  usage.SentBytes = Fleet.metric(Process, "link_sent_bytes_total");
  usage.SentMessages = Fleet.metric(Process, "link_sent_total");
  return usage;
}

/// Prints the usage of each process over IdleTime without callers.
void measureIdle(ProcessFleet &Fleet, const char *Size, double Value) {
  std::string leader = Fleet.leader();
  std::string follower = leader == "control-1" ? "control-2" : "control-1";
  struct MonitoredProcess {
    const char *Role;
    std::string Process;
  };
  const MonitoredProcess roles[] = {{"leader", leader},
                                    {"follower", follower},
                                    {"entry", "entry-1"},
                                    {"agent", "engine-1"}};
  std::map<std::string, Usage> before;
  for (const MonitoredProcess &it : roles)
    before[it.Process] = usageOf(Fleet, it.Process);
  std::this_thread::sleep_for(IdleTime);
  for (const MonitoredProcess &it : roles) {
    Usage after = usageOf(Fleet, it.Process);
    const Usage &initial = before[it.Process];
    auto span = static_cast<double>(IdleTime.count());
    std::printf("rest %-8s %-8s %7.0f memory_mb %6.1f cpu_percent %5.2f "
                "sent_bytes_s %7.0f sent_messages_s %5.1f\n",
                it.Role, Size, Value, after.MemoryMb,
                (after.CpuSeconds - initial.CpuSeconds) / span * 100,
                (after.SentBytes - initial.SentBytes) / span,
                (after.SentMessages - initial.SentMessages) / span);
  }
  std::fflush(stdout);
}

std::string writeTable(const std::string &Folder, int Rows) {
  std::string path = Folder + "/rows.csv";
  std::ofstream out(path);
  out << "kind,name,base,memory_mb,max_replicas,weight,rate,burst,"
         "longest_wait_s,path,repeatable\n"
         "organisation,alpha,,,,1,10000000,10000000,,,\n"
         "model,m1,,4000,2,1,,,30,,\n"
         "service,crew-booking,,,,1,,,10,/crew,yes\n";
  for (int i = 0; i < Rows; ++i)
    out << "adapter,adapter-number-" << i << ",m1,100,1,1,,,30,,\n";
  return path;
}

void putRows(ProcessFleet &Fleet, int Rows) {
  ToolResult put =
      Fleet.ctl({"--wait", "table", "put", writeTable(Fleet.folder(), Rows)});
  if (put.Code != 0)
    std::printf("table of %d rows failed: %s\n", Rows, put.Errors.c_str());
}

/// Returns the requests per second that \p Callers concurrent callers get
/// served with status 200 over \p Span.
double measureRate(const std::string &Address, const HttpRequest &Request,
                   int Callers, seconds Span) {
  std::atomic<int> served{0};
  std::vector<std::thread> threads;
  TimePoint end = Clock::now() + Span;
  threads.reserve(static_cast<size_t>(Callers));
  for (int i = 0; i < Callers; ++i)
    threads.emplace_back([&] {
      while (!isPast(end, Clock::now()))
        served += callHttp(Address, Request).Status == 200;
    });
  for (std::thread &it : threads)
    it.join();
  return served / static_cast<double>(Span.count());
}

void measureProxying(ProcessFleet &Fleet, const std::string &Key) {
  HttpRequest request{"GET", "/crew/x", {{"x-api-key", Key}}, {}};
  std::string directAddress = Fleet.httpAddressOf("service-1-endpoint");
  for (int callers : {1, 4, 8}) {
    double proxiedRate =
        measureRate(Fleet.entryAddress(1), request, callers, seconds(3));
    double directRate =
        measureRate(directAddress, request, callers, seconds(3));
    std::printf("path callers %d through_s %.0f direct_s %.0f ratio %.2f "
                "added_ms %.2f\n",
                callers, proxiedRate, directRate, proxiedRate / directRate,
                1000.0 * callers * (1 / proxiedRate - 1 / directRate));
  }
  Usage entryBefore = usageOf(Fleet, "entry-1");
  Usage agentBefore = usageOf(Fleet, "engine-1");
  HttpRequest stream{"POST",
                     "/v1/completions",
                     {{"x-api-key", Key}},
                     "{\"model\":\"m1\",\"prompt\":\"p\",\"max_tokens\":1000,"
                     "\"stream\":true}"};
  double streams = measureRate(Fleet.entryAddress(1), stream, 12, seconds(8));
  Usage entry = usageOf(Fleet, "entry-1");
  Usage agent = usageOf(Fleet, "engine-1");
  double tokens = streams * 1000;
  std::printf("stream tokens_s %.0f entry_cpu_us_per_token %.1f "
              "agent_cpu_us_per_token %.1f\n",
              tokens,
              (entry.CpuSeconds - entryBefore.CpuSeconds) * 1e6 / (tokens * 8),
              (agent.CpuSeconds - agentBefore.CpuSeconds) * 1e6 / (tokens * 8));
  std::fflush(stdout);
}

void measureIdleConnections(ProcessFleet &Fleet) {
  namespace asio = boost::asio;
  asio::io_context io;
  auto address = parseAddress(Fleet.entryAddress(2));
  std::vector<asio::ip::tcp::socket> sockets;
  for (int count : {0, 300, 1000}) {
    while (static_cast<int>(sockets.size()) < count) {
      sockets.emplace_back(io);
      sockets.back().connect(
          {asio::ip::make_address(address->Ip), address->Port});
    }
    std::this_thread::sleep_for(Millis(500));
    std::printf("idle_connections %d entry_memory_mb %.1f\n", count,
                usageOf(Fleet, "entry-2").MemoryMb);
  }
}

} // namespace

int main() {
  for (int engines : {1, 4, 8}) {
    ProcessFleet fleet(bloomline(), Millis(100));
    fleet.startAll(engines, {});
    fleet.leader();
    putRows(fleet, 0);
    std::this_thread::sleep_for(seconds(4));
    measureIdle(fleet, "agents", engines + 1);
    if (engines != 1)
      continue;
    for (int rows : {1000, 4000, 10000}) {
      putRows(fleet, rows);
      std::this_thread::sleep_for(seconds(2));
      measureIdle(fleet, "rows", rows);
    }
    putRows(fleet, 0);
    std::string key = fleet.grantKey("alpha", "first");
    measureProxying(fleet, key);
    measureIdleConnections(fleet);
  }
}
