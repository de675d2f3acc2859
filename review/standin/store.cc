#include "store.h"

#include <algorithm>
#include <msgpack.hpp>
#include <string_view>

namespace wisteriarill::review {
namespace {

constexpr milliseconds kWatchPollInterval{10};
constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;

std::string EncodeBase64(std::string_view bytes) {
  constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      const bool present = i + j < bytes.size();
      group = group << 8 |
              (present ? static_cast<unsigned char>(bytes[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      const bool present = i + j <= bytes.size();
      text += present ? kDigits[group >> (18 - 6 * j) & 63U] : '=';
    }
  }
  return text;
}

/// Returns the number after "name=" in the query of `target`, or zero.
std::uint64_t QueryNumber(std::string_view target, std::string_view name) {
  const std::size_t at = target.find(std::string(name) + "=");
  if (at == std::string_view::npos) return 0;
  std::string_view digits = target.substr(at + name.size() + 1);
  digits = digits.substr(0, digits.find_first_not_of("0123456789"));
  return ParseDecimal(digits).value_or(0);
}

}  // namespace

std::uint64_t Store::Put(const std::string& key, const std::string& value) {
  Item& item = items_[key];
  item.key = key;
  item.value = value;
  item.revision = ++revision_;
  if (item.created == 0) item.created = item.revision;
  history_.push_back(item);
  return revision_;
}

void Store::Remove(const std::string& key) {
  if (items_.erase(key) == 0) return;
  history_.push_back({key, "", ++revision_, 0, true});
}

std::string Store::Encode(const std::string& name,
                          const std::vector<Item>& items) const {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_map(3);
  packer.pack("At");
  packer.pack(revision_);
  packer.pack("HasMore");
  packer.pack(false);
  packer.pack(name);
  packer.pack_array(static_cast<std::uint32_t>(items.size()));
  for (const Item& item : items) {
    packer.pack_map(item.removed ? 3 : 5);
    packer.pack("Key");
    packer.pack(item.key);
    packer.pack("Rev");
    packer.pack(item.revision);
    if (item.removed) {
      packer.pack("Tombstone");
      packer.pack(true);
      continue;
    }
    packer.pack("Value");
    packer.pack(EncodeBase64(item.value));
    packer.pack("Created");
    packer.pack(item.created);
    packer.pack("LeaseId");
    packer.pack(0);
  }
  return {buffer.data(), buffer.size()};
}

Task<void> Store::Handle(ServerExchange* exchange) {
  const std::string& target = exchange->request().target;
  if (target.starts_with("/-/kv-range")) {
    co_return co_await SendList(exchange);
  }
  if (target.starts_with("/-/kv-watch")) {
    co_return co_await SendChanges(exchange);
  }
  co_await exchange->SendResponse(kStatusNotFound, {}, "");
}

Task<void> Store::SendList(ServerExchange* exchange) {
  std::vector<Item> items;
  for (const auto& [key, item] : items_) items.push_back(item);
  co_await exchange->SendResponse(kStatusOk, {}, Encode("items", items));
}

Task<void> Store::SendChanges(ServerExchange* exchange) {
  const std::string target = exchange->request().target;
  const std::uint64_t after = QueryNumber(target, "after");
  const Instant end =
      BootClock::now() + milliseconds(QueryNumber(target, "WaitMs"));
  while (revision_ <= after && BootClock::now() < end) {
    if (exchange->client_disconnected()) co_return;
    co_await SleepFor(kWatchPollInterval);
  }
  std::vector<Item> events;
  std::copy_if(history_.begin(), history_.end(), std::back_inserter(events),
               [after](const Item& item) { return item.revision > after; });
  co_await exchange->SendResponse(kStatusOk, {}, Encode("events", events));
}

}  // namespace wisteriarill::review
