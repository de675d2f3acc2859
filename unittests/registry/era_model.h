/// \file
/// A plain model of a store that comes back from copies, and of its writers.
#ifndef WISTERIARILL_UNITTESTS_REGISTRY_ERA_MODEL_H_
#define WISTERIARILL_UNITTESTS_REGISTRY_ERA_MODEL_H_

#include <cstdint>
#include <iterator>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "model_stamper.h"
#include "wisteriarill/registry/registry_item.h"

namespace wisteriarill {

inline const std::vector<std::string> kZones = {"out/a", "out/b"};

/// A server as it knows itself.
struct Server {
  std::uint64_t start = 0;
  std::uint64_t sequence = 0;
  bool draining = false;
  std::string address;
};

inline std::string ToValue(const Server& server) {
  return std::to_string(server.start) + " " + std::to_string(server.sequence) +
         " " + server.address + (server.draining ? " draining" : " ready");
}

/// The store, and what its writers have written.
class ModelStore {
 public:
  void Put(const std::string& key, const std::string& value) {
    Item& item = state_.items[key];
    if (item.value == value) return;
    item.value = value;
    item.revision = ++state_.revision;
    if (item.created == 0) item.created = item.revision;
    state_.removals.erase(key);
  }
  void Remove(const std::string& key) {
    if (state_.items.erase(key) > 0) state_.removals[key] = ++state_.revision;
  }
  void TakeCopy() { copy_ = state_; }
  void ReturnFromCopy() {
    before_ = state_;
    state_ = copy_;
    ++era_;
  }

  RegistryBatch List() const { return MakeList(state_, era_); }
  /// A list of the era before, as a stale read may give it.
  RegistryBatch LateList() const {
    return era_ == 0 ? List() : MakeList(before_, era_ - 1);
  }
  /// The changes after a position, or nothing if the store doesn't have it.
  std::optional<RegistryBatch> Changes(StorePosition after) const {
    if (after.era != StoreEra{era_} || after.revision > state_.revision)
      return std::nullopt;
    RegistryBatch batch;
    batch.position = {StoreEra{era_}, state_.revision};
    batch.after = after;
    for (const auto& [key, item] : state_.items) {
      if (item.revision > after.revision) Add(key, item, era_, &batch);
    }
    for (const auto& [key, revision] : state_.removals) {
      if (revision > after.revision)
        batch.items.push_back({key, "", {StoreEra{era_}, revision}, true});
    }
    return batch;
  }
  std::map<std::string, std::string> Values() const {
    std::map<std::string, std::string> values;
    for (const auto& [key, item] : state_.items) values[key] = item.value;
    return values;
  }
  StorePosition position() const { return {StoreEra{era_}, state_.revision}; }

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };
  struct State {
    std::uint64_t revision = 0;
    std::map<std::string, Item> items;
    std::map<std::string, std::uint64_t> removals;
  };

  static void Add(const std::string& key, const Item& item, std::uint32_t era,
                  RegistryBatch* batch) {
    batch->items.push_back({key,
                            item.value,
                            {StoreEra{era}, item.revision},
                            false,
                            "",
                            {StoreEra{era}, item.created}});
  }
  static RegistryBatch MakeList(const State& state, std::uint32_t era) {
    RegistryBatch batch;
    batch.complete = true;
    batch.position = {StoreEra{era}, state.revision};
    for (const auto& [key, item] : state.items) Add(key, item, era, &batch);
    return batch;
  }

  State state_;
  State copy_;
  State before_;
  std::uint32_t era_ = 0;
};

/// The operator and the servers. They write what the store has lost again.
class Writers {
 public:
  Writers(ModelStore* store, std::mt19937_64* random)
      : store_(store), random_(random) {
    for (int i = 0; i < 6; ++i) StartServer();
    WriteAll();
  }

  void WriteSomething() {
    switch ((*random_)() % 6) {
      case 0:
        ++version_;
        break;
      case 1:
        Toggle(kZones[(*random_)() % kZones.size()]);
        break;
      case 2:
        StartServer();
        break;
      case 3:
        Drain();
        break;
      case 4:
        Leave();
        break;
      default:
        Restart();
    }
    WriteAll();
  }

  /// Makes the store hold what is true.
  void WriteAll() {
    store_->Put(kConfigKey, std::to_string(version_) + " 0");
    for (const std::string& zone : kZones) {
      const auto ordered = evacuated_.find(zone);
      if (ordered == evacuated_.end()) {
        store_->Remove(zone);
      } else {
        store_->Put(zone, ordered->second);
      }
    }
    for (const auto& [key, server] : servers_)
      store_->Put(key, ToValue(server));
    for (const auto& [key, value] : store_->Values()) {
      if (key.starts_with("servers/") && !servers_.contains(key))
        store_->Remove(key);
    }
  }

  std::uint64_t version() const { return version_; }
  bool IsEvacuated(const std::string& zone) const {
    return evacuated_.contains(zone);
  }
  /// Returns how often the order for a zone has changed.
  int OrdersOf(const std::string& zone) const {
    const auto orders = orders_.find(zone);
    return orders == orders_.end() ? 0 : orders->second.count;
  }
  /// Returns whether a node with this position knows the last order for a zone.
  bool KnowsOrder(const std::string& zone, StorePosition position) const {
    const auto orders = orders_.find(zone);
    return orders != orders_.end() &&
           position.era == orders->second.written_at.era &&
           position >= orders->second.written_at;
  }
  /// Writes everything anew, as each server does from time to time.
  void WriteAgain() {
    for (auto& [key, server] : servers_) ++server.sequence;
    WriteAll();
  }

 private:
  struct Orders {
    int count = 0;
    StorePosition written_at;  ///< Of the last one.
  };

  void Toggle(const std::string& zone) {
    if (evacuated_.erase(zone) == 0)
      evacuated_[zone] = "order-" + std::to_string(++last_order_);
    WriteAll();
    orders_[zone] = {orders_[zone].count + 1, store_->position()};
  }
  void StartServer() {
    Server server;
    server.start = ++last_start_;
    server.sequence = 1;
    server.address = "a" + std::to_string((*random_)() % 20);
    servers_["servers/" + std::to_string(last_start_)] = server;
  }
  Server* AnyServer() {
    if (servers_.empty()) return nullptr;
    auto server = servers_.begin();
    std::advance(server, (*random_)() % servers_.size());
    return &server->second;
  }
  void Drain() {
    if (Server* server = AnyServer()) {
      server->draining = true;
      ++server->sequence;
    }
  }
  void Restart() {
    if (Server* server = AnyServer()) {
      server->start = ++last_start_;
      server->sequence = 1;
      server->draining = false;
    }
  }
  void Leave() {
    if (servers_.size() <= 2) return;
    servers_.erase(servers_.begin());
  }

  ModelStore* store_;
  std::mt19937_64* random_;
  std::uint64_t version_ = 1;
  std::map<std::string, std::string> evacuated_;  ///< Value, by zone.
  std::map<std::string, Orders> orders_;
  std::map<std::string, Server> servers_;
  std::uint64_t last_start_ = 0;
  int last_order_ = 0;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_UNITTESTS_REGISTRY_ERA_MODEL_H_
