#include "relay.h"

#include <poll.h>
#include <sys/socket.h>

#include <utility>

namespace wisteriarill::review {
namespace {

constexpr std::size_t kPieceBytes = 65536;
/// How often a silent connection looks whether both ends are gone.
constexpr milliseconds kPollInterval{50};

/// Passes what is readable at `from` on; returns false at the end.
bool PassPiece(int from, int to) {
  char bytes[kPieceBytes];
  const ssize_t count = recv(from, bytes, sizeof bytes, MSG_DONTWAIT);
  if (count < 0) return errno == EAGAIN;
  if (count == 0) return false;
  return SendAll(to, std::string(bytes, static_cast<std::size_t>(count)));
}

}  // namespace

void Relay::Forward(Socket caller, const Address& to) {
  const std::uint64_t opened_in = epoch_;
  const Socket server = Connect(to);
  if (!server.valid()) return;
  for (;;) {
    pollfd ends[] = {{caller.handle(), POLLIN, 0},
                     {server.handle(), POLLIN, 0}};
    poll(ends, 2, static_cast<int>(kPollInterval.count()));
    if (epoch_ != opened_in) break;
    if (ends[0].revents != 0 && !PassPiece(caller.handle(), server.handle()))
      return;
    if (ends[1].revents != 0 && !PassPiece(server.handle(), caller.handle()))
      return;
  }
  // Silent: nothing passes, not even the end of one side.
  while (!ClosedWithin(caller.handle(), milliseconds(-1))) {
  }
}

void Relay::Serve(const Address& from, const Address& to) {
  ServeForever(from,
               [this, to](Socket caller) { Forward(std::move(caller), to); });
}

}  // namespace wisteriarill::review
