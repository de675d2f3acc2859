#include "store.h"

#include <algorithm>
#include <cstdlib>
#include <msgpack.hpp>
#include <thread>

namespace wisteriarill::review {
namespace {

/// Maximum number of items in a page.
constexpr std::size_t kPageItems = 500;
constexpr const char* kBase64Digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

using Packer = msgpack::packer<msgpack::sbuffer>;

std::string EncodeBase64(const std::string& bytes) {
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t bits = 0;
    const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
    for (std::size_t j = 0; j < 3; ++j) {
      const auto byte =
          j < count ? static_cast<unsigned char>(bytes[i + j]) : 0U;
      bits = bits << 8 | byte;
    }
    for (std::size_t j = 0; j < 4; ++j) {
      const bool is_padding = j > count;
      text += is_padding ? '=' : kBase64Digits[bits >> (18 - 6 * j) & 63];
    }
  }
  return text;
}

std::string DecodePercent(const std::string& text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded += static_cast<char>(
          std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

/// Returns the value of a query parameter, or an empty string.
std::string Parameter(const std::string& query, const std::string& name) {
  std::size_t begin = 0;
  while (begin < query.size()) {
    const std::size_t end = std::min(query.find('&', begin), query.size());
    const std::string pair = query.substr(begin, end - begin);
    if (pair.starts_with(name + "="))
      return DecodePercent(pair.substr(name.size() + 1));
    begin = end + 1;
  }
  return "";
}

void PackItem(Packer* packer, const StoreEvent& event) {
  if (event.removed) {
    packer->pack_map(3);
    packer->pack("Key").pack(event.key);
    packer->pack("Rev").pack(event.revision);
    packer->pack("Tombstone").pack(true);
    return;
  }
  packer->pack_map(5);
  packer->pack("Key").pack(event.key);
  packer->pack("Value").pack(EncodeBase64(event.value));
  packer->pack("Rev").pack(event.revision);
  packer->pack("Created").pack(event.created);
  packer->pack("LeaseId").pack(0);
}

std::string MakeResponse(const std::string& status, const std::string& body) {
  return "HTTP/1.1 " + status + "\r\nContent-Type: application/msgpack\r\n" +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string MakeResponse(const msgpack::sbuffer& body) {
  return MakeResponse("200 OK", std::string(body.data(), body.size()));
}

}  // namespace

Store::Store(const Endpoint& endpoint, std::vector<milliseconds> replica_lags)
    : listener_(Listen(endpoint)), replica_lags_(std::move(replica_lags)) {
  std::thread([this] { AcceptLoop(); }).detach();
}

std::uint64_t Store::Put(const std::string& key, const std::string& value) {
  return Write(key, value, false);
}

void Store::Remove(const std::string& key) { Write(key, "", true); }

std::uint64_t Store::Write(const std::string& key, const std::string& value,
                           bool removed) {
  const std::lock_guard lock(mutex_);
  std::uint64_t ignored = 0;
  const Items items = StateAt(Clock::now(), &ignored);
  StoreEvent event{key, value, ++revision_, revision_, removed, Clock::now()};
  const auto found = items.find(key);
  if (found != items.end()) event.created = found->second.created;
  events_.push_back(std::move(event));
  written_.notify_all();
  return revision_;
}

void Store::AcceptLoop() {
  for (;;) {
    Socket socket = Accept(listener_);
    if (!socket.is_open()) return;
    std::thread([this, accepted = std::move(socket)]() mutable {
      Serve(std::move(accepted));
    }).detach();
  }
}

void Store::Serve(Socket socket) {
  HttpReader reader(&socket);
  while (const auto request = reader.Read()) {
    if (!SendAll(socket, Respond(request->Target()))) return;
  }
}

std::string Store::Respond(const std::string& target) {
  const std::size_t mark = std::min(target.find('?'), target.size());
  const std::string path = target.substr(0, mark);
  const std::string query =
      mark < target.size() ? target.substr(mark + 1) : std::string();
  if (path == "/-/kv-range") return Range(query);
  if (path == "/-/kv-watch") return Watch(query);
  return MakeResponse("404 Not Found", "");
}

Store::Items Store::StateAt(Instant time, std::uint64_t* revision) const {
  Items items;
  *revision = events_.empty() ? revision_ : events_.front().revision;
  for (const StoreEvent& event : events_) {
    if (event.written_at > time) break;
    *revision = event.revision;
    if (event.removed) {
      items.erase(event.key);
    } else {
      items[event.key] = event;
    }
  }
  return items;
}

std::string Store::Range(const std::string& query) {
  const bool stale = Parameter(query, "AllowStale") == "1";
  const std::string prefix = Parameter(query, "Prefix");
  const std::string after = Parameter(query, "after");
  const std::lock_guard lock(mutex_);
  milliseconds lag{0};
  if (stale && !replica_lags_.empty())
    lag = replica_lags_[next_replica_++ % replica_lags_.size()];
  std::uint64_t revision = 0;
  const Items items = StateAt(Clock::now() - lag, &revision);
  std::vector<const StoreEvent*> page;
  bool has_more = false;
  for (const auto& [key, item] : items) {
    if (!key.starts_with(prefix) || (!after.empty() && key <= after)) continue;
    has_more = page.size() == kPageItems;
    if (has_more) break;
    page.push_back(&item);
  }
  msgpack::sbuffer body;
  Packer packer(body);
  packer.pack_map(3);
  packer.pack("items").pack_array(static_cast<std::uint32_t>(page.size()));
  for (const StoreEvent* item : page) PackItem(&packer, *item);
  packer.pack("HasMore").pack(has_more);
  packer.pack("At").pack(revision);
  return MakeResponse(body);
}

std::string Store::Watch(const std::string& query) {
  const std::string prefix = Parameter(query, "Prefix");
  const std::uint64_t after =
      std::strtoull(Parameter(query, "after").c_str(), nullptr, 10);
  const milliseconds wait(std::atoi(Parameter(query, "WaitMs").c_str()));
  std::unique_lock lock(mutex_);
  written_.wait_for(lock, wait, [this, after] { return revision_ > after; });
  std::vector<const StoreEvent*> news;
  for (const StoreEvent& event : events_) {
    const bool is_new = event.revision > after;
    if (is_new && event.key.starts_with(prefix)) news.push_back(&event);
  }
  msgpack::sbuffer body;
  Packer packer(body);
  packer.pack_map(2);
  packer.pack("events").pack_array(static_cast<std::uint32_t>(news.size()));
  for (const StoreEvent* event : news) PackItem(&packer, *event);
  packer.pack("At").pack(std::max(revision_, after));
  return MakeResponse(body);
}

}  // namespace wisteriarill::review
