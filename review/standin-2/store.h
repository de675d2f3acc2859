/// \file
/// Stand-in of the platform's store: items, ranges, stale ranges and watches.
#ifndef WISTERIARILL_REVIEW_STANDIN_2_STORE_H_
#define WISTERIARILL_REVIEW_STANDIN_2_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "http.h"

namespace wisteriarill::review {

/// One change of an item.
struct ItemChange {
  std::uint64_t revision = 0;
  std::uint64_t created = 0;
  std::string key;
  std::string value;
  bool removed = false;
  Clock::time_point at;
};

/// Thread-safe.
class Store {
 public:
  /// Maximum number of items of a page.
  static constexpr std::size_t kPageItems = 500;

  explicit Store(Record* record) : record_(record) {}

  /// Serves the store at `address` for ever. `reader` names the node that uses
  /// the address.
  void Serve(const Address& address, const std::string& reader);
  /// Writes an item and returns the time of the acknowledgement.
  Clock::time_point Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);

  /// From now on, every second stale read of a node shows the state as it was
  /// `lag` ago. The others, like those of another replica, show the newest.
  void SetStaleLag(milliseconds lag);
  /// Returns whether `reader` has sent a watch in the last `period`.
  bool HasWatched(const std::string& reader, milliseconds period);

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };
  using Items = std::map<std::string, Item>;

  void ServeConnection(Socket socket, const std::string& reader);
  std::string Answer(const std::string& target, const std::string& reader);
  std::string AnswerRange(const std::map<std::string, std::string>& query,
                          const std::string& reader);
  std::string AnswerWatch(const std::map<std::string, std::string>& query,
                          const std::string& reader);
  /// Returns the items at `time` and sets the revision. Requires `mutex_`.
  Items ItemsAt(Clock::time_point time, std::uint64_t* revision) const;
  /// Returns the time whose state the next stale read of `reader` shows.
  /// Requires `mutex_`.
  Clock::time_point NextStaleTime(const std::string& reader);
  void Append(ItemChange change);

  Record* record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<ItemChange> history_;
  Items items_;
  std::uint64_t revision_ = 0;
  milliseconds stale_lag_{0};
  std::map<std::string, std::uint64_t> stale_reads_;  ///< By reader.
  std::map<std::string, Clock::time_point> last_watch_;
};

}  // namespace wisteriarill::review

#endif  // WISTERIARILL_REVIEW_STANDIN_2_STORE_H_
