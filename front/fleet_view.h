/// \file
/// Messages by which fronts keep one another's views alike: nodes, endpoints,
/// the table's version and demand. Each message may be lost; the next one
/// repairs it.
#ifndef SASSAFRAS_FRONT_FLEET_VIEW_H
#define SASSAFRAS_FRONT_FLEET_VIEW_H

#include "front/front_state.h"

#include <string>
#include <vector>

namespace sassafras {

/// Fronts tell the leader their demand at this pace, and one another that they
/// live as long as they are few.
inline constexpr Millis HeartbeatPace{300};
/// A front that has just started and knows no table asks at this pace: the
/// first messages may find nobody listening yet.
inline constexpr Millis NewcomerPace{100};
/// Fronts for each of which a heartbeat to all others costs no more than the
/// rest.
inline constexpr size_t FewFronts = 10;
/// Beats to all are at most this far apart: three are lost before a front
/// counts as out of view.
inline constexpr Millis MostHeartbeatPace{800};
/// Whole views are sent to one node at most this often.
inline constexpr Millis RepairPeriod{700};

struct NodeMessage {
  std::string Address;
  wire::Envelope Message;
};
using NodeMessages = std::vector<NodeMessage>;

/// What the gossip keeps beside the front's state.
struct GossipState {
  std::vector<std::string> Seeds;              ///< Inner addresses.
  std::vector<wire::EndpointSighting> Heard;   ///< Since the last heartbeat.
  std::map<std::string, TimePoint> NextRepair; ///< By address and subject.
  std::map<std::string, uint64_t> ToldModels;  ///< Digest by endpoint.
  TimePoint NextToAll;
};

/// What the leader keeps of the fronts' demand.
struct FleetDemand {
  struct FrontPart {
    TimePoint HeardAt;
    std::map<std::string, double> Organisations; ///< Tokens a second.
    std::map<std::string, wire::RowDemand> Rows;
  };
  std::map<std::string, FrontPart> Fronts;
  std::map<std::string, ArrivalRates> Rates; ///< By model.
};

/// Pace of what goes to all of \p Fronts: the sum of it over all senders grows
/// with their number only, not with its square.
Millis paceToAll(Millis Period, size_t Fronts);
/// One heartbeat to the leader, and to every front where it is time to.
void sendHeartbeats(FrontState &State, GossipState &Gossip, bool IsLeader,
                    uint64_t Term, TimePoint Now, NodeMessages &Out);
/// A heartbeat of another front. \p Demand takes its demand where this one
/// leads.
void takeNodeHeartbeat(FrontState &State, GossipState &Gossip,
                       FleetDemand &Demand, const wire::NodeHeartbeat &Beat,
                       TimePoint Now, NodeMessages &Out);
void takeRoster(FrontState &State, const wire::RosterUpdate &Update,
                TimePoint Now);
void takeNews(FrontState &State, const wire::EndpointNews &News, TimePoint Now);
/// An endpoint spoke to this front: passes on at once what changed.
SightingResult takeAnnouncement(FrontState &State, GossipState &Gossip,
                                const wire::EndpointSighting &Sighting,
                                TimePoint Now, NodeMessages &Out);
/// Answers a node that lacks a table.
void sendTable(const FrontState &State, const std::string &Address,
               NodeMessages &Out);
/// A new table, to the fronts that keep no log.
void pushTable(const FrontState &State, TimePoint Now, NodeMessages &Out);
/// Takes demand of one front, this one included.
void noteDemandOf(FleetDemand &Demand, const std::string &Front,
                  const wire::NodeHeartbeat &Beat, TimePoint Now);
/// Fills the demand part of a heartbeat and starts to count anew.
void takeOwnDemand(FrontState &State, wire::NodeHeartbeat &Beat, TimePoint Now);

} // namespace sassafras

#endif
