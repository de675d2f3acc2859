#include "wisteriarill/standin/link_relay.h"

#include <Poco/Exception.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace wisteriarill {
namespace {

using Poco::Net::PollSet;
using Poco::Net::ServerSocket;
using Poco::Net::Socket;
using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

constexpr std::size_t kPiece = 64U << 10;
constexpr std::size_t kMostPending = 4U << 20;
const Poco::Timespan kPoll(0, 2'000);

std::pair<std::string, std::string> PairOf(std::string a, std::string b) {
  if (b < a) std::swap(a, b);
  return {std::move(a), std::move(b)};
}

std::string HostOf(const std::string& address) {
  return address.substr(0, address.rfind(':'));
}

// One relayed connection: two sockets and what waits to be written to each.
struct Relayed {
  StreamSocket from;
  StreamSocket to;
  std::pair<std::string, std::string> hosts;
  std::string to_write;
  std::string from_write;
  bool silent = false;
  bool broken = false;
};

}  // namespace

class LinkRelay::Impl {
 public:
  Impl() : thread_([this] { Run(); }) {}

  ~Impl() {
    stopping_ = true;
    thread_.join();
  }

  Result<std::string> Open(const std::string& target) {
    try {
      ServerSocket socket;
      socket.bind(SocketAddress(HostOf(target), 0), true);
      socket.listen(64);
      const std::string address = socket.address().toString();
      const std::lock_guard lock(mutex_);
      listeners_.push_back(socket);
      targets_[address] = target;
      return address;
    } catch (const Poco::Exception& error) {
      return MakeError(ErrorKind::kUnavailable, error.displayText(),
                       "free some loopback ports");
    }
  }

  void Retarget(const std::string& relay, const std::string& target) {
    const std::lock_guard lock(mutex_);
    targets_[relay] = target;
  }

  void SetFault(const std::string& a, const std::string& b, LinkFault fault) {
    const std::lock_guard lock(mutex_);
    const auto hosts = PairOf(a, b);
    faults_[hosts] = fault;
    for (Relayed& relayed : relayed_) {
      if (relayed.hosts != hosts) continue;
      if (fault == LinkFault::kDisconnected) relayed.broken = true;
      if (fault == LinkFault::kStalled || fault == LinkFault::kBlackHole) {
        relayed.silent = true;
      }
    }
  }

  void Heal() {
    const std::lock_guard lock(mutex_);
    faults_.clear();
  }

 private:
  void Run() {
    while (!stopping_) {
      PollSet poll_set;
      {
        const std::lock_guard lock(mutex_);
        AddToPoll(&poll_set);
      }
      const PollSet::SocketModeMap ready = poll_set.poll(kPoll);
      const std::lock_guard lock(mutex_);
      for (const auto& [socket, mode] : ready) Serve(socket, mode);
      std::erase_if(relayed_,
                    [](const Relayed& relayed) { return relayed.broken; });
    }
  }

  void AddToPoll(PollSet* poll_set) {
    for (const ServerSocket& socket : listeners_) {
      poll_set->add(socket, PollSet::POLL_READ);
    }
    for (const Relayed& relayed : relayed_) {
      if (relayed.silent) continue;
      AddEnd(relayed.from, relayed.to_write, relayed.from_write, poll_set);
      AddEnd(relayed.to, relayed.from_write, relayed.to_write, poll_set);
    }
  }

  static void AddEnd(const StreamSocket& socket, const std::string& outgoing,
                     const std::string& incoming, PollSet* poll_set) {
    int mode = 0;
    if (outgoing.size() < kMostPending) mode |= PollSet::POLL_READ;
    if (!incoming.empty()) mode |= PollSet::POLL_WRITE;
    if (mode != 0) poll_set->add(socket, mode);
  }

  void Serve(const Socket& socket, int mode) {
    for (ServerSocket& listener : listeners_) {
      if (listener == socket) {
        Accept(listener);
        return;
      }
    }
    for (Relayed& relayed : relayed_) {
      if (relayed.broken || relayed.silent) continue;
      if (relayed.from == socket) {
        Move(relayed.from, mode, &relayed.to_write, &relayed.from_write,
             &relayed.broken);
      } else if (relayed.to == socket) {
        Move(relayed.to, mode, &relayed.from_write, &relayed.to_write,
             &relayed.broken);
      }
    }
  }

  // Reads into `outgoing` and writes from `incoming`.
  static void Move(StreamSocket& socket, int mode, std::string* outgoing,
                   std::string* incoming, bool* broken) {
    try {
      if ((mode & PollSet::POLL_READ) != 0) {
        std::array<char, kPiece> buffer;
        const int count =
            socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        if (count == 0) *broken = true;
        if (count > 0) {
          outgoing->append(buffer.data(), static_cast<std::size_t>(count));
        }
      }
      if ((mode & PollSet::POLL_WRITE) != 0 && !incoming->empty()) {
        const int count = socket.sendBytes(incoming->data(),
                                           static_cast<int>(incoming->size()));
        if (count > 0) incoming->erase(0, static_cast<std::size_t>(count));
      }
      if ((mode & PollSet::POLL_ERROR) != 0) *broken = true;
    } catch (const Poco::Exception&) {
      *broken = true;
    }
  }

  void Accept(ServerSocket& listener) {
    const std::string address = listener.address().toString();
    try {
      Relayed relayed;
      SocketAddress client;
      relayed.from = listener.acceptConnection(client);
      relayed.hosts = PairOf(client.host().toString(), HostOf(address));
      const auto fault = faults_.find(relayed.hosts);
      const LinkFault present =
          fault == faults_.end() ? LinkFault::kNone : fault->second;
      if (present == LinkFault::kDisconnected) return;
      relayed.silent = present == LinkFault::kBlackHole;
      relayed.to.connect(SocketAddress(targets_.at(address)));
      relayed.from.setNoDelay(true);
      relayed.to.setNoDelay(true);
      relayed.from.setBlocking(false);
      relayed.to.setBlocking(false);
      relayed_.push_back(std::move(relayed));
    } catch (const Poco::Exception&) {
      return;  // The target is down: the caller sees a closed connection.
    }
  }

  std::mutex mutex_;
  std::vector<ServerSocket> listeners_;
  std::map<std::string, std::string> targets_;
  std::map<std::pair<std::string, std::string>, LinkFault> faults_;
  std::vector<Relayed> relayed_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

LinkRelay::LinkRelay() : impl_(std::make_unique<Impl>()) {}

LinkRelay::~LinkRelay() = default;

Result<std::string> LinkRelay::Open(const std::string& target) {
  return impl_->Open(target);
}

void LinkRelay::Retarget(const std::string& relay, const std::string& target) {
  impl_->Retarget(relay, target);
}

void LinkRelay::SetFault(const std::string& a, const std::string& b,
                         LinkFault fault) {
  impl_->SetFault(a, b, fault);
}

void LinkRelay::Heal() { impl_->Heal(); }

}  // namespace wisteriarill
