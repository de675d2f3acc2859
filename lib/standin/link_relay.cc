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

constexpr std::size_t kReadSize = 64U << 10;
constexpr std::size_t kMaxPendingBytes = 4U << 20;
const Poco::Timespan kPollTimeout(0, 2'000);

std::pair<std::string, std::string> OrderedPair(std::string a, std::string b) {
  if (b < a) std::swap(a, b);
  return {std::move(a), std::move(b)};
}

std::string HostOf(const std::string& address) {
  return address.substr(0, address.rfind(':'));
}

// A relayed connection: its two sockets and the bytes pending for each.
struct RelayedConnection {
  StreamSocket client;
  StreamSocket target;
  std::pair<std::string, std::string> hosts;
  std::string pending_to_target;
  std::string pending_to_client;
  bool stalled = false;
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
                       "free loopback ports for the relay");
    }
  }

  void Retarget(const std::string& relay, const std::string& target) {
    const std::lock_guard lock(mutex_);
    targets_[relay] = target;
  }

  void SetFault(const std::string& a, const std::string& b, LinkFault fault) {
    const std::lock_guard lock(mutex_);
    const auto hosts = OrderedPair(a, b);
    faults_[hosts] = fault;
    for (RelayedConnection& connection : connections_) {
      if (connection.hosts != hosts) continue;
      if (fault == LinkFault::kDisconnected) connection.broken = true;
      if (fault == LinkFault::kStalled || fault == LinkFault::kBlackHole) {
        connection.stalled = true;
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
      const PollSet::SocketModeMap ready = poll_set.poll(kPollTimeout);
      const std::lock_guard lock(mutex_);
      for (const auto& [socket, mode] : ready) HandleEvent(socket, mode);
      std::erase_if(connections_, [](const RelayedConnection& connection) {
        return connection.broken;
      });
    }
  }

  // Does not read from a socket while too many bytes are pending for its peer,
  // so that the relay exerts backpressure. Skips stalled connections.
  void AddToPoll(PollSet* poll_set) {
    for (const ServerSocket& socket : listeners_) {
      poll_set->add(socket, PollSet::POLL_READ);
    }
    for (const RelayedConnection& connection : connections_) {
      if (connection.stalled) continue;
      AddSocket(connection.client, connection.pending_to_target,
                connection.pending_to_client, poll_set);
      AddSocket(connection.target, connection.pending_to_client,
                connection.pending_to_target, poll_set);
    }
  }

  static void AddSocket(const StreamSocket& socket, const std::string& received,
                        const std::string& to_send, PollSet* poll_set) {
    int mode = 0;
    if (received.size() < kMaxPendingBytes) mode |= PollSet::POLL_READ;
    if (!to_send.empty()) mode |= PollSet::POLL_WRITE;
    if (mode != 0) poll_set->add(socket, mode);
  }

  void HandleEvent(const Socket& socket, int mode) {
    for (ServerSocket& listener : listeners_) {
      if (listener == socket) {
        Accept(listener);
        return;
      }
    }
    for (RelayedConnection& connection : connections_) {
      if (connection.broken || connection.stalled) continue;
      if (connection.client == socket) {
        Transfer(connection.client, mode, &connection.pending_to_target,
                 &connection.pending_to_client, &connection.broken);
      } else if (connection.target == socket) {
        Transfer(connection.target, mode, &connection.pending_to_client,
                 &connection.pending_to_target, &connection.broken);
      }
    }
  }

  // Appends what `socket` received to `received`; sends from `to_send`.
  static void Transfer(StreamSocket& socket, int mode, std::string* received,
                       std::string* to_send, bool* broken) {
    try {
      if ((mode & PollSet::POLL_READ) != 0) {
        std::array<char, kReadSize> buffer;
        const int count =
            socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        if (count == 0) *broken = true;
        if (count > 0) {
          received->append(buffer.data(), static_cast<std::size_t>(count));
        }
      }
      if ((mode & PollSet::POLL_WRITE) != 0 && !to_send->empty()) {
        const int count = socket.sendBytes(to_send->data(),
                                           static_cast<int>(to_send->size()));
        if (count > 0) to_send->erase(0, static_cast<std::size_t>(count));
      }
      if ((mode & PollSet::POLL_ERROR) != 0) *broken = true;
    } catch (const Poco::Exception&) {
      *broken = true;
    }
  }

  void Accept(ServerSocket& listener) {
    const std::string address = listener.address().toString();
    try {
      RelayedConnection connection;
      SocketAddress client_address;
      connection.client = listener.acceptConnection(client_address);
      connection.hosts =
          OrderedPair(client_address.host().toString(), HostOf(address));
      const auto fault = faults_.find(connection.hosts);
      const LinkFault active_fault =
          fault == faults_.end() ? LinkFault::kNone : fault->second;
      if (active_fault == LinkFault::kDisconnected) return;
      connection.stalled = active_fault == LinkFault::kBlackHole;
      connection.target.connect(SocketAddress(targets_.at(address)));
      connection.client.setNoDelay(true);
      connection.target.setNoDelay(true);
      connection.client.setBlocking(false);
      connection.target.setBlocking(false);
      connections_.push_back(std::move(connection));
    } catch (const Poco::Exception&) {
      return;  // The target is down: the dialing node sees a closed connection.
    }
  }

  std::mutex mutex_;
  std::vector<ServerSocket> listeners_;
  std::map<std::string, std::string> targets_;
  std::map<std::pair<std::string, std::string>, LinkFault> faults_;
  std::vector<RelayedConnection> connections_;
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
