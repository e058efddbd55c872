/// \file
/// Replays of load patterns that the estimate of an endpoint answers: engines
/// of different speed, and memory that runs out before the slots do.
#include "policy/endpoint_choice.h"
#include "policy/endpoint_estimate.h"
#include "policy/endpoint_speed.h"

#include <catch2/catch.hpp>

#include <numeric>
#include <random>

using namespace sassafras;

namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(1);

/// Fronts that send requests to engines, of which a part is slow. A request
/// takes the longer the more requests run with it.
struct SlowEngines {
  int Fronts = 20;
  int Engines = 12;
  double SlowPace = 2.4;
  double RequestsPerSecond = 180;
  uint32_t Slots = 48;
  Millis ReportPeriod{800};
  Millis IdleTime{1'000}; ///< Of a request at an idle engine of pace 1.
  bool IsPaceKnown = true;
};

class SlowEngineReplay {
public:
  SlowEngineReplay(SlowEngines Options, uint64_t Seed)
      : Options(Options), Random(Seed), Records(Options.Fronts),
        Books(Options.Fronts), Engines(Options.Engines),
        NextReport(Options.Engines) {
    for (auto &it : Records)
      it.resize(Options.Engines);
    for (int i = 0; i < Options.Engines; ++i)
      NextReport[i] = Start + i * Options.ReportPeriod / Options.Engines;
  }

  /// Mean time of the requests of the last 20 s of a minute.
  Millis meanTime() {
    std::exponential_distribution<double> gap(Options.RequestsPerSecond);
    for (TimePoint now = Start; now < Start + std::chrono::seconds(60);) {
      now += std::chrono::duration_cast<Clock::duration>(
          std::chrono::duration<double>(gap(Random)));
      for (int i = 0; i < Options.Engines; ++i) {
        endRequests(i, now);
        report(i, now);
      }
      send(static_cast<int>(Random() % Options.Fronts), now);
    }
    return std::chrono::duration_cast<Millis>(Total / Counted);
  }

  double learned(int Front, int Engine) const {
    return learnedPace(Books[Front], std::to_string(Engine));
  }

private:
  struct Running {
    TimePoint Ends;
    int Front;
    SpeedSample Speed;
  };

  double draw() { return std::uniform_real_distribution<double>(0, 1)(Random); }
  double paceOf(int Engine) const {
    return Engine % 3 == 0 ? Options.SlowPace : 1;
  }

  void endRequests(int Engine, TimePoint Now) {
    std::erase_if(Engines[Engine], [&](const Running &it) {
      if (it.Ends > Now)
        return false;
      recordClose(Records[it.Front][Engine]);
      if (Options.IsPaceKnown)
        recordSpeed(Books[it.Front], it.Speed, Now);
      return true;
    });
  }

  void report(int Engine, TimePoint Now) {
    if (NextReport[Engine] > Now)
      return;
    NextReport[Engine] = Now + Options.ReportPeriod;
    for (auto &it : Records)
      recordLoadReport(it[Engine],
                       static_cast<uint32_t>(Engines[Engine].size()),
                       EngineReportLifetime, Now);
  }

  void send(int Front, TimePoint Now) {
    std::vector<EndpointCandidate> candidates;
    for (int i = 0; i < Options.Engines; ++i) {
      EndpointCandidate it;
      it.Id = std::to_string(i);
      it.Zone = "a";
      it.Slots = Options.Slots;
      it.Record = &Records[Front][i];
      EndpointFigures figures;
      figures.Slots = Options.Slots;
      figures.Pace = learnedPace(Books[Front], it.Id);
      it.Estimate = estimateEndpoint(figures, {});
      candidates.push_back(it);
    }
    auto chosen = chooseEndpoint(candidates, "a", draw(), Now);
    if (!chosen)
      return;
    auto engine = static_cast<int>(*chosen);
    auto load = static_cast<double>(Engines[engine].size());
    double share = load / Options.Slots;
    double factor = paceOf(engine) * (1 + share) * (0.5 + draw());
    // Requests beyond the slots wait for one.
    factor += paceOf(engine) * std::max(0.0, share - 1);
    auto length =
        std::chrono::duration_cast<Clock::duration>(Options.IdleTime * factor);
    if (Now > Start + std::chrono::seconds(40)) {
      Total += length;
      ++Counted;
    }
    SpeedSample speed{
        "s", "m" + std::to_string(Random() % 9), std::to_string(engine),
        std::chrono::duration<double>(Options.IdleTime * paceOf(engine) *
                                      (1 + share) * (0.8 + 0.4 * draw()) / 36),
        share};
    Engines[engine].push_back({Now + length, Front, speed});
    recordSend(Records[Front][engine]);
  }

  SlowEngines Options;
  std::mt19937_64 Random;
  std::vector<std::vector<EndpointRecord>> Records; ///< By front and engine.
  std::vector<SpeedBook> Books;                     ///< By front.
  std::vector<std::vector<Running>> Engines;
  std::vector<TimePoint> NextReport;
  Clock::duration Total{0};
  int64_t Counted = 0;
};

} // namespace

TEST_CASE("requests take less time where fronts know which engines are slow") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    INFO("seed " << seed);
    SlowEngineReplay known({}, seed);
    SlowEngines unknown;
    unknown.IsPaceKnown = false;
    Millis without = SlowEngineReplay(unknown, seed).meanTime();
    Millis with = known.meanTime();
    INFO("mean time " << with.count() << " ms, without " << without.count());
    CHECK(with < without * 9 / 10);
    for (int front = 0; front < 20; ++front)
      CHECK(known.learned(front, 0) > 1.5 * known.learned(front, 1));
  }
}

TEST_CASE("endpoints of one pace are chosen as without it") {
  std::mt19937_64 random(7);
  for (int round = 0; round < 1'000; ++round) {
    std::vector<EndpointRecord> records(5);
    std::vector<EndpointCandidate> bare;
    for (size_t i = 0; i < records.size(); ++i) {
      recordLoadReport(records[i], random() % 30, EngineReportLifetime, Start);
      bare.push_back({std::to_string(i), random() % 2 ? "a" : "b", 32,
                      random() % 4 == 0, 0, &records[i]});
    }
    std::vector<EndpointCandidate> paced = bare;
    for (EndpointCandidate &it : paced)
      it.Estimate = estimateEndpoint({}, {});
    double draw = static_cast<double>(random() % 1'000) / 1'000;
    CHECK(chooseEndpoint(bare, "a", draw, Start) ==
          chooseEndpoint(paced, "a", draw, Start));
  }
}

TEST_CASE("neighbour that slows an engine now moves requests for its time") {
  EndpointRecord one;
  EndpointRecord other;
  recordPace(one, 2.0, Start);
  recordPace(other, 1.0, Start);
  auto choose = [&](TimePoint Now) {
    std::vector<EndpointCandidate> both;
    for (EndpointRecord *it : {&one, &other}) {
      EndpointFigures figures;
      figures.Slots = 32;
      figures.Pace = paceOf(*it, Now);
      both.push_back({it == &one ? "one" : "other", "a", 32, false, 0, it});
      both.back().Estimate = estimateEndpoint(figures, {});
    }
    return both[*chooseEndpoint(both, "a", 0, Now)].Id;
  };
  recordLoadReport(other, 3, EngineReportLifetime, Start);
  CHECK(choose(Start) == "other");
  // Its usual pace was learned; the statement is old.
  for (int i = 0; i < 200; ++i)
    recordPace(one, 1.0, Start);
  recordPace(one, 2.0, Start);
  CHECK(choose(Start) == "other");
  CHECK(choose(Start + PaceLifetime.Max) == "one");
}

TEST_CASE("speed factors are bounded, and forgotten") {
  SpeedBook book;
  for (size_t i = 0; i < 2 * MaxSpeedFactors; ++i)
    recordSpeed(book,
                {"s", "m", "e" + std::to_string(i),
                 std::chrono::duration<double>(0.04), 0},
                Start + Millis(i));
  CHECK(book.Endpoints.size() <= MaxSpeedFactors);
  recordSpeed(book, {"s", "m", "x", std::chrono::duration<double>(0), 0},
              Start);
  CHECK(learnedPace(book, "x") == 1);
  CHECK(learnedPace(book, "e1") == 1);
  expireSpeeds(book, Start + Millis(10'000) + SpeedRetention);
  CHECK(book.Endpoints.empty());
  CHECK(book.Models.empty());
  CHECK(book.Services.empty());
}

TEST_CASE(
    "caller's guess of the output moves the estimate, but not all the way") {
  uint64_t usual = expectedOutput(1'000, std::nullopt);
  CHECK(expectedOutput(1'000, usual) <= usual);
  CHECK(expectedOutput(1'000, 10) > 10);
  CHECK(expectedOutput(1'000, 10) < usual);
  CHECK(expectedOutput(1'000, 1'000) > usual);
  CHECK(expectedOutput(1'000, 1'000) < 1'000);
  // A guess beyond what the request may have, and none at all.
  CHECK(expectedOutput(100, 50'000) <= 100);
  CHECK(expectedOutput(0, 50'000) == 0);
  CHECK(expectedOutput(1'000, 0) == usual);
  EndpointFigures figures;
  figures.MeanServiceTime = Millis(1'000);
  figures.MeanOutput = 100;
  CHECK(estimateEndpoint(figures, {0, 0, 200, 400}).LastPiece == Millis(2'000));
  CHECK(estimateEndpoint(figures, {}).LastPiece == Millis(1'000));
}
