/// \file
/// Stand-in for the platform's metadata store.
#ifndef WISTERIARILL_REVIEW_STANDIN_STORE_H_
#define WISTERIARILL_REVIEW_STANDIN_STORE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "wisteriarill/mesh/http_server.h"

namespace wisteriarill::review {

/// Serves reads and watches of its items, in MessagePack.
class Store : public RequestHandler {
 public:
  Task<void> Handle(ServerExchange* exchange) override;

  /// Writes an item and returns its revision, which acknowledges the write.
  std::uint64_t Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);

 private:
  struct Item {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    bool removed = false;
  };

  Task<void> SendList(ServerExchange* exchange);
  Task<void> SendChanges(ServerExchange* exchange);
  /// Encodes a response with `items` under `name`.
  std::string Encode(const std::string& name,
                     const std::vector<Item>& items) const;

  std::uint64_t revision_ = 1;
  std::map<std::string, Item> items_;
  std::vector<Item> history_;
};

}  // namespace wisteriarill::review

#endif  // WISTERIARILL_REVIEW_STANDIN_STORE_H_
