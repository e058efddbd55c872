#include "fleet/item_store.h"

namespace sassafras {

void ItemStore::put(wire::Item Item, uint64_t Version) {
  Item.set_version(Version);
  std::string name = Item.name();
  auto it = Items.find(name);
  if (it != Items.end()) {
    ByVersion.erase({it->second.version(), name});
    Deletions.erase({it->second.version(), name});
  }
  ByVersion.insert({Version, name});
  if (Item.deleted())
    Deletions.insert({Version, name});
  Items[name] = std::move(Item);
}

void ItemStore::erase(const std::string &Name, uint64_t Version) {
  if (!find(Name))
    return;
  wire::Item deletion;
  deletion.set_name(Name);
  deletion.set_deleted(true);
  put(std::move(deletion), Version);
}

const wire::Item *ItemStore::find(const std::string &Name) const {
  auto it = Items.find(Name);
  if (it == Items.end() || it->second.deleted())
    return nullptr;
  return &it->second;
}

std::vector<const wire::Item *> ItemStore::list(std::string_view Prefix) const {
  std::vector<const wire::Item *> found;
  for (auto it = Items.lower_bound(Prefix);
       it != Items.end() && it->first.starts_with(Prefix); ++it)
    if (!it->second.deleted())
      found.push_back(&it->second);
  return found;
}

std::vector<const wire::Item *> ItemStore::since(uint64_t Version) const {
  std::vector<const wire::Item *> found;
  for (auto it = ByVersion.lower_bound({Version + 1, {}});
       it != ByVersion.end(); ++it)
    found.push_back(&Items.find(it->second)->second);
  return found;
}

void ItemStore::pruneDeletions(size_t Keep) {
  while (Deletions.size() > Keep) {
    auto oldest = *Deletions.begin();
    OldestDelta = std::max(OldestDelta, oldest.first);
    Deletions.erase(Deletions.begin());
    ByVersion.erase(oldest);
    Items.erase(oldest.second);
  }
}

void ItemStore::clear() {
  Items.clear();
  ByVersion.clear();
  Deletions.clear();
  OldestDelta = 0;
}

std::string rowItemName(const std::string &Row) { return "row/" + Row; }
std::string keyItemName(const std::string &KeyId) { return "key/" + KeyId; }
std::string endpointItemName(const std::string &Endpoint) {
  return "endpoint/" + Endpoint;
}
std::string replicaItemName(const std::string &Endpoint,
                            const std::string &Row) {
  return "replica/" + Endpoint + "/" + Row;
}
std::string claimItemName(const std::string &Digest) {
  return "claim/" + Digest;
}
std::string quarantineItemName(const std::string &Digest) {
  return "quarantine/" + Digest;
}
std::string deathItemName(const std::string &Digest) {
  return "death/" + Digest;
}

const wire::TableRow *findRow(const ItemStore &Items, const std::string &Name) {
  const wire::Item *item = Items.find(rowItemName(Name));
  return item ? &item->row() : nullptr;
}

const wire::Endpoint *findEndpoint(const ItemStore &Items,
                                   const std::string &Name) {
  const wire::Item *item = Items.find(endpointItemName(Name));
  return item ? &item->endpoint() : nullptr;
}

const wire::Replica *findReplica(const ItemStore &Items,
                                 const std::string &Endpoint,
                                 const std::string &Row) {
  const wire::Item *item = Items.find(replicaItemName(Endpoint, Row));
  return item ? &item->replica() : nullptr;
}

static std::vector<const wire::Replica *>
listReplicasByPrefix(const ItemStore &Items, const std::string &Prefix) {
  std::vector<const wire::Replica *> found;
  for (const wire::Item *it : Items.list(Prefix))
    found.push_back(&it->replica());
  return found;
}

std::vector<const wire::Replica *> listReplicas(const ItemStore &Items) {
  return listReplicasByPrefix(Items, "replica/");
}

std::vector<const wire::Replica *> listReplicasOn(const ItemStore &Items,
                                                  const std::string &Endpoint) {
  return listReplicasByPrefix(Items, replicaItemName(Endpoint, ""));
}

std::vector<const wire::Endpoint *> listEndpoints(const ItemStore &Items) {
  std::vector<const wire::Endpoint *> found;
  for (const wire::Item *it : Items.list("endpoint/"))
    found.push_back(&it->endpoint());
  return found;
}

} // namespace sassafras
