#include "fleet/roster.h"

#include "core/hash.h"

#include <algorithm>

namespace sassafras {

namespace {

uint64_t digestEntry(const wire::NodeEntry &Entry) {
  return checksumOf(Entry.name() + '/' + std::to_string(Entry.incarnation()));
}

} // namespace

bool recordNodeHeartbeat(Roster &Roster, const wire::NodeEntry &Entry,
                         TimePoint Now) {
  KnownNode &known = Roster.Nodes[Entry.name()];
  // A node restarted after its host's wall clock was set back has a lower
  // incarnation; it is accepted once the earlier process is out of view.
  if (Entry.incarnation() < known.Entry.incarnation() && isInView(known, Now))
    return false;
  bool isNew = known.Entry.incarnation() != Entry.incarnation();
  known.Entry = Entry;
  known.HeardAt = Now;
  if (isNew)
    known.IsLeaving = false;
  return isNew;
}

bool mergeNode(Roster &Roster, const wire::NodeEntry &Entry,
               const std::string &SelfName, TimePoint Now) {
  if (Entry.name().empty() || Entry.name() == SelfName)
    return false;
  auto it = Roster.Nodes.find(Entry.name());
  TimePoint heardAt = Now - Millis(Entry.heard_ago_ms());
  if (it != Roster.Nodes.end()) {
    if (Entry.incarnation() <= it->second.Entry.incarnation()) {
      if (Entry.incarnation() == it->second.Entry.incarnation())
        it->second.HeardAt = std::max(it->second.HeardAt, heardAt);
      return false;
    }
    it->second = {Entry, heardAt, false};
    return true;
  }
  Roster.Nodes[Entry.name()] = {Entry, heardAt, false};
  return true;
}

void expireNodes(Roster &Roster, TimePoint Now) {
  std::erase_if(Roster.Nodes, [&](const auto &it) {
    return Now - it.second.HeardAt > NodeRetention;
  });
}

bool isInView(const KnownNode &Node, TimePoint Now) {
  return Now - Node.HeardAt < NodeTimeout;
}

size_t countInView(const Roster &Roster, wire::NodeKind Kind, TimePoint Now) {
  size_t n = 0;
  for (const auto &[name, it] : Roster.Nodes)
    n += it.Entry.kind() == Kind && isInView(it, Now);
  return n;
}

uint64_t digestRoster(const Roster &Roster, const wire::NodeEntry &Self,
                      TimePoint Now) {
  uint64_t digest = digestEntry(Self);
  for (const auto &[name, it] : Roster.Nodes)
    if (isInView(it, Now))
      digest += digestEntry(it.Entry);
  return digest;
}

wire::RosterUpdate makeRosterUpdate(const Roster &Roster,
                                    const wire::NodeEntry &Self,
                                    TimePoint Now) {
  wire::RosterUpdate out;
  *out.add_nodes() = Self;
  for (const auto &[name, it] : Roster.Nodes) {
    if (!isInView(it, Now))
      continue;
    wire::NodeEntry &entry = *out.add_nodes();
    entry = it.Entry;
    entry.set_heard_ago_ms(toMillis(Now - it.HeardAt));
  }
  return out;
}

} // namespace sassafras
