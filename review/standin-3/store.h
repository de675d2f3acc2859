/// \file
/// A stand-in for the platform's metadata store.
#ifndef WISTERIARILL_REVIEW_STANDIN_3_STORE_H_
#define WISTERIARILL_REVIEW_STANDIN_3_STORE_H_

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "net.h"

namespace wisteriarill::review {

/// One write to the store.
struct StoreEvent {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;
  std::uint64_t created = 0;  ///< Revision of the item's creation.
  bool removed = false;
  Instant written_at;
};

/// Serves items over HTTP. Reads and watches return the newest state. Stale
/// reads are answered by replicas in turn, each of which lags behind by a time
/// of its own.
class Store {
 public:
  /// `replica_lags` holds the lag of each replica for stale reads.
  Store(const Endpoint& endpoint, std::vector<milliseconds> replica_lags);

  /// Writes an item and returns its revision. The write is acknowledged when
  /// this returns.
  std::uint64_t Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);

 private:
  using Items = std::map<std::string, StoreEvent>;

  void AcceptLoop();
  void Serve(Socket socket);
  std::string Respond(const std::string& target);
  std::string Range(const std::string& query);
  std::string Watch(const std::string& query);
  /// Returns the items as of `time`, and their revision. Requires the mutex.
  Items StateAt(Instant time, std::uint64_t* revision) const;
  std::uint64_t Write(const std::string& key, const std::string& value,
                      bool removed);

  Socket listener_;
  std::vector<milliseconds> replica_lags_;
  std::size_t next_replica_ = 0;
  std::mutex mutex_;
  std::condition_variable written_;
  std::vector<StoreEvent> events_;
  std::uint64_t revision_ = 100;
};

}  // namespace wisteriarill::review

#endif  // WISTERIARILL_REVIEW_STANDIN_3_STORE_H_
