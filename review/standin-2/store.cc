#include "store.h"

#include <algorithm>
#include <cstdlib>
#include <msgpack.hpp>
#include <utility>

namespace wisteriarill::review {
namespace {

/// Time that the store takes for a read.
constexpr milliseconds kReadTime{4};
constexpr milliseconds kConnectionLifetime{600000};
constexpr std::uint64_t kFirstRevision = 100;
constexpr int kHexBase = 16;
constexpr int kEscapeLength = 2;
constexpr int kBitsPerDigit = 6;
constexpr unsigned kDigitMask = 63;
constexpr std::size_t kBytesPerGroup = 3;

using Packer = msgpack::packer<msgpack::sbuffer>;
using Query = std::map<std::string, std::string>;

std::string EncodeBase64(const std::string& bytes) {
  static const std::string kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += kBytesPerGroup) {
    unsigned group = 0;
    const std::size_t count = std::min(kBytesPerGroup, bytes.size() - i);
    for (std::size_t k = 0; k < kBytesPerGroup; ++k) {
      const auto byte =
          k < count ? static_cast<unsigned char>(bytes[i + k]) : 0U;
      group = group << 8U | byte;
    }
    for (std::size_t k = 0; k <= kBytesPerGroup; ++k) {
      const auto shift = kBitsPerDigit * (kBytesPerGroup - k);
      text += k <= count ? kDigits[group >> shift & kDigitMask] : '=';
    }
  }
  return text;
}

std::string DecodeQueryValue(const std::string& text) {
  std::string value;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%' || i + kEscapeLength >= text.size()) {
      value += text[i];
      continue;
    }
    value += static_cast<char>(std::strtoul(
        text.substr(i + 1, kEscapeLength).c_str(), nullptr, kHexBase));
    i += kEscapeLength;
  }
  return value;
}

Query ParseQuery(const std::string& target) {
  Query query;
  std::size_t begin = target.find('?');
  while (begin != std::string::npos) {
    const std::size_t end = target.find('&', begin + 1);
    const std::string pair = target.substr(begin + 1, end - begin - 1);
    const std::size_t equals = std::min(pair.find('='), pair.size() - 1);
    query[pair.substr(0, equals)] = DecodeQueryValue(pair.substr(equals + 1));
    begin = end;
  }
  return query;
}

void PackText(Packer* packer, const std::string& name,
              const std::string& value) {
  packer->pack(name);
  packer->pack(value);
}

void PackNumber(Packer* packer, const std::string& name, std::uint64_t value) {
  packer->pack(name);
  packer->pack(value);
}

void PackChange(Packer* packer, const ItemChange& change) {
  packer->pack_map(change.removed ? 3 : 5);
  PackText(packer, "Key", change.key);
  PackNumber(packer, "Rev", change.revision);
  if (change.removed) {
    packer->pack(std::string("Tombstone"));
    packer->pack(true);
    return;
  }
  PackText(packer, "Value", EncodeBase64(change.value));
  PackNumber(packer, "Created", change.created);
  PackNumber(packer, "LeaseId", 0);
}

std::string ToResponse(const msgpack::sbuffer& body) {
  return SerializeResponse(200, {{"Content-Type", "application/msgpack"}},
                           std::string(body.data(), body.size()));
}

}  // namespace

void Store::Append(ItemChange change) {
  const std::lock_guard lock(mutex_);
  revision_ = std::max(revision_, kFirstRevision) + 1;
  change.revision = revision_;
  const auto found = items_.find(change.key);
  change.created = found == items_.end() ? revision_ : found->second.created;
  change.at = Clock::now();
  if (change.removed) {
    items_.erase(change.key);
  } else {
    items_[change.key] = {change.value, change.revision, change.created};
  }
  history_.push_back(std::move(change));
  changed_.notify_all();
}

Clock::time_point Store::Put(const std::string& key, const std::string& value) {
  ItemChange change;
  change.key = key;
  change.value = value;
  Append(std::move(change));
  return Clock::now();
}

void Store::Remove(const std::string& key) {
  ItemChange change;
  change.key = key;
  change.removed = true;
  Append(std::move(change));
}

void Store::SetStaleLag(milliseconds lag) {
  const std::lock_guard lock(mutex_);
  stale_lag_ = lag;
  stale_reads_.clear();
}

bool Store::HasWatched(const std::string& reader, milliseconds period) {
  const std::lock_guard lock(mutex_);
  const auto found = last_watch_.find(reader);
  return found != last_watch_.end() && Clock::now() < found->second + period;
}

Store::Items Store::ItemsAt(Clock::time_point time,
                            std::uint64_t* revision) const {
  Items items;
  *revision = kFirstRevision;
  for (const ItemChange& change : history_) {
    if (change.at > time) break;
    *revision = change.revision;
    if (change.removed) {
      items.erase(change.key);
    } else {
      items[change.key] = {change.value, change.revision, change.created};
    }
  }
  return items;
}

Clock::time_point Store::NextStaleTime(const std::string& reader) {
  const bool behind = stale_reads_[reader]++ % 2 == 1;
  return behind ? Clock::now() - stale_lag_ : Clock::now();
}

std::string Store::AnswerRange(const Query& query, const std::string& reader) {
  const bool stale = query.contains("AllowStale");
  const std::string after = query.contains("after") ? query.at("after") : "";
  const std::lock_guard lock(mutex_);
  std::uint64_t at = 0;
  const Items items =
      ItemsAt(stale ? NextStaleTime(reader) : Clock::now(), &at);
  std::vector<ItemChange> page;
  auto next = after.empty() ? items.begin() : items.upper_bound(after);
  for (; next != items.end() && page.size() < kPageItems; ++next) {
    const Item& item = next->second;
    page.push_back(
        {item.revision, item.created, next->first, item.value, false, {}});
  }
  record_->Write("store: " + reader + (stale ? " stale" : "") +
                 " range after=\"" + after + "\" items " +
                 std::to_string(page.size()) + " At " + std::to_string(at));
  msgpack::sbuffer body;
  Packer packer(body);
  packer.pack_map(3);
  packer.pack(std::string("items"));
  packer.pack_array(static_cast<std::uint32_t>(page.size()));
  for (const ItemChange& item : page) PackChange(&packer, item);
  packer.pack(std::string("HasMore"));
  packer.pack(next != items.end());
  PackNumber(&packer, "At", at);
  return ToResponse(body);
}

std::string Store::AnswerWatch(const Query& query, const std::string& reader) {
  const std::uint64_t after =
      std::strtoull(query.at("after").c_str(), nullptr, 0);
  const milliseconds wait(std::atoi(query.at("WaitMs").c_str()));
  std::unique_lock lock(mutex_);
  last_watch_[reader] = Clock::now();
  changed_.wait_for(lock, wait, [&] { return revision_ > after; });
  last_watch_[reader] = Clock::now();
  std::vector<ItemChange> events;
  for (const ItemChange& change : history_) {
    if (change.revision > after) events.push_back(change);
  }
  msgpack::sbuffer body;
  Packer packer(body);
  packer.pack_map(2);
  packer.pack(std::string("events"));
  packer.pack_array(static_cast<std::uint32_t>(events.size()));
  for (const ItemChange& event : events) PackChange(&packer, event);
  PackNumber(&packer, "At", std::max(revision_, after));
  return ToResponse(body);
}

std::string Store::Answer(const std::string& target,
                          const std::string& reader) {
  std::this_thread::sleep_for(kReadTime);
  const Query query = ParseQuery(target);
  if (target.starts_with("/-/kv-range")) return AnswerRange(query, reader);
  if (target.starts_with("/-/kv-watch")) return AnswerWatch(query, reader);
  return SerializeResponse(404, {}, "");
}

void Store::ServeConnection(Socket socket, const std::string& reader) {
  MessageReader requests(socket.handle());
  for (;;) {
    const auto request = requests.Read(Clock::now() + kConnectionLifetime);
    if (!request) return;
    if (!SendAll(socket.handle(), Answer(request->Target(), reader))) return;
  }
}

void Store::Serve(const Address& address, const std::string& reader) {
  ServeForever(address, [this, reader](Socket socket) {
    ServeConnection(std::move(socket), reader);
  });
}

}  // namespace wisteriarill::review
